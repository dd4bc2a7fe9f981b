"""Limits on the duration of a run.

The worker of a run that exceeds its limit is suspected, and the task starts again elsewhere.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping

from acaciastand.workflow.copies import suspect_reason
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.worker import WorkerView

OVERDUE_FACTOR = 3.0  # Multiple of the longest expected run time.
OVERDUE_MARGIN_SECONDS = 2.0  # Time that is added to that multiple.


class OverduePolicy(ABC):
    """Policy on how long a run may take."""

    @abstractmethod
    def limit_seconds(self, task: Task) -> float:
        """Return how long the current run of a task may take, in seconds."""


class LongestSibling(OverduePolicy):
    """Limit at a multiple of the estimate or of the longest finished task of the same step.

    Designed for workers on which tasks make no progress. Estimates can be wrong by a factor for all
    tasks of a job, and a restart throws work away, so the limit grows with each restart: a job
    whose tasks simply take long is restarted a few times at most and then completes.
    """

    def limit_seconds(self, task: Task) -> float:
        """Return how long the current run of a task may take, in seconds."""
        finished = [
            other.last_run_seconds
            for other in task.job.siblings(task)
            if other.state == TaskState.DONE
        ]
        expected = max([task.step.estimate_seconds, *finished])
        return OVERDUE_FACTOR ** (1 + task.overdue_restarts) * expected + OVERDUE_MARGIN_SECONDS


def overdue_runs(
    workers: Mapping[str, WorkerView], policy: OverduePolicy, now: float
) -> list[tuple[Task, float]]:
    """Return the runs that have taken longer than their limit, with the limit in seconds.

    Continuous tasks have no limit. Batch tasks have none either, since their run time depends on
    their pace. Nor has a run whose task has another run on a sound worker within `OVERDUE_FACTOR`
    times its limit: that run already serves as the restart.
    """
    overdue = []
    for worker in workers.values():
        for task in worker.tasks.values():
            has_limit = not task.step.continuous and not task.step.uses_leftover
            if task.state != TaskState.RUNNING or not has_limit:
                continue
            limit = policy.limit_seconds(task)
            if now - task.started_at <= limit:
                continue
            if not any(
                now - other.started_at <= OVERDUE_FACTOR * policy.limit_seconds(other)
                for other in _sound_runs(task.other_runs(), workers, now)
            ):
                overdue.append((task, limit))
    return overdue


def _sound_runs(runs: Iterable[Task], workers: Mapping[str, WorkerView], now: float) -> list[Task]:
    """Return the runs that go on, on workers that are not suspect."""
    return [
        run
        for run in runs
        if run.state == TaskState.RUNNING and not suspect_reason(workers[run.agent_id], now)
    ]
