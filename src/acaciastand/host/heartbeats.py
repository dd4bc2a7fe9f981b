"""Send times of heartbeats; a grant is valid from the sending of the heartbeat it names."""

from __future__ import annotations

from collections import OrderedDict

# At an interval of 1 s this covers more than four grants of the default length.
MAX_HEARTBEATS_PER_LINK = 64


class SentHeartbeats:
    """Send times of the last `MAX_HEARTBEATS_PER_LINK` heartbeats of each connection.

    A connection is known by its link name, which is never used again after it closed.
    """

    def __init__(self) -> None:
        self._links: dict[str, OrderedDict[int, float]] = {}

    def record(self, link: str, sequence: int, now: float) -> None:
        """Record that heartbeat `sequence` is sent on `link` at `now`."""
        times = self._links.setdefault(link, OrderedDict())
        times[sequence] = now
        while len(times) > MAX_HEARTBEATS_PER_LINK:
            times.popitem(last=False)

    def forget_link(self, link: str) -> None:
        """Forget a closed connection; grants that were sent on it are refused from then on."""
        self._links.pop(link, None)

    def sent_at(self, link: str, sequence: int) -> float | None:
        """Return when the heartbeat was sent, or None when it is unknown or too old."""
        return self._links.get(link, OrderedDict()).get(sequence)
