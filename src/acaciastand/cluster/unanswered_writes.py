"""Writes of an entry whose outcome is not known."""

from __future__ import annotations

from acaciastand.cluster.clock import now

# An unanswered write has reached the store after this time, or never does.
MAX_LOST_WRITE_SECONDS = 30.0


class UnansweredWrites:
    """Counts the attempts to write each key that have begun and have no known outcome.

    Several calls may write the same key at the same time, so that the outcome of one says nothing
    of the others.

    Attributes
    ----------
    counts
        Number of such attempts by key.
    began_at
        When the last attempt to write each of these keys began, the oldest first.
    """

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.began_at: dict[str, float] = {}

    def __contains__(self, key: object) -> bool:
        return key in self.counts

    def begin(self, key: str) -> None:
        """Record an attempt that begins, and forget those that can have no effect any more."""
        at = now()
        while self.began_at:
            oldest = next(iter(self.began_at))
            if at - self.began_at[oldest] <= MAX_LOST_WRITE_SECONDS:
                break
            self._forget(oldest)
        self.counts[key] = self.counts.get(key, 0) + 1
        self.began_at.pop(key, None)
        self.began_at[key] = at

    def end(self, key: str) -> None:
        """Record that the outcome of an attempt is known."""
        if key not in self.counts:
            return
        self.counts[key] -= 1
        if not self.counts[key]:
            self._forget(key)

    def _forget(self, key: str) -> None:
        del self.counts[key]
        del self.began_at[key]
