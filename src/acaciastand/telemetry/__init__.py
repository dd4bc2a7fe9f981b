"""Logging as JSON lines, and counters."""

from acaciastand.telemetry.counters import Counters
from acaciastand.telemetry.logs import apply_level, configure_logging, set_level

__all__ = ["apply_level", "configure_logging", "set_level", "Counters"]
