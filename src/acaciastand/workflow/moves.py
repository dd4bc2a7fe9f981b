"""Which runs are stopped to go on elsewhere.

Answers batch tasks that a service beside them holds down to a fraction of their speed, while the
next step of their job waits for the slowest of them.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from itertools import accumulate

from acaciastand.workflow.interference import Interference
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.worker import WorkerView

DRAIN_MARGIN_SECONDS = 0.7  # kept to stop a run and save its progress before its worker leaves
SLOWED_PERCENT = 50  # a run at this share or less is moved if there is room elsewhere
SLOWED_SECONDS = 0.7  # and if it has run for at least this long


class WaitingCores:
    """Cores that waiting batch tasks ask for, by their rank.

    Parameters
    ----------
    ranked
        Rank and cores of each waiting batch task.
    """

    __slots__ = ("ranks", "sums")

    def __init__(self, ranked: Iterable[tuple[tuple[float, ...], float]]) -> None:
        rows = sorted(ranked)
        self.ranks = [rank for rank, _ in rows]
        self.sums = [0.0, *accumulate(cores for _, cores in rows)]

    def before(self, rank: tuple[float, ...]) -> float:
        """Return the cores of the tasks that go before one of this rank."""
        return self.sums[bisect_left(self.ranks, rank)]


def runs_to_move(
    slowed: Iterable[tuple[tuple[float, ...], Task]],
    workers: Sequence[WorkerView],
    waiting: WaitingCores,
    moving: Iterable[Task],
    interference: Interference,
) -> list[Task]:
    """Return slowed runs for which workers have room whose services they do not disturb.

    Tasks that wait behind a slowed run take no room from it: when more waits than fits, the last
    tasks of a step that can still be in time are moved before those of later jobs start.

    Parameters
    ----------
    slowed
        Slowed runs with their ranks among the waiting tasks.
    workers
        Workers that may take work.
    waiting, moving
        Tasks that will take of the room before.
    interference
        What is known of the pairs of images.
    """
    taken = sum(task.step.size.cores for task in moving)
    found = []
    for rank, task in slowed:
        left = _calm_cores(task, workers, interference) - taken - waiting.before(rank)
        if left < task.step.size.cores:
            continue
        taken += task.step.size.cores
        found.append(task)
    return found


def _calm_cores(task: Task, workers: Sequence[WorkerView], interference: Interference) -> float:
    """Return the leftover cores of workers on which the task disturbs no service."""
    return sum(
        max(0.0, worker.leftover_cores())
        for worker in workers
        if worker.agent_id != task.agent_id and interference.is_non_interfering(task, worker)
    )


def slowed_runs(
    workers: Sequence[WorkerView], interference: Interference, now: float
) -> list[Task]:
    """Return the runs that a service holds down; gentle runs are not the ones that are slowed."""
    return [
        task
        for worker in workers
        if worker.serving_cores and worker.pace_percent <= SLOWED_PERCENT
        for task in worker.tasks.values()
        if task.state == TaskState.RUNNING
        and task.step.uses_leftover
        and task.step.saves_progress
        and now - task.started >= SLOWED_SECONDS
        and not interference.is_non_interfering(task, worker)
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
