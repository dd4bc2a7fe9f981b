"""Placement of tasks that run only all together."""

from __future__ import annotations

from collections.abc import Sequence

from acaciastand.workflow.job import Task
from acaciastand.workflow.placement import Placement
from acaciastand.workflow.worker import WorkerView


def place_gang(
    tasks: Sequence[Task], workers: Sequence[WorkerView], placement: Placement, now: float
) -> list[WorkerView] | None:
    """Return a worker for each task, or None if not all of them fit at the same time.

    A gang that is slower on several racks is placed on one rack if any has the capacity.
    """
    if tasks[0].step.same_rack:
        for rack in sorted({worker.rack for worker in workers}):
            rack_workers = [worker for worker in workers if worker.rack == rack]
            chosen = _place_all(tasks, rack_workers, placement, now)
            if chosen is not None:
                return chosen
    return _place_all(tasks, workers, placement, now)


def _place_all(
    tasks: Sequence[Task], workers: Sequence[WorkerView], placement: Placement, now: float
) -> list[WorkerView] | None:
    chosen: list[WorkerView] = []
    try:
        for task in tasks:
            worker = placement.choose(task, workers, now, starving=True)
            if worker is None:
                return None
            # Reserves the resources for the choices that follow; `finally` releases them.
            worker.assign(task)
            chosen.append(worker)
        return chosen
    finally:
        for task, worker in zip(tasks, chosen, strict=False):
            worker.remove(task)
