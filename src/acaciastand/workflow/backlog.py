"""Estimate of the work that waits, and of the rate at which the workers do it."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from typing import Any

from acaciastand.checks import check_integer, check_list, check_number, check_text
from acaciastand.record import Record
from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.finished_runs import DrainRate
from acaciastand.workflow.job import Job
from acaciastand.workflow.limits import MAX_REPORT_AGE_SECONDS
from acaciastand.workflow.ranking import (
    MAX_WAIT_FACTOR,
    Shortage,
    late_seconds,
    occurrence_slack_seconds,
    work_cost,
)
from acaciastand.workflow.scheduler_state import SchedulerState
from acaciastand.workflow.work import (
    is_continuous,
    open_occurrences,
    remaining_core_seconds,
    total_core_seconds,
)

UPDATE_INTERVAL_SECONDS = 0.5
# Share of the work of a priority that is late from which on the priority is short of room. Single
# jobs that are late after a failed run are no shortage.
MIN_LATE_SHARE = 0.25
MAX_SENT_QUEUES = 16  # Queues in the messages between entries, which are kept short.
COST_BANDS = 8  # Bands of cost by which the work of a priority is told.


class QueueWork(Record):
    """What the finished and unfinished jobs of one queue tell of its work.

    Parameters
    ----------
    run_time_ratio
        Factor by which run times exceed the callers' estimates.
    mean_core_seconds
        Mean work of an unfinished job.
    """

    __slots__ = ("run_time_ratio", "mean_core_seconds")

    def __init__(self, run_time_ratio: float, mean_core_seconds: float) -> None:
        self.run_time_ratio = run_time_ratio
        self.mean_core_seconds = mean_core_seconds


class BacklogEstimate(Record):
    """Accepted work that is still worth something, and the rate at which it is done.

    Parameters
    ----------
    drain_cores
        Core-seconds of work that the workers do in a second.
    core_seconds
        Remaining work by priority, and there by the cost of its jobs: equal bands from 0 to 1.
    queues
        Queues of the unfinished jobs, by name.
    """

    __slots__ = ("drain_cores", "core_seconds", "queues")

    def __init__(
        self,
        drain_cores: float,
        core_seconds: dict[int, list[float]],
        queues: dict[str, QueueWork] | None = None,
    ) -> None:
        self.drain_cores = drain_cores
        self.core_seconds = core_seconds
        self.queues = queues or {}

    def wait_seconds(self, priority: int, cost: float) -> float:
        """Return the time until the work is done that goes before a job.

        Parameters
        ----------
        priority
            Priority of the job.
        cost
            Its remaining work in proportion to its worth, as `work_cost` returns it.
        """
        before = sum(sum(bands) for p, bands in self.core_seconds.items() if p < priority)
        before += sum(self.core_seconds.get(priority, [])[: _band(cost) + 1])
        if not before:
            return 0.0
        return before / self.drain_cores if self.drain_cores > 0 else math.inf

    def to_list(self) -> list[Any]:
        """Return the estimate as entries send it to each other."""
        queues = sorted(self.queues.items())[:MAX_SENT_QUEUES]
        return [
            round(self.drain_cores, 2),
            [[p, [round(band) for band in bands]] for p, bands in self.core_seconds.items()],
            [[q, round(w.run_time_ratio, 2), round(w.mean_core_seconds, 2)] for q, w in queues],
        ]

    @classmethod
    def from_list(cls, fields: list[Any]) -> BacklogEstimate:
        """Return the estimate in what another entry sent.

        Raises
        ------
        ValueError
            It holds what no estimate holds.
        """
        drain_cores, work, queues = check_list(fields)
        return cls(
            check_number(drain_cores),
            {
                check_integer(priority): [check_number(band) for band in check_list(bands)]
                for priority, bands in check_list(work)
            },
            {
                check_text(queue): QueueWork(check_number(ratio), check_number(mean))
                for queue, ratio, mean in check_list(queues)
            },
        )


def _band(cost: float) -> int:
    return min(COST_BANDS - 1, int(cost * COST_BANDS))


class OpenWork(Record):
    """Remaining work of an occurrence of a job that is due.

    Parameters
    ----------
    job, queue
        The job and its queue.
    core_seconds
        The work, by corrected estimates.
    cost
        The work in proportion to the worth of the job.
    slack_seconds, late_seconds
        Time that the occurrence can still wait to complete in time, and time after its objective
        for which it is worth something.
    """

    __slots__ = ("job", "queue", "core_seconds", "cost", "slack_seconds", "late_seconds")

    def __init__(
        self,
        job: Job,
        queue: Queue,
        core_seconds: float,
        cost: float,
        slack_seconds: float,
        late_seconds: float,
    ) -> None:
        self.job = job
        self.queue = queue
        self.core_seconds = core_seconds
        self.cost = cost
        self.slack_seconds = slack_seconds
        self.late_seconds = late_seconds

    @property
    def is_late(self) -> bool:
        """Whether the occurrence cannot complete in time any more."""
        return self.slack_seconds < 0

    @property
    def is_worthless(self) -> bool:
        """Whether the occurrence is worth nothing when it completes."""
        return self.slack_seconds < -self.late_seconds


class BacklogTracker:
    """Keeps the estimate of the backlog and what the ranking knows of the load.

    Parameters
    ----------
    state
        State of the scheduler.

    Attributes
    ----------
    estimate
        The last estimate; None while it is not known what former owners started, or while no worker
        is in service.
    shortage
        What the ranking of tasks knows of the load.
    drain_rate
        Rate at which the workers do work.
    updated_at
        When the estimate was last updated.
    late_starts
        Ids of the unfinished jobs that could not begin in time.
    """

    def __init__(self, state: SchedulerState) -> None:
        self.state = state
        self.estimate: BacklogEstimate | None = None
        self.shortage = Shortage()
        self.drain_rate = DrainRate()
        self.updated_at = float("-inf")
        self.late_starts: set[str] = set()

    def update(self, now: float, now_unix: float) -> None:
        """Update the estimate, unless the last update was less than its interval ago."""
        if now - self.updated_at < UPDATE_INTERVAL_SECONDS:
            return
        seconds = now - self.updated_at if math.isfinite(self.updated_at) else 0.0
        self.updated_at = now
        self.shortage.run_time_ratios = self.state.finished_runs.median_ratios()
        self.shortage.mean_core_seconds = self._mean_core_seconds()
        open_work = list(self._open_work(now_unix))
        self.shortage.priorities = _short_priorities(open_work)
        self.shortage.longest_waiting = _longest_waiting(open_work)
        has_workers = self._update_drain_rate(now, seconds)
        is_known = has_workers and not self.state.uncertain
        self.estimate = self._estimate_of(open_work) if is_known else None
        if self.estimate is not None:
            self._record_late_starts(open_work, self.estimate)

    def _unfinished_jobs(self) -> Iterator[tuple[Job, Queue]]:
        for job in self.state.jobs.values():
            if job.ended_unix or is_continuous(job.spec):
                continue
            queue = self.state.catalog.by_name(job.queue)
            if queue is not None:
                yield job, queue

    def _mean_core_seconds(self) -> dict[str, float]:
        totals: dict[str, list[float]] = {}
        for job, queue in self._unfinished_jobs():
            totals.setdefault(queue.name, []).append(total_core_seconds(job.spec))
        return {name: sum(work) / len(work) for name, work in totals.items()}

    def _open_work(self, now_unix: float) -> Iterator[OpenWork]:
        for job, queue in self._unfinished_jobs():
            ratio = self.shortage.run_time_ratios.get(queue.name, 1.0)
            mean = self.shortage.mean_core_seconds[queue.name]
            total = total_core_seconds(job.spec)
            for occurrence, step in open_occurrences(job, now_unix).items():
                remaining = remaining_core_seconds(job, occurrence)
                yield OpenWork(
                    job,
                    queue,
                    ratio * remaining,
                    work_cost(remaining, total, mean),
                    occurrence_slack_seconds(job, queue, now_unix, occurrence, step, ratio),
                    late_seconds(job, queue, ratio),
                )

    def _estimate_of(self, open_work: Iterable[OpenWork]) -> BacklogEstimate:
        core_seconds: dict[int, list[float]] = {}
        for work in open_work:
            if not work.is_worthless:
                bands = core_seconds.setdefault(work.queue.priority, [0.0] * COST_BANDS)
                bands[_band(work.cost)] += work.core_seconds
        queues = {
            name: QueueWork(self.shortage.run_time_ratios.get(name, 1.0), mean)
            for name, mean in self.shortage.mean_core_seconds.items()
        }
        return BacklogEstimate(self.drain_rate.cores, core_seconds, queues)

    def _update_drain_rate(self, now: float, seconds: float) -> bool:
        """Update the drain rate and return whether any worker is in service.

        Cores that are free although a priority is short of room cannot be used by what waits.
        """
        workers = [
            w for w in self.state.workers.values() if w.is_schedulable(now, MAX_REPORT_AGE_SECONDS)
        ]
        cores_in_use = sum(
            task.step.size.cores
            for worker in workers
            for task in worker.tasks.values()
            if not task.step.continuous
        )
        free_cores = sum(max(0.0, worker.leftover_cores()) for worker in workers)
        if self.shortage.priorities:
            free_cores = 0.0
        released = self.state.finished_runs.take_core_seconds()
        self.drain_rate.update(released, cores_in_use, free_cores, seconds)
        return bool(workers)

    def _record_late_starts(self, open_work: Iterable[OpenWork], estimate: BacklogEstimate) -> None:
        """Log once for each job that it can no longer complete in time and has not begun."""
        self.late_starts &= self.state.jobs.keys()
        for work in open_work:
            job_id = work.job.job_id
            if not work.is_late or work.job.has_started or job_id in self.late_starts:
                continue
            self.late_starts.add(job_id)
            self.state.record_decision(
                "job late before its start",
                job_id,
                priority=work.queue.priority,
                wait_s=round(estimate.wait_seconds(work.queue.priority, work.cost), 1),
                drain_cores=round(estimate.drain_cores, 1),
            )


def _short_priorities(open_work: Iterable[OpenWork]) -> set[int]:
    """Return the priorities of which much of the work is late."""
    sums: dict[int, list[float]] = {}
    for work in open_work:
        late_and_all = sums.setdefault(work.queue.priority, [0.0, 0.0])
        late_and_all[0] += work.core_seconds if work.is_late else 0.0
        late_and_all[1] += work.core_seconds
    return {p for p, (late, total) in sums.items() if late >= MIN_LATE_SHARE * total > 0}


def _longest_waiting(open_work: Iterable[OpenWork]) -> dict[int, str]:
    """Return for each priority the oldest job that has waited for too long."""
    oldest: dict[int, Job] = {}
    for work in open_work:
        has_waited = work.slack_seconds < -MAX_WAIT_FACTOR * work.late_seconds
        first = oldest.get(work.queue.priority)
        if has_waited and (first is None or work.job.accepted_unix < first.accepted_unix):
            oldest[work.queue.priority] = work.job
    return {priority: job.job_id for priority, job in oldest.items()}
