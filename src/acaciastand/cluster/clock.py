"""Clocks of the daemons."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds of a monotonic clock that also runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_unix() -> float:
    """Return the Unix time in seconds; it may jump when the host's clock is set."""
    return time.time()
