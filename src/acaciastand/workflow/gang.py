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

    A gang that is slower on several racks is placed on one rack if any has the room.
    """
    if tasks[0].step.same_rack:
        for rack in sorted({worker.rack for worker in workers}):
            near = [worker for worker in workers if worker.rack == rack]
            found = _place(tasks, near, placement, now)
            if found is not None:
                return found
    return _place(tasks, workers, placement, now)


def _place(
    tasks: Sequence[Task], workers: Sequence[WorkerView], placement: Placement, now: float
) -> list[WorkerView] | None:
    chosen: list[WorkerView] = []
    try:
        for task in tasks:
            worker = placement.choose(task, workers, now, starving=True)
            if worker is None:
                return None
            worker.assign(task)  # so that the next one sees the room that is left
            chosen.append(worker)
        return chosen
    finally:
        for task, worker in zip(tasks, chosen, strict=False):
            worker.remove(task)
