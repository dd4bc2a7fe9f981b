"""When a run has taken so long that its worker is to blame and it starts again elsewhere."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable

from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.worker import WorkerView

FACTOR = 3.0  # on the longest run time that is expected
SLACK_SECONDS = 2.0


class OverduePolicy(ABC):
    """Limits the time of a run."""

    @abstractmethod
    def limit_seconds(self, task: Task) -> float:
        """Return how long the current run may take."""


class LongestSibling(OverduePolicy):
    """A multiple of the estimate or of the longest finished task of the same step.

    Answers workers on which tasks stand still. Estimates can be wrong by a factor for all tasks of
    a job, and a restart throws work away, so the limit grows with each restart: a job whose tasks
    simply take long is restarted a few times at most and then completes.
    """

    def limit_seconds(self, task: Task) -> float:
        """Return how long the current run may take."""
        finished = [
            other.ran_seconds for other in task.job.siblings(task) if other.state == TaskState.DONE
        ]
        expected = max([task.step.estimate_seconds, *finished])
        return FACTOR ** (1 + task.restarts) * expected + SLACK_SECONDS


def overdue_runs(
    workers: Iterable[WorkerView], policy: OverduePolicy, now: float
) -> list[tuple[Task, float]]:
    """Return the runs that have taken longer than their limit, with the limit in seconds.

    Continuous tasks have none, and the time of tasks on leftover time depends on their pace.
    """
    found = []
    for worker in workers:
        for task in worker.tasks.values():
            bounded = not task.step.continuous and not task.step.uses_leftover
            if task.state != TaskState.RUNNING or not bounded:
                continue
            limit = policy.limit_seconds(task)
            if now - task.started > limit:
                found.append((task, limit))
    return found
