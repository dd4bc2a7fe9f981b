"""Which runs are stopped to go on elsewhere.

Answers batch tasks that a service beside them holds down to a fraction of their speed, while the
next step of their job waits for the slowest of them.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.worker import WorkerView

SLOWED_PERCENT = 50  # a run at this share or less is moved if there is room elsewhere
SLOWED_SECONDS = 0.7  # and if it has run for at least this long


def runs_to_move(
    workers: Sequence[WorkerView], waiting: Iterable[Task], moving: Iterable[Task], now: float
) -> list[Task]:
    """Return slowed runs for which workers without services have room.

    Parameters
    ----------
    workers
        Workers that may take work.
    waiting, moving
        Tasks that will take of the room before.
    now
        Seconds of the owner's clock.
    """
    free = sum(max(0.0, w.leftover_cores()) for w in workers if not w.serving_cores)
    free -= sum(task.step.size.cores for task in waiting if task.step.uses_leftover)
    free -= sum(task.step.size.cores for task in moving)
    found = []
    for task in _slowed(workers, now):
        if task.step.size.cores > free:
            break
        free -= task.step.size.cores
        found.append(task)
    return found


def _slowed(workers: Sequence[WorkerView], now: float) -> list[Task]:
    return [
        task
        for worker in workers
        if worker.serving_cores and worker.pace_percent <= SLOWED_PERCENT
        for task in worker.tasks.values()
        if task.state == TaskState.RUNNING
        and task.step.uses_leftover
        and task.step.saves_progress
        and now - task.started >= SLOWED_SECONDS
    ]
