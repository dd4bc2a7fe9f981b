"""Headroom of a service as its load rises and falls."""

from __future__ import annotations

from collections import deque

# Growth of the variance of the headroom per second, since the load of a service varies.
DRIFT_VARIANCE_PER_SECOND = 0.5
# Share of the correction of the headroom that is added to its trend.
TREND_GAIN = 0.35
TREND_HALF_LIFE_SECONDS = 3.0
MAX_TREND_PER_SECOND = 0.8
MAX_EXTRAPOLATION_SECONDS = 1.5  # Beyond this, the trend of a swinging load says nothing.
INITIAL_EXTRA_VARIANCE = 0.05  # Added to the variance of the first measurement.
LOW_WINDOW_SECONDS = 20.0  # Time for which the lowest headroom is remembered.
LOW_BUCKET_SECONDS = 1.0  # Resolution of that memory.


class ServiceLoad:
    """Headroom that one service would have without batch tasks on its workers.

    Designed for services whose load swings within seconds. The tasks of a service share its load,
    so the measurements of all its workers correct one estimate. The estimate has a trend and its
    own variance, as in a Kalman filter.

    Attributes
    ----------
    headroom
        Estimate at `updated_at`; 1 at the latency target.
    trend
        Change of the headroom per second.
    variance
        Variance of the estimate.
    updated_at
        When the estimate was last corrected, in seconds of the owner's clock.
    lows
        Start of each time bucket and the lowest headroom in it, the oldest first.
    """

    __slots__ = ("headroom", "trend", "variance", "updated_at", "lows")

    def __init__(self, headroom: float, variance: float, now: float) -> None:
        self.headroom = headroom
        self.trend = 0.0
        self.variance = variance + INITIAL_EXTRA_VARIANCE
        self.updated_at = now
        self.lows: deque[tuple[float, float]] = deque([(now, headroom)])

    def predict(self, now: float) -> float:
        """Return the estimate at a time shortly after the last correction."""
        seconds = min(now - self.updated_at, MAX_EXTRAPOLATION_SECONDS)
        return self.headroom + self.trend * seconds

    def predict_variance(self, now: float) -> float:
        """Return the variance of the prediction for `now`."""
        return self.variance + DRIFT_VARIANCE_PER_SECOND * (now - self.updated_at)

    def correct(self, headroom: float, variance: float, now: float) -> None:
        """Correct the estimate by a measurement with the given variance."""
        seconds = now - self.updated_at
        predicted = self.predict(now)
        predicted_variance = self.predict_variance(now)
        gain = predicted_variance / (predicted_variance + variance)
        correction = gain * (headroom - predicted)
        self.headroom = predicted + correction
        self.variance = predicted_variance * (1.0 - gain)
        trend = self.trend * 0.5 ** (seconds / TREND_HALF_LIFE_SECONDS) + TREND_GAIN * correction
        self.trend = max(-MAX_TREND_PER_SECOND, min(MAX_TREND_PER_SECOND, trend))
        self.updated_at = now
        self._remember_low(now)

    def lowest_within(self, seconds: float, now: float) -> float:
        """Return the lowest headroom to be expected from `now` on for some seconds.

        A falling headroom is extrapolated, but not below the lowest that was seen in a while.
        """
        present = self.predict(now)
        if self.trend >= 0.0:
            return present
        lowest_seen = min(low for _, low in self.lows)
        return min(present, max(lowest_seen, present + self.trend * seconds))

    def _remember_low(self, now: float) -> None:
        start, low = self.lows[-1]
        if now - start < LOW_BUCKET_SECONDS:
            self.lows[-1] = (start, min(low, self.headroom))
        else:
            self.lows.append((now, self.headroom))
        while now - self.lows[0][0] > LOW_WINDOW_SECONDS:
            self.lows.popleft()
