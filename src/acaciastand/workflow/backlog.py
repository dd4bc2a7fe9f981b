"""Estimate of the work that waits, and of the rate at which the workers do it."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

from acaciastand.checks import check_integer, check_list, check_number, check_text
from acaciastand.record import Record
from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.finished_runs import DrainRate
from acaciastand.workflow.job import Job, TaskState
from acaciastand.workflow.limits import MAX_REPORT_AGE_SECONDS
from acaciastand.workflow.ranking import (
    MAX_WAIT_FACTOR,
    Shortage,
    objective_seconds,
    occurrence_slack_seconds,
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
MAX_SENT_QUEUES = 16  # Ratios in the messages between entries, which are kept short.


class BacklogEstimate(Record):
    """Work that is accepted and can be in time, and the rate at which it is done.

    Parameters
    ----------
    drain_cores
        Core-seconds of work that the workers do in a second.
    core_seconds
        Remaining work that can still be in time, by priority.
    run_time_ratios
        Factor by which run times exceed the callers' estimates, by queue; 1 for other queues.
    """

    __slots__ = ("drain_cores", "core_seconds", "run_time_ratios")

    def __init__(
        self,
        drain_cores: float,
        core_seconds: dict[int, float],
        run_time_ratios: dict[str, float] | None = None,
    ) -> None:
        self.drain_cores = drain_cores
        self.core_seconds = core_seconds
        self.run_time_ratios = run_time_ratios or {}

    def wait_seconds(self, priority: int) -> float:
        """Return the time until the work at a priority, and before it, is done."""
        before = sum(work for p, work in self.core_seconds.items() if p <= priority)
        if not before:
            return 0.0
        return before / self.drain_cores if self.drain_cores > 0 else math.inf

    def to_list(self) -> list[Any]:
        """Return the estimate as entries send it to each other."""
        work = [[p, round(seconds, 1)] for p, seconds in sorted(self.core_seconds.items())]
        ratios = sorted(self.run_time_ratios.items())[:MAX_SENT_QUEUES]
        return [
            round(self.drain_cores, 2),
            work,
            [[queue, round(ratio, 2)] for queue, ratio in ratios],
        ]

    @classmethod
    def from_list(cls, fields: list[Any]) -> BacklogEstimate:
        """Return the estimate in what another entry sent.

        Raises
        ------
        ValueError
            It holds what no estimate holds.
        """
        drain_cores, work, ratios = check_list(fields)
        return cls(
            check_number(drain_cores),
            {check_integer(p): check_number(seconds) for p, seconds in check_list(work)},
            {check_text(queue): check_number(ratio) for queue, ratio in check_list(ratios)},
        )


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
    """

    def __init__(self, state: SchedulerState) -> None:
        self.state = state
        self.estimate: BacklogEstimate | None = None
        self.shortage = Shortage()
        self.drain_rate = DrainRate()
        self.updated_at = float("-inf")

    def update(self, now: float, now_unix: float) -> None:
        """Update the estimate, unless the last update was less than its interval ago."""
        if now - self.updated_at < UPDATE_INTERVAL_SECONDS:
            return
        seconds = now - self.updated_at if math.isfinite(self.updated_at) else 0.0
        self.updated_at = now
        self.shortage.run_time_ratios = self.state.finished_runs.median_ratios()
        in_time = self._update_backlog(now_unix)
        has_workers = self._update_drain_rate(now, seconds)
        is_known = has_workers and not self.state.uncertain
        ratios = dict(self.shortage.run_time_ratios)
        self.estimate = (
            BacklogEstimate(self.drain_rate.cores, in_time, ratios) if is_known else None
        )

    def _update_backlog(self, now_unix: float) -> dict[int, float]:
        """Update the shortage and return the work that can be in time, by priority."""
        in_time: dict[int, float] = {}
        late: dict[int, float] = {}
        totals: dict[str, list[float]] = {}
        oldest: dict[int, Job] = {}
        for job, queue in self._unfinished_jobs():
            ratio = self.shortage.run_time_ratios.get(queue.name, 1.0)
            totals.setdefault(queue.name, []).append(total_core_seconds(job.spec))
            for occurrence, step in open_occurrences(job, now_unix).items():
                work = ratio * remaining_core_seconds(job, occurrence)
                slack = occurrence_slack_seconds(job, queue, now_unix, occurrence, step, ratio)
                by_priority = in_time if slack >= 0 else late
                by_priority[queue.priority] = by_priority.get(queue.priority, 0.0) + work
            age = now_unix - job.accepted_unix
            if not job.spec.repeats and age > MAX_WAIT_FACTOR * objective_seconds(
                job, queue, ratio
            ):
                first = oldest.setdefault(queue.priority, job)
                if job.accepted_unix < first.accepted_unix:
                    oldest[queue.priority] = job
        self.shortage.mean_core_seconds = {q: sum(work) / len(work) for q, work in totals.items()}
        self.shortage.longest_waiting = {p: job.job_id for p, job in oldest.items()}
        self.shortage.priorities = {
            p
            for p, work in late.items()
            if work >= MIN_LATE_SHARE * (work + in_time.get(p, 0.0)) > 0
        }
        return in_time

    def _unfinished_jobs(self) -> Iterator[tuple[Job, Queue]]:
        for job in self.state.jobs.values():
            if job.ended_unix or is_continuous(job.spec):
                continue
            queue = self.state.catalog.by_name(job.queue)
            if queue is not None:
                yield job, queue

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
            if not task.step.continuous and task.state in (TaskState.STARTING, TaskState.RUNNING)
        )
        free_cores = sum(max(0.0, worker.leftover_cores()) for worker in workers)
        if self.shortage.priorities:
            free_cores = 0.0
        released = self.state.finished_runs.take_core_seconds()
        self.drain_rate.update(released, cores_in_use, free_cores, seconds)
        return bool(workers)
