"""Choice of a worker for a task."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable, Sequence

from acaciastand.placement.worker import WorkerView
from acaciastand.record import Record
from acaciastand.resources import Resources

MAX_CANDIDATES = 64  # workers with room that are compared for one task
STRIDE = 7919  # prime, so that the candidates come from all over the list of workers


class PlacementRequest(Record):
    """A task that needs a worker.

    Parameters
    ----------
    size
        Resources it needs.
    service
        Only workers of this service are suitable; empty for any worker.
    avoid
        Agents that recently failed or refused the task.
    spread
        Workers that already run tasks of the same job, as (availability zone, rack, agent id).
    batch_class
        Class of the job, by which interference is known.
    """

    __slots__ = ("size", "service", "avoid", "spread", "batch_class")

    def __init__(
        self,
        size: Resources,
        service: str = "",
        avoid: Iterable[str] = (),
        spread: Iterable[tuple[str, str, str]] = (),
        batch_class: str = "",
    ) -> None:
        self.size = size
        self.service = service
        self.avoid = frozenset(avoid)
        self.spread = list(spread)
        self.batch_class = batch_class


class Placer(ABC):
    """Chooses a worker with enough free resources."""

    @abstractmethod
    def choose(self, request: PlacementRequest, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return a worker for the task, or None when none has room now."""


def has_capacity(request: PlacementRequest, worker: WorkerView) -> bool:
    """Return whether `worker` can take the task now."""
    return (
        not worker.draining
        and worker.agent_id not in request.avoid
        and request.size.fits_in(worker.free)
        and worker.suits(request.size, request.service)
    )


class FirstFit(Placer):
    """Takes the first worker with room; the baseline."""

    def choose(self, request: PlacementRequest, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the first worker with room."""
        return next((worker for worker in workers if has_capacity(request, worker)), None)


class BestFit(Placer):
    """Spreads a job over availability zones and racks, then leaves the least room behind.

    Tight packing keeps whole workers free for large tasks. Workers without accelerators come first
    for tasks that need none. Of a large fleet, `MAX_CANDIDATES` workers with room are compared,
    others for each task.
    """

    def __init__(self) -> None:
        self._start = 0

    def choose(self, request: PlacementRequest, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the worker with the lowest rank among those with room."""
        zones = Counter(zone for zone, _, _ in request.spread)
        racks = Counter((zone, rack) for zone, rack, _ in request.spread)
        hosts = Counter(agent_id for _, _, agent_id in request.spread)

        def rank(worker: WorkerView) -> tuple[object, ...]:
            zone = worker.availability_zone
            return (
                zones[zone],
                racks[zone, worker.rack],
                hosts[worker.agent_id],
                worker.free.accelerators - request.size.accelerators,
                _share_left(request.size, worker),
                worker.agent_id,
            )

        return min(self._candidates(request, workers), key=rank, default=None)

    def _candidates(
        self, request: PlacementRequest, workers: Sequence[WorkerView]
    ) -> list[WorkerView]:
        count = len(workers)
        stride = STRIDE if count % STRIDE else 1
        found: list[WorkerView] = []
        for _ in range(count):
            self._start = (self._start + stride) % count
            worker = workers[self._start]
            if has_capacity(request, worker):
                found.append(worker)
            if len(found) >= MAX_CANDIDATES:
                break
        return found


def _share_left(size: Resources, worker: WorkerView) -> float:
    left = worker.free.minus(size)
    cores = left.cores / max(worker.capacity.cores, 1e-9)
    memory = left.memory_mb / max(worker.capacity.memory_mb, 1)
    return cores + memory
