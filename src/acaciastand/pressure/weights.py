"""Weights that operators give to the measured outcomes."""

from __future__ import annotations

from acaciastand.record import Record


class Weights(Record):
    """Weights of tail latency, batch throughput and evictions; only their ratios matter."""

    __slots__ = ("tail_latency", "throughput", "eviction")

    def __init__(
        self, tail_latency: float = 0.5, throughput: float = 0.3, eviction: float = 0.2
    ) -> None:
        self.tail_latency = tail_latency
        self.throughput = throughput
        self.eviction = eviction

    @property
    def latency_share(self) -> float:
        """Share of tail latency in its weight plus that of throughput, from 0 to 1."""
        total = self.tail_latency + self.throughput
        return self.tail_latency / total if total > 0 else 0.5

    @property
    def eviction_share(self) -> float:
        """Share of evictions in the sum of all weights, from 0 to 1."""
        total = self.tail_latency + self.throughput + self.eviction
        return self.eviction / total if total > 0 else 1 / 3
