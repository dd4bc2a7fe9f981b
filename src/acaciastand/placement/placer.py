"""Placers, which choose a worker for a task."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable, Sequence

from acaciastand.placement.worker import WorkerView
from acaciastand.record import Record
from acaciastand.resources import Resources

MAX_CANDIDATES = 64  # Workers with free capacity that are compared for one task.
# Distance between examined positions of the list of workers. It is a prime number, so that the
# candidates come from all parts of the list.
CANDIDATE_STRIDE = 7919


class PlacementRequest(Record):
    """A task that needs a worker.

    Parameters
    ----------
    size
        Resources that the task needs.
    service
        Service that must have a target on the worker; empty for any worker.
    avoid
        Agents that must not be assigned the task, such as those that recently failed or refused it.
    same_job_workers
        Workers that already run tasks of the same job, as (availability zone, rack, agent id).
    batch_class
        Batch class of the job; interference is learned for each batch class.
    """

    __slots__ = ("size", "service", "avoid", "same_job_workers", "batch_class")

    def __init__(
        self,
        size: Resources,
        service: str = "",
        avoid: Iterable[str] = (),
        same_job_workers: Iterable[tuple[str, str, str]] = (),
        batch_class: str = "",
    ) -> None:
        self.size = size
        self.service = service
        self.avoid = frozenset(avoid)
        self.same_job_workers = list(same_job_workers)
        self.batch_class = batch_class


class Placer(ABC):
    """Chooses a worker with enough free resources."""

    @abstractmethod
    def choose(self, request: PlacementRequest, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return a worker for the task, or None when no worker has enough free capacity now."""


def has_capacity(request: PlacementRequest, worker: WorkerView) -> bool:
    """Return whether the task can be started on `worker` now."""
    return (
        not worker.draining
        and worker.agent_id not in request.avoid
        and request.size.fits_in(worker.free)
        and worker.suits(request.size, request.service)
    )


class FirstFit(Placer):
    """Chooses the first worker with free capacity; the baseline."""

    def choose(self, request: PlacementRequest, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the first worker with free capacity."""
        return next((worker for worker in workers if has_capacity(request, worker)), None)


class BestFit(Placer):
    """Spreads a job over availability zones and racks, then leaves the least capacity free.

    Tight packing keeps whole workers free for large tasks. Workers without free accelerators come
    first for tasks that need none. In a large fleet, `MAX_CANDIDATES` workers with free capacity
    are compared, and different ones for each task.
    """

    def __init__(self) -> None:
        self._position = 0

    def choose(self, request: PlacementRequest, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the worker with the lowest rank among the candidates."""
        zones = Counter(zone for zone, _, _ in request.same_job_workers)
        racks = Counter((zone, rack) for zone, rack, _ in request.same_job_workers)
        hosts = Counter(agent_id for _, _, agent_id in request.same_job_workers)

        def rank(worker: WorkerView) -> tuple[object, ...]:
            zone = worker.availability_zone
            return (
                zones[zone],
                racks[zone, worker.rack],
                hosts[worker.agent_id],
                worker.free.accelerators - request.size.accelerators,
                _remaining_share(request.size, worker),
                worker.agent_id,
            )

        return min(self._candidates(request, workers), key=rank, default=None)

    def _candidates(
        self, request: PlacementRequest, workers: Sequence[WorkerView]
    ) -> list[WorkerView]:
        count = len(workers)
        stride = CANDIDATE_STRIDE if count % CANDIDATE_STRIDE else 1
        candidates: list[WorkerView] = []
        for _ in range(count):
            self._position = (self._position + stride) % count
            worker = workers[self._position]
            if has_capacity(request, worker):
                candidates.append(worker)
            if len(candidates) >= MAX_CANDIDATES:
                break
        return candidates


def _remaining_share(size: Resources, worker: WorkerView) -> float:
    """Return the sum of the shares of cores and memory that stay free with a task of `size`."""
    remaining = worker.free.minus(size)
    cores = remaining.cores / max(worker.capacity.cores, 1e-9)
    memory = remaining.memory_mb / max(worker.capacity.memory_mb, 1)
    return cores + memory
