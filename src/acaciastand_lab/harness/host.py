"""A host: cores shared by a service and batch tasks that slow it down."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

import numpy as np

from acaciastand.record import Record

SERVICE_TIME_SIGMA = 0.5  # of the logarithm; p99 is then about three times the mean
MAX_SAMPLES = 10_000  # of one late measurement


class PairSlowdown(Record):
    """Slowdown of a service by one batch class that fills the whole host.

    Parameters
    ----------
    idle, busy
        Added share of the service time when the service's own slots are all free and all taken;
        between them the slowdown is linear in the service's load.
    """

    __slots__ = ("idle", "busy")

    def __init__(self, idle: float, busy: float) -> None:
        self.idle = idle
        self.busy = busy


class InterferenceTable:
    """Slowdowns of pairs of (service, batch class); unknown pairs do not interfere."""

    def __init__(self, pairs: Mapping[tuple[str, str], PairSlowdown]) -> None:
        self.pairs = dict(pairs)

    def stretch(self, service: str, batch_shares: Mapping[str, float], load: float) -> float:
        """Return the factor on the service time, at least 1.

        Parameters
        ----------
        batch_shares
            Share of the host's cores that each batch class uses.
        load
            Share of the service's slots that are taken.
        """
        added = 0.0
        for batch_class, share in batch_shares.items():
            pair = self.pairs.get((service, batch_class))
            if pair is not None:
                added += share * (pair.idle + (pair.busy - pair.idle) * min(load, 1.0))
        return 1.0 + added


class LateMeasurement:
    """Values that are seen only `lag_seconds` after they were taken."""

    def __init__(self, lag_seconds: float) -> None:
        self.lag_seconds = lag_seconds
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def record(self, value: float, now: float) -> None:
        """Take a value."""
        self._samples.append((now, value))

    def visible(self, now: float) -> float | None:
        """Return the newest value that can be seen; None when there is none yet."""
        seen = None
        for recorded_at, value in reversed(self._samples):
            if recorded_at <= now - self.lag_seconds:
                seen = value
                break
        return seen


class HostModel:
    """Service times of one host; a service at full load and batch tasks share its cores.

    Parameters
    ----------
    cores, slots
        Size of the host and of its service.
    service, service_seconds
        The latency-critical service and its mean time on an idle host.
    table
        Slowdowns by batch tasks.
    lag_seconds
        How late measurements of the stretch are seen.
    """

    def __init__(
        self,
        name: str,
        cores: float,
        slots: int,
        service: str,
        service_seconds: float,
        table: InterferenceTable,
        rng: np.random.Generator,
        lag_seconds: float = 5.0,
    ) -> None:
        self.name = name
        self.cores = cores
        self.slots = slots
        self.service = service
        self.service_seconds = service_seconds
        self.table = table
        self.rng = rng
        self.batch: dict[str, tuple[str, float]] = {}  # task id -> batch class, cores in use
        self.slow_factor = 1.0
        self.measured_stretch = LateMeasurement(lag_seconds)

    def add_batch(self, task_id: str, batch_class: str, cores: float) -> None:
        """Start a batch task or change what it uses."""
        self.batch[task_id] = (batch_class, cores)

    def remove_batch(self, task_id: str) -> None:
        """End a batch task."""
        self.batch.pop(task_id, None)

    def batch_shares(self) -> dict[str, float]:
        """Return the share of the cores that each batch class uses."""
        shares: dict[str, float] = {}
        for batch_class, cores in self.batch.values():
            shares[batch_class] = shares.get(batch_class, 0.0) + cores / self.cores
        return shares

    def stretch(self, in_flight: int) -> float:
        """Return the present factor on the service time."""
        return self.slow_factor * self.table.stretch(
            self.service, self.batch_shares(), in_flight / self.slots
        )

    def draw_service_seconds(self, in_flight: int, now: float) -> float:
        """Return the service time of a request that starts now, and measure the stretch."""
        stretch = self.stretch(in_flight)
        self.measured_stretch.record(stretch, now)
        # The mean of a log-normal draw is exp(sigma^2 / 2).
        draw = self.rng.lognormal(-(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA)
        return float(self.service_seconds * stretch * draw)
