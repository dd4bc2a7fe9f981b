"""Logging as JSON lines, and counters."""

from acaciastand.telemetry.counters import Counters
from acaciastand.telemetry.logs import configure_logging, set_level

__all__ = ["configure_logging", "set_level", "Counters"]
