"""Limit of evictions per minute on one worker."""

from __future__ import annotations

from collections import deque

WINDOW_SECONDS = 60.0


class EvictionBudget:
    """Counts evictions over a sliding minute; at most `per_minute` times are kept."""

    def __init__(self, per_minute: int) -> None:
        self.per_minute = per_minute
        self._times: deque[float] = deque()

    def available(self, now: float) -> int:
        """Return how many evictions are allowed now."""
        while self._times and now - self._times[0] >= WINDOW_SECONDS:
            self._times.popleft()
        return max(0, self.per_minute - len(self._times))

    def spend(self, now: float) -> None:
        """Count an eviction; those for memory count too, even beyond the limit."""
        self._times.append(now)
        while len(self._times) > max(1, self.per_minute):
            self._times.popleft()
