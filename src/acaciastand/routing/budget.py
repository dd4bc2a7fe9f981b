"""Limit of retries as a share of the requests."""

from __future__ import annotations

from collections import deque

WINDOW_SECONDS = 10


class _SecondCounts:
    """Requests and retries of one whole second, which begins at `start`."""

    __slots__ = ("start", "requests", "retries")

    def __init__(self, start: int) -> None:
        self.start = start
        self.requests = 0
        self.retries = 0


class RetryBudget:
    """Allows a retry while the retries stay within `share` of the requests in the window.

    The window is the current whole second and the `WINDOW_SECONDS` - 1 seconds before it, so memory
    is bounded. No minimum number of retries is allowed: at a share of a fifth, a window with fewer
    than five requests allows none, so that the retries stay within the share in every window.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self._seconds: deque[_SecondCounts] = deque(maxlen=WINDOW_SECONDS)

    def record_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._current_second(now).requests += 1

    def try_acquire(self, now: float) -> bool:
        """Return whether the budget allows a retry, and count the retry if so."""
        retries = self.retries(now)
        requests = sum(second.requests for second in self._seconds)
        if retries + 1 > self.share * requests:
            return False
        self.record_retry(now)
        return True

    def retries(self, now: float) -> int:
        """Return the number of retries in the window."""
        self._current_second(now)
        return sum(second.retries for second in self._seconds)

    def record_retry(self, now: float) -> None:
        """Count a retry without a check of the budget."""
        self._current_second(now).retries += 1

    def _current_second(self, now: float) -> _SecondCounts:
        start = int(now)
        while self._seconds and self._seconds[0].start <= start - WINDOW_SECONDS:
            self._seconds.popleft()
        if not self._seconds or self._seconds[-1].start < start:
            self._seconds.append(_SecondCounts(start))
        return self._seconds[-1]
