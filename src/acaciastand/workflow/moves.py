"""Which runs are stopped to go on elsewhere.

Answers batch tasks that a service beside them holds down to a fraction of their speed, while the
next step of their job waits for the slowest of them.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from acaciastand.workflow.interference import Interference
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.worker import WorkerView

DRAIN_MARGIN_SECONDS = 0.7  # kept to stop a run and save its progress before its worker leaves
SLOWED_PERCENT = 50  # a run at this share or less is moved if there is room elsewhere
SLOWED_SECONDS = 0.7  # and if it has run for at least this long


def runs_to_move(
    workers: Sequence[WorkerView],
    waiting: Iterable[Task],
    moving: Iterable[Task],
    interference: Interference,
    now: float,
) -> list[Task]:
    """Return slowed runs for which workers have room whose services they do not disturb.

    Parameters
    ----------
    workers
        Workers that may take work.
    waiting, moving
        Tasks that will take of the room before.
    interference
        What is known of the pairs of images; gentle runs are not the ones that are slowed.
    now
        Seconds of the owner's clock.
    """
    taken = sum(task.step.size.cores for task in waiting if task.step.uses_leftover)
    taken += sum(task.step.size.cores for task in moving)
    found = []
    for task in _slowed(workers, interference, now):
        if _calm_cores(task, workers, interference) - taken < task.step.size.cores:
            continue
        taken += task.step.size.cores
        found.append(task)
    return found


def _calm_cores(task: Task, workers: Sequence[WorkerView], interference: Interference) -> float:
    """Return the leftover cores of workers on which the task disturbs no service."""
    return sum(
        max(0.0, worker.leftover_cores())
        for worker in workers
        if worker.agent_id != task.agent_id and interference.is_gentle(task, worker)
    )


def _slowed(workers: Sequence[WorkerView], interference: Interference, now: float) -> list[Task]:
    return [
        task
        for worker in workers
        if worker.serving_cores and worker.pace_percent <= SLOWED_PERCENT
        for task in worker.tasks.values()
        if task.state == TaskState.RUNNING
        and task.step.uses_leftover
        and task.step.saves_progress
        and now - task.started >= SLOWED_SECONDS
        and not interference.is_gentle(task, worker)
    ]


def runs_that_outlast(worker: WorkerView, now: float) -> list[Task]:
    """Return the runs on a leaving worker that cannot end before it leaves."""
    assert worker.identity is not None
    left = worker.identity.remaining_seconds - DRAIN_MARGIN_SECONDS
    return [
        task
        for task in worker.tasks.values()
        if task.state == TaskState.RUNNING
        and (task.step.continuous or task.step.estimate_seconds - (now - task.started) > left)
    ]
