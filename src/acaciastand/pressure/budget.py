"""Rate limit of the evictions on one worker."""

from __future__ import annotations

from collections import deque

WINDOW_SECONDS = 60.0


class EvictionBudget:
    """Allows `per_minute` evictions in a sliding window of one minute.

    At most `per_minute` times are stored, but at least one.
    """

    def __init__(self, per_minute: int) -> None:
        self.per_minute = per_minute
        self._times: deque[float] = deque()

    def available(self, now: float) -> int:
        """Return the number of evictions that are allowed now."""
        while self._times and now - self._times[0] >= WINDOW_SECONDS:
            self._times.popleft()
        return max(0, self.per_minute - len(self._times))

    def record_eviction(self, now: float) -> None:
        """Count an eviction; evictions for memory count too, even beyond the limit."""
        self._times.append(now)
        while len(self._times) > max(1, self.per_minute):
            self._times.popleft()
