"""Send times of heartbeats, from which grants are counted."""

from __future__ import annotations

from collections import OrderedDict

KEPT_HEARTBEATS = 64  # sequences per link; at 1 s intervals more than four default grants


class SentHeartbeats:
    """Send times of the last `KEPT_HEARTBEATS` heartbeats of each link."""

    def __init__(self) -> None:
        self._links: dict[str, OrderedDict[int, float]] = {}

    def record(self, link: str, sequence: int, now: float) -> None:
        """Remember that heartbeat `sequence` is sent on `link` at `now`."""
        times = self._links.setdefault(link, OrderedDict())
        times[sequence] = now
        while len(times) > KEPT_HEARTBEATS:
            times.popitem(last=False)

    def forget_link(self, link: str) -> None:
        """Forget a closed link; grants that were sent on it are refused from then on."""
        self._links.pop(link, None)

    def sent_at(self, link: str, sequence: int) -> float | None:
        """Return when the heartbeat was sent, or None when it is unknown or too old."""
        return self._links.get(link, OrderedDict()).get(sequence)
