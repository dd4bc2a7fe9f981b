"""Which waiting task is considered first."""

from __future__ import annotations

from abc import ABC, abstractmethod

from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.job import Job, Task

LATE_FACTOR = 3.0  # a job completed after this many times its objective has no value to the caller


class RankingPolicy(ABC):
    """Orders waiting tasks."""

    @abstractmethod
    def rank(self, task: Task, queue: Queue, now_unix: float) -> tuple[float, ...]:
        """Return a sort key; the smallest goes first."""


class FirstComeFirstServed(RankingPolicy):
    """Baseline: by priority and then by the time of submission."""

    def rank(self, task: Task, queue: Queue, now_unix: float) -> tuple[float, ...]:
        """Return the key."""
        return (queue.priority, task.job.accepted_unix)


class LeastSlackFirst(RankingPolicy):
    """By priority, and within it jobs that can still be in time by the time they have to spare.

    Answers a burst of large jobs, where first come, first served lets jobs that are late already
    make all later ones late too. Jobs that cannot be in time follow, the oldest first, so that
    none starves.
    """

    def rank(self, task: Task, queue: Queue, now_unix: float) -> tuple[float, ...]:
        """Return the key."""
        if task.step.continuous:
            return (queue.priority, 0, task.job.accepted_unix)
        slack = slack_seconds(task.job, queue, now_unix, task.name.step)
        if slack >= 0:
            return (queue.priority, 1, slack)
        return (queue.priority, 2, task.job.accepted_unix)


def objective_seconds(job: Job, queue: Queue) -> float:
    """Return within which time a job should complete."""
    return queue.stretch * max(job.critical_path_seconds, default=0.0) + queue.target_seconds


def slack_seconds(job: Job, queue: Queue, now_unix: float, step: int) -> float:
    """Return how long a step can still wait with the job completing in time."""
    due = job.accepted_unix + objective_seconds(job, queue)
    return due - now_unix - job.critical_path_seconds[step]
