"""Whether a write to the store is worth trying."""

from __future__ import annotations

FAILURES_TO_OPEN = 3  # in a row; answers of a working store are lost one at a time
PROBE_SECONDS = 0.25  # between two writes that try whether the store is back


class CircuitBreaker:
    """Lets all writes pass while the store answers, and one at a time while it does not.

    Answers an outage under load: each request would wait for its own timeout and be left with an
    outcome that is not known, although what was tried before shows that the store cannot be
    reached. Requests that are not let pass have tried nothing and can be refused at once.
    """

    __slots__ = ("failures", "last_call_at")

    def __init__(self) -> None:
        self.failures = 0
        self.last_call_at = float("-inf")

    @property
    def is_open(self) -> bool:
        """Whether the last writes all failed."""
        return self.failures >= FAILURES_TO_OPEN

    def allows_call(self, now: float) -> bool:
        """Return whether a write may be tried."""
        if self.is_open and now - self.last_call_at < PROBE_SECONDS:
            return False
        self.last_call_at = now
        return True

    def record_failure(self) -> None:
        """Take note of a write without an answer, or one that was turned away."""
        self.failures += 1

    def record_success(self) -> None:
        """Take note that the store answers."""
        self.failures = 0
