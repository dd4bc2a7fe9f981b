"""Deadlines; between processes they travel as remaining milliseconds."""

from __future__ import annotations

from acaciastand.record import Record

MIN_REMAINING_MS = 3  # one-way latency in an availability zone is about 1 ms, and 1.5 ms across
MAX_KEYED_TIMEOUT_MS = 15_000  # less than the 20.75 s after which a bucket may move
MAX_TIMEOUT_MS = 60_000
HOPELESS_SHARE = 0.5  # of the fastest target's usual latency; below it an answer is unlikely


class Deadline(Record):
    """A moment of the local monotonic clock.

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
        """Return the deadline `timeout_ms` from `now`, within the limits."""
        limit = MAX_KEYED_TIMEOUT_MS if keyed else MAX_TIMEOUT_MS
        return cls(now + min(timeout_ms, limit) / 1000)

    def remaining_seconds(self, now: float) -> float:
        """Return the time left, never negative."""
        return max(self.expires_at - now, 0.0)

    def remaining_ms(self, now: float) -> int:
        """Return the whole milliseconds left, rounded down."""
        return int(self.remaining_seconds(now) * 1000)

    def is_too_short(self, now: float, usual_seconds: float | None) -> bool:
        """Return whether no answer can be expected in time.

        Parameters
        ----------
        usual_seconds
            Recent latency of the fastest target; None when unknown.
        """
        if self.remaining_ms(now) < MIN_REMAINING_MS:
            return True
        return self.remaining_seconds(now) < HOPELESS_SHARE * (usual_seconds or 0.0)
