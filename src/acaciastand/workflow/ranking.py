"""Ranking of waiting tasks."""

from __future__ import annotations

from abc import ABC, abstractmethod

from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.job import Job, Task
from acaciastand.workflow.work import remaining_core_seconds

# A job that completes after this multiple of its objective has no value to the caller.
LATE_FACTOR = 3.0
# A job that is late by this multiple of the time for which it was worth something may go first.
MAX_WAIT_FACTOR = 2.0
# A job with less work than this share of the mean of its queue counts as small.
SMALL_JOB_SHARE = 0.5

# Service whose workers are asked for, and priority of the queue.
PriorityKey = tuple[str, int]


class RankingPolicy(ABC):
    """Policy on the order in which waiting tasks are considered.

    All tasks of one step and occurrence of a job have the same rank.
    """

    @abstractmethod
    def rank(self, task: Task, queue: Queue, now_unix: float) -> tuple[float, ...]:
        """Return the rank of a task as a sort key; the smallest goes first."""


class FirstComeFirstServed(RankingPolicy):
    """Baseline: ranks by priority and then by the time of submission."""

    def rank(self, task: Task, queue: Queue, now_unix: float) -> tuple[float, ...]:
        """Return the priority and the time of submission."""
        return (queue.priority, task.job.accepted_unix)


class LeastSlackFirst(RankingPolicy):
    """Ranks by priority and then by the time that a job can still wait and complete in time.

    Designed for a burst of large jobs, for which first come, first served lets jobs that are late
    already make all later jobs late too. Jobs that cannot complete in time any more come last, the
    oldest first, so that none starves.
    """

    def rank(self, task: Task, queue: Queue, now_unix: float) -> tuple[float, ...]:
        """Return the priority, the class of the task and its key within the class."""
        if task.step.continuous:
            return (queue.priority, 0, task.job.accepted_unix)
        slack = slack_seconds(task.job, queue, now_unix, task.name.step)
        if slack >= 0:
            return (queue.priority, 1, slack)
        return (queue.priority, 2, task.job.accepted_unix)


def priority_key(queue: Queue) -> PriorityKey:
    """Return the service and the priority of a queue."""
    return (queue.service, queue.priority)


class Shortage:
    """What is known of the load when tasks are ranked.

    Attributes
    ----------
    priorities
        Services and priorities whose work exceeds the room: much of it is late already.
    mean_core_seconds
        Mean work of the unfinished jobs of each queue.
    run_time_ratios
        Factor by which run times of each queue exceed the callers' estimates.
    longest_waiting
        For each service and priority, the id of the oldest job that has waited for too long, and
        the number of its occurrence.
    """

    __slots__ = ("priorities", "mean_core_seconds", "run_time_ratios", "longest_waiting")

    def __init__(self) -> None:
        self.priorities: set[PriorityKey] = set()
        self.mean_core_seconds: dict[str, float] = {}
        self.run_time_ratios: dict[str, float] = {}
        self.longest_waiting: dict[PriorityKey, tuple[str, int]] = {}

    def affects(self, queue: Queue) -> bool:
        """Return whether the priority of a queue is short of room on the workers of its service."""
        return priority_key(queue) in self.priorities


class LeastCostFirst(RankingPolicy):
    """Ranks by priority and, when not all jobs can be in time, by the work that serves a caller.

    A priority that is not short of room is ranked by `LeastSlackFirst`.

    Designed for bursts of jobs of very different sizes that exceed the room for seconds. By slack
    alone, all cores are spread over jobs that all become late together. While a priority is short
    of room, the job with the least remaining work for its worth goes first, so that begun jobs
    complete before others begin, and small jobs before large ones. Jobs that are not small are
    worth their work, so that the largest are not starved. Late jobs that are still worth something
    follow, then those worth nothing, the oldest first. One of these at a time may go first once it
    has waited for long. Of jobs with equal cost, the oldest goes first.

    Parameters
    ----------
    shortage
        What is known of the load; the caller keeps it up to date.
    """

    def __init__(self, shortage: Shortage) -> None:
        self.shortage = shortage
        self.baseline = LeastSlackFirst()

    def rank(self, task: Task, queue: Queue, now_unix: float) -> tuple[float, ...]:
        """Return the priority, the class of the task and its key within the class."""
        if task.step.continuous or not self.shortage.affects(queue):
            return self.baseline.rank(task, queue, now_unix)
        job, occurrence = task.job, task.name.occurrence
        if self.shortage.longest_waiting.get(priority_key(queue)) == (job.job_id, occurrence):
            return (queue.priority, 1, 0.0)
        ratio = self.shortage.run_time_ratios.get(queue.name, 1.0)
        slack = occurrence_slack_seconds(job, queue, now_unix, occurrence, task.name.step, ratio)
        if slack < -late_seconds(job, queue, ratio):
            return (queue.priority, 4, job.accepted_unix)
        is_late = slack < 0
        return (queue.priority, 3 if is_late else 2, self._cost(task), job.accepted_unix)

    def _cost(self, task: Task) -> float:
        """Return the remaining work of a job in proportion to its worth."""
        total = task.job.total_core_seconds
        mean = self.shortage.mean_core_seconds.get(task.job.queue, total)
        return work_cost(remaining_core_seconds(task.job, task.name.occurrence), total, mean)


def work_cost(remaining: float, total: float, mean: float) -> float:
    """Return the remaining work of a job in proportion to its worth, from 0 to 1.

    That is the share of its work that remains. A small job is worth more than its work, so that it
    costs less than a large one of which the same share remains.

    Parameters
    ----------
    remaining, total
        Remaining and total work of the job in core-seconds.
    mean
        Mean work of a job of its queue.
    """
    return remaining / max(total, SMALL_JOB_SHARE * mean) if total else 0.0


def objective_seconds(job: Job, queue: Queue, run_time_ratio: float = 1.0) -> float:
    """Return the time in seconds within which a job should complete."""
    longest_path = max(job.critical_path_seconds, default=0.0)
    return objective_of_path(queue, run_time_ratio * longest_path)


def objective_of_path(queue: Queue, path_seconds: float) -> float:
    """Return the time in seconds within which a job with this critical path should complete."""
    return queue.stretch * path_seconds + queue.target_seconds


def late_seconds(job: Job, queue: Queue, run_time_ratio: float = 1.0) -> float:
    """Return for how many seconds after its objective a job is still worth something."""
    return (LATE_FACTOR - 1.0) * objective_seconds(job, queue, run_time_ratio)


def slack_seconds(job: Job, queue: Queue, now_unix: float, step: int) -> float:
    """Return how many seconds a step can still wait for its job to complete in time.

    The value is negative if the job cannot complete in time any more. The time counts from the
    acceptance of the job for later occurrences too.
    """
    due_unix = job.accepted_unix + objective_seconds(job, queue)
    return due_unix - now_unix - job.critical_path_seconds[step]


def occurrence_slack_seconds(
    job: Job, queue: Queue, now_unix: float, occurrence: int, step: int, run_time_ratio: float
) -> float:
    """Return how many seconds a step can still wait for its occurrence to complete in time.

    Parameters
    ----------
    run_time_ratio
        Factor by which run times exceed the callers' estimates.
    """
    begin_unix = max(job.accepted_unix, job.spec.due_unix(occurrence))
    due_unix = begin_unix + objective_seconds(job, queue, run_time_ratio)
    return due_unix - now_unix - run_time_ratio * job.critical_path_seconds[step]
