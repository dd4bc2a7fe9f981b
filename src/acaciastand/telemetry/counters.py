"""Counters, gauges and timings over statsd, with totals kept in the process."""

from __future__ import annotations

from statsd import StatsClient

MAX_NAMES = 1_024  # distinct names whose totals are kept; later names are only sent
DROPPED_NAMES = "telemetry.dropped_names"


class _NonBlockingClient(StatsClient):
    """Drops datagrams when the socket buffer is full; the base class ignores socket errors."""

    def __init__(self, host: str, port: int, prefix: str | None) -> None:
        super().__init__(host, port, prefix=prefix)
        self._sock.setblocking(False)


class Counters:
    """Counts what the process does; no method blocks or raises.

    Parameters
    ----------
    statsd_address
        ``ip:port`` of a statsd server, or empty to keep totals only.
    prefix
        First part of the names at the statsd server.
    """

    __slots__ = ("_client", "_totals")

    def __init__(self, statsd_address: str = "", prefix: str = "acaciastand") -> None:
        self._client = _connect(statsd_address, prefix)
        self._totals: dict[str, float] = {}

    def increment(self, name: str, count: int = 1) -> None:
        """Add `count` to a counter."""
        self._keep(name, self._totals.get(name, 0) + count)
        if self._client is not None:
            self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        self._keep(name, value)
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record one duration; the totals hold the count and the sum in milliseconds."""
        self._keep(f"{name}.count", self._totals.get(f"{name}.count", 0) + 1)
        self._keep(f"{name}.sum_ms", self._totals.get(f"{name}.sum_ms", 0) + milliseconds)
        if self._client is not None:
            self._client.timing(name, milliseconds)

    def totals(self) -> dict[str, float]:
        """Return a copy of the values by name, sorted."""
        return dict(sorted(self._totals.items()))

    def close(self) -> None:
        """Close the socket; totals go on."""
        if self._client is not None:
            self._client.close()
            self._client = None

    def _keep(self, name: str, value: float) -> None:
        if name in self._totals or len(self._totals) < MAX_NAMES:
            self._totals[name] = value
        else:
            self._totals[DROPPED_NAMES] = self._totals.get(DROPPED_NAMES, 0) + 1


def _connect(address: str, prefix: str) -> _NonBlockingClient | None:
    host, _, port = address.rpartition(":")
    try:
        return _NonBlockingClient(host, int(port), prefix) if address else None
    except (OSError, ValueError):
        return None  # the settings file was checked; metrics never stop a process
