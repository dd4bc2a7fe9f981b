"""Circuit breaker for writes to the store."""

from __future__ import annotations

# Failed writes in a row that open the breaker. A working store loses answers only one at a time.
FAILURES_TO_OPEN = 3
# Interval between the writes that an open breaker lets through to find out whether the store is
# back.
PROBE_SECONDS = 0.25


class CircuitBreaker:
    """Lets all writes through while the store answers, and one per interval while it does not.

    Designed for an outage of the store under load. Without the breaker, each request would wait for
    its own timeout and end with an unknown outcome, although earlier writes already show that the
    store cannot be reached. A request that the breaker stops has written nothing, so it can be
    refused at once.

    Attributes
    ----------
    failures
        Failed writes since the last successful one.
    last_call_at
        When the last write was let through.
    """

    __slots__ = ("failures", "last_call_at")

    def __init__(self) -> None:
        self.failures = 0
        self.last_call_at = float("-inf")

    @property
    def is_open(self) -> bool:
        """Whether the last `FAILURES_TO_OPEN` writes all failed."""
        return self.failures >= FAILURES_TO_OPEN

    def allows_call(self, now: float) -> bool:
        """Return whether a write may be sent at `now`, and count it as sent if so."""
        if self.is_open and now - self.last_call_at < PROBE_SECONDS:
            return False
        self.last_call_at = now
        return True

    def record_failure(self) -> None:
        """Count a write that the store refused or did not answer."""
        self.failures += 1

    def record_success(self) -> None:
        """Close the breaker after an answer of the store."""
        self.failures = 0
