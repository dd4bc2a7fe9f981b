"""Choice of runs that are stopped in order to continue on another worker.

Designed for batch tasks that are slowed down to a fraction of their speed for a service on their
worker, while the next step of their job waits for the slowest of them.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from itertools import accumulate

from acaciastand.workflow.interference import Interference
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.worker import WorkerView

# Time reserved to stop a run and save its progress before its worker leaves.
DRAIN_MARGIN_SECONDS = 0.7
# A run at this pace or less is moved if another worker has capacity for it.
MAX_SLOWED_PERCENT = 50
MIN_SLOWED_RUN_SECONDS = 0.7  # A run is moved only after it has run for this long.


class WaitingCores:
    """Cores that waiting batch tasks ask for, by their rank.

    Parameters
    ----------
    ranked
        Rank and cores of each waiting batch task.
    """

    __slots__ = ("ranks", "cumulative_cores")

    def __init__(self, ranked: Iterable[tuple[tuple[float, ...], float]]) -> None:
        rows = sorted(ranked)
        self.ranks = [rank for rank, _ in rows]
        self.cumulative_cores = [0.0, *accumulate(cores for _, cores in rows)]

    def cores_before(self, rank: tuple[float, ...]) -> float:
        """Return the sum of the cores of the tasks with a smaller rank."""
        return self.cumulative_cores[bisect_left(self.ranks, rank)]


def runs_to_move(
    slowed: Iterable[tuple[tuple[float, ...], Task]],
    workers: Sequence[WorkerView],
    waiting: WaitingCores,
    moving: Iterable[Task],
    interference: Interference,
) -> list[Task]:
    """Return the slowed runs for which other workers have capacity without interference.

    Tasks that wait with a larger rank than a slowed run take no capacity from it: when more tasks
    wait than fit, the last tasks of a step that can still be in time are moved before tasks of
    later jobs start.

    Parameters
    ----------
    slowed
        Slowed runs, each with its rank among the waiting tasks.
    workers
        Workers to which new work may be assigned.
    waiting
        Cores that waiting batch tasks ask for.
    moving
        Runs that are already stopped to be moved. They take capacity first.
    interference
        Model of the interference between images.
    """
    claimed_cores = sum(task.step.size.cores for task in moving)
    chosen = []
    for rank, task in slowed:
        free_cores = (
            _non_interfering_cores(task, workers, interference)
            - claimed_cores
            - waiting.cores_before(rank)
        )
        if free_cores < task.step.size.cores:
            continue
        claimed_cores += task.step.size.cores
        chosen.append(task)
    return chosen


def _non_interfering_cores(
    task: Task, workers: Sequence[WorkerView], interference: Interference
) -> float:
    """Return the leftover cores of other workers on which a task interferes with no service."""
    return sum(
        max(0.0, worker.leftover_cores())
        for worker in workers
        if worker.agent_id != task.agent_id and interference.is_non_interfering(task, worker)
    )


def slowed_runs(
    workers: Sequence[WorkerView], interference: Interference, now: float
) -> list[Task]:
    """Return the runs that are slowed down for a service on their worker.

    Non-interfering tasks are not among them, since they keep their pace.
    """
    return [
        task
        for worker in workers
        if worker.serving_cores and worker.pace_percent <= MAX_SLOWED_PERCENT
        for task in worker.tasks.values()
        if task.state == TaskState.RUNNING
        and task.step.uses_leftover
        and task.step.saves_progress
        and now - task.started_at >= MIN_SLOWED_RUN_SECONDS
        and not interference.is_non_interfering(task, worker)
    ]


def runs_outlasting_drain(worker: WorkerView, now: float) -> list[Task]:
    """Return the runs on a draining worker that cannot end before it leaves."""
    assert worker.identity is not None
    usable_seconds = worker.identity.remaining_seconds - DRAIN_MARGIN_SECONDS
    return [
        task
        for task in worker.tasks.values()
        if task.state == TaskState.RUNNING
        and (
            task.step.continuous
            or task.step.estimate_seconds - (now - task.started_at) > usable_seconds
        )
    ]
