"""Limit of retries as a share of requests."""

from __future__ import annotations

from collections import deque

WINDOW_SECONDS = 10


class _Second:
    __slots__ = ("start", "requests", "retries")

    def __init__(self, start: int) -> None:
        self.start = start
        self.requests = 0
        self.retries = 0


class RetryBudget:
    """Allows a retry while retries stay within `share` of the requests in the window.

    The window is the current whole second and the `WINDOW_SECONDS` - 1 before it, so memory is
    bounded. There is no minimum: a window with fewer requests than one retry costs (five at a
    share of a fifth) allows none, so that retries stay within the share in every window.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self._seconds: deque[_Second] = deque(maxlen=WINDOW_SECONDS)

    def record_request(self, now: float) -> None:
        """Count a first attempt."""
        self._current(now).requests += 1

    def try_acquire(self, now: float) -> bool:
        """Count a retry and return True if the budget allows it."""
        retries = self.retries(now)
        requests = sum(second.requests for second in self._seconds)
        if retries + 1 > self.share * requests:
            return False
        self.record_retry(now)
        return True

    def retries(self, now: float) -> int:
        """Return the retries in the window."""
        self._current(now)
        return sum(second.retries for second in self._seconds)

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self._current(now).retries += 1

    def _current(self, now: float) -> _Second:
        start = int(now)
        while self._seconds and self._seconds[0].start <= start - WINDOW_SECONDS:
            self._seconds.popleft()
        if not self._seconds or self._seconds[-1].start < start:
            self._seconds.append(_Second(start))
        return self._seconds[-1]
