"""Deadlines of requests; messages between processes carry the remaining milliseconds."""

from __future__ import annotations

from acaciastand.record import Record

# Least remaining time in which a target can answer. The one-way latency is about 1 ms within an
# availability zone and 1.5 ms between zones.
MIN_REMAINING_MS = 3
MAX_KEYED_TIMEOUT_MS = 15_000  # Less than the 20.75 s after which a bucket may move.
MAX_TIMEOUT_MS = 60_000
# Share of the latency of the fastest target; with less time remaining, an answer is unlikely.
MIN_LATENCY_SHARE = 0.5


class Deadline(Record):
    """Deadline of a request on the local monotonic clock.

    Parameters
    ----------
    expires_at
        Seconds of the monotonic clock.
    """

    __slots__ = ("expires_at",)

    def __init__(self, expires_at: float) -> None:
        self.expires_at = expires_at

    @classmethod
    def after(cls, now: float, timeout_ms: int, keyed: bool = False) -> Deadline:
        """Return the deadline `timeout_ms` after `now`; longer timeouts are shortened to the limit.

        Parameters
        ----------
        keyed
            Whether the request is routed by its idempotency key. The limit is lower for these
            requests.
        """
        limit = MAX_KEYED_TIMEOUT_MS if keyed else MAX_TIMEOUT_MS
        return cls(now + min(timeout_ms, limit) / 1000)

    def remaining_seconds(self, now: float) -> float:
        """Return the remaining time, which is never negative."""
        return max(self.expires_at - now, 0.0)

    def remaining_ms(self, now: float) -> int:
        """Return the remaining time in whole milliseconds, rounded down."""
        return int(self.remaining_seconds(now) * 1000)

    def is_too_short(self, now: float, lowest_latency_seconds: float | None) -> bool:
        """Return whether no answer can be expected before the deadline.

        Parameters
        ----------
        lowest_latency_seconds
            Recent latency of the fastest target; None when it is unknown.
        """
        if self.remaining_ms(now) < MIN_REMAINING_MS:
            return True
        return self.remaining_seconds(now) < MIN_LATENCY_SHARE * (lowest_latency_seconds or 0.0)
