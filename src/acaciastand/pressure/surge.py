"""Detects that a level, such as slots in use or a request rate, has risen suddenly."""

from __future__ import annotations

import math

SHORT_SECONDS = 1.5  # time constant of the recent level
LONG_SECONDS = 60.0  # time constant of the usual level
ENTER_RATIO = 1.5  # demand doubles in the rain; 1.5 is passed about two seconds after it does
LEAVE_RATIO = 1.2
LEAVE_SECONDS = 5.0  # time below the exit threshold before the surge is over
WARM_UP_SECONDS = 15.0  # time without surges at the start, while the usual level is unknown
MAX_SURGE_SECONDS = 1800.0  # a higher level that lasts longer is taken for the usual one


class SurgeDetector:
    """Compares a short window with a long one; entry and exit thresholds differ.

    The long window is frozen during a surge, so that a long rain does not become the usual level.

    Parameters
    ----------
    minimum
        Recent level below which there is no surge, in the unit of the samples; few requests vary
        by a factor of two by chance.
    """

    def __init__(self, minimum: float = 0.0) -> None:
        self.minimum = minimum
        self.short = 0.0
        self.long = 0.0
        self.surging = False
        self._last: float | None = None
        self._first = 0.0
        self._started = 0.0
        self._above = 0.0

    def record(self, level: float, now: float) -> bool:
        """Take the current level and return whether there is a surge."""
        if self._last is None:
            self.short = self.long = level
            self._first = now
        else:
            elapsed = max(0.0, now - self._last)
            self.short += (level - self.short) * _weight(elapsed, SHORT_SECONDS)
            if not self.surging:
                # The mean of all samples, until they cover the long window.
                mean = elapsed / max(now - self._first, elapsed, 1e-9)
                weight = max(mean, _weight(elapsed, LONG_SECONDS))
                self.long += (level - self.long) * weight
        self._last = now
        if self.surging:
            self._leave(now)
        elif self._rises(ENTER_RATIO) and now - self._first >= WARM_UP_SECONDS:
            self.surging = True
            self._started = self._above = now
        return self.surging

    def _rises(self, ratio: float) -> bool:
        return self.short >= self.minimum and self.short > self.long * ratio

    def _leave(self, now: float) -> None:
        if now - self._started >= MAX_SURGE_SECONDS:
            self.long = self.short
            self.surging = False
            return
        if self._rises(LEAVE_RATIO):
            self._above = now
        elif now - self._above >= LEAVE_SECONDS:
            self.surging = False


def _weight(elapsed: float, seconds: float) -> float:
    return 1.0 - math.exp(-elapsed / seconds)
