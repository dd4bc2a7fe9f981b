"""Detection of a sudden rise of a level, such as slots in use or a request rate."""

from __future__ import annotations

import math

SHORT_TIME_CONSTANT_SECONDS = 1.5  # Time constant of the average for the recent level.
LONG_TIME_CONSTANT_SECONDS = 60.0  # Time constant of the average for the usual level.
# Ratio of the recent to the usual level above which a surge begins. Demand doubles in a surge, and
# the ratio exceeds 1.5 about two seconds later.
ENTER_RATIO = 1.5
LEAVE_RATIO = 1.2  # Ratio of the recent to the usual level up to which a surge can end.
LEAVE_SECONDS = 5.0  # Time that the ratio must stay within `LEAVE_RATIO` before a surge ends.
# Time after the first sample during which no surge begins, because the usual level is unknown.
WARM_UP_SECONDS = 15.0
# Duration after which a surge ends and the higher level counts as the usual one.
MAX_SURGE_SECONDS = 1800.0


class SurgeDetector:
    """Compares a short moving average with a long one; the thresholds to enter and leave differ.

    The long average is frozen during a surge, so that the level of a long surge does not become the
    usual level.

    Parameters
    ----------
    min_level
        Recent level below which there is no surge, in the unit of the samples. Low request rates
        vary by a factor of two by chance.
    """

    def __init__(self, min_level: float = 0.0) -> None:
        self.min_level = min_level
        self.short_average = 0.0
        self.long_average = 0.0
        self.surging = False
        self._last_at: float | None = None
        self._first_at = 0.0
        self._surge_started_at = 0.0
        self._last_above_at = 0.0

    def record(self, level: float, now: float) -> bool:
        """Add a sample of the level and return whether there is a surge.

        Parameters
        ----------
        now
            Time of the sample in seconds of the monotonic clock.
        """
        if self._last_at is None:
            self.short_average = self.long_average = level
            self._first_at = now
        else:
            elapsed = max(0.0, now - self._last_at)
            self.short_average += (level - self.short_average) * _smoothing_weight(
                elapsed, SHORT_TIME_CONSTANT_SECONDS
            )
            if not self.surging:
                # The average is the mean of all samples until they cover the long time constant.
                mean_weight = elapsed / max(now - self._first_at, elapsed, 1e-9)
                weight = max(mean_weight, _smoothing_weight(elapsed, LONG_TIME_CONSTANT_SECONDS))
                self.long_average += (level - self.long_average) * weight
        self._last_at = now
        if self.surging:
            self._check_end(now)
        elif self._exceeds_usual(ENTER_RATIO) and now - self._first_at >= WARM_UP_SECONDS:
            self.surging = True
            self._surge_started_at = self._last_above_at = now
        return self.surging

    def _exceeds_usual(self, ratio: float) -> bool:
        return (
            self.short_average >= self.min_level and self.short_average > self.long_average * ratio
        )

    def _check_end(self, now: float) -> None:
        if now - self._surge_started_at >= MAX_SURGE_SECONDS:
            self.long_average = self.short_average
            self.surging = False
            return
        if self._exceeds_usual(LEAVE_RATIO):
            self._last_above_at = now
        elif now - self._last_above_at >= LEAVE_SECONDS:
            self.surging = False


def _smoothing_weight(elapsed: float, time_constant: float) -> float:
    return 1.0 - math.exp(-elapsed / time_constant)
