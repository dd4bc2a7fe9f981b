"""Clocks of the daemons."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds of a steady clock that also counts while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_unix() -> float:
    """Return seconds since 1970; may jump."""
    return time.time()
