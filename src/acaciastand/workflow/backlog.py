"""Estimate of the work that waits, and of the rate at which the workers do it."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from acaciastand.checks import check_integer, check_list, check_number, check_text
from acaciastand.record import Record
from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.exclusions import is_schedulable
from acaciastand.workflow.finished_runs import DrainRate
from acaciastand.workflow.job import Job
from acaciastand.workflow.open_work import (
    OpenWork,
    longest_waiting,
    occurrence_key,
    short_priorities,
    startable_occurrences,
)
from acaciastand.workflow.ranking import (
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
)
from acaciastand.workflow.worker import WorkerView

UPDATE_INTERVAL_SECONDS = 0.5
# Queues and services in the messages between entries, which are kept short.
MAX_SENT_QUEUES, MAX_SENT_SERVICES = 16, 8
COST_BANDS = 8  # Bands of cost in which the work of a priority is summed.


class QueueWork(Record):
    """Run times and mean work of the jobs of one queue.

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


class ServiceWork(Record):
    """Work of one service that goes before new jobs, and the rate at which its workers do it.

    Parameters
    ----------
    drain_cores
        Core-seconds of work that the workers do in a second; 0 if nothing is known of the service.
    core_seconds
        Remaining work of the jobs that wait for room, as in `BacklogEstimate`.
    """

    __slots__ = ("drain_cores", "core_seconds")

    def __init__(self, drain_cores: float, core_seconds: dict[int, list[float]]) -> None:
        self.drain_cores = drain_cores
        self.core_seconds = core_seconds


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
    services
        The part that goes before new jobs, by the name of the service; without the services that
        have no workers. None if the sums above hold for each service.
    """

    __slots__ = ("drain_cores", "core_seconds", "queues", "services")

    def __init__(
        self,
        drain_cores: float,
        core_seconds: dict[int, list[float]],
        queues: dict[str, QueueWork] | None = None,
        services: dict[str, ServiceWork] | None = None,
    ) -> None:
        self.drain_cores = drain_cores
        self.core_seconds = core_seconds
        self.queues = queues or {}
        self.services = services

    def wait_seconds(self, service: str, priority: int, cost: float) -> float:
        """Return the time until the work is done that goes before a job.

        It is 0 for a service of which nothing is known.

        Parameters
        ----------
        service, priority
            Service and priority of the job.
        cost
            Its remaining work in proportion to its worth, as `work_cost` returns it.
        """
        work = ServiceWork(self.drain_cores, self.core_seconds)
        if self.services is not None:
            work = self.services.get(service, ServiceWork(0.0, {}))
        if work.drain_cores <= 0:
            return 0.0
        before = sum(sum(bands) for p, bands in work.core_seconds.items() if p < priority)
        before += sum(work.core_seconds.get(priority, [])[: _band(cost) + 1])
        return before / work.drain_cores

    def to_list(self) -> list[Any]:
        """Return the estimate as entries send it to each other.

        The sums over all services are left out if each service has its own.
        """
        queues = sorted(self.queues.items())[:MAX_SENT_QUEUES]
        services = sorted((self.services or {}).items())[:MAX_SENT_SERVICES]
        return [
            round(self.drain_cores, 2),
            _rows(self.core_seconds) if self.services is None else [],
            [[q, round(w.run_time_ratio, 2), round(w.mean_core_seconds, 2)] for q, w in queues],
            (
                [[s, round(w.drain_cores, 2), _rows(w.core_seconds)] for s, w in services]
                if self.services is not None
                else None
            ),
        ]

    @classmethod
    def from_list(cls, fields: list[Any]) -> BacklogEstimate:
        """Return the estimate in the fields that another entry sent.

        Raises
        ------
        ValueError, TypeError
            The fields are not those of an estimate.
        """
        drain_cores, work, queues, services = check_list(fields)
        return cls(
            check_number(drain_cores),
            _decode_rows(work),
            {
                check_text(queue): QueueWork(check_number(ratio), check_number(mean))
                for queue, ratio, mean in check_list(queues)
            },
            (
                None
                if services is None
                else {
                    check_text(service): ServiceWork(check_number(drain), _decode_rows(rows))
                    for service, drain, rows in check_list(services)
                }
            ),
        )


def _rows(core_seconds: Mapping[int, list[float]]) -> list[Any]:
    return [[priority, [round(band) for band in bands]] for priority, bands in core_seconds.items()]


def _decode_rows(rows: Any) -> dict[int, list[float]]:
    return {
        check_integer(priority): [check_number(band) for band in check_list(bands)]
        for priority, bands in check_list(rows)
    }


def _band(cost: float) -> int:
    return min(COST_BANDS - 1, int(cost * COST_BANDS))


class BacklogTracker:
    """Keeps the estimate of the backlog and what the ranking knows of the load.

    Parameters
    ----------
    state
        State of the scheduler.

    Attributes
    ----------
    estimate
        The last estimate; None while it is not known what former owners started, while no worker is
        in service, or while the drain rate is 0.
    shortage
        What the ranking of tasks knows of the load.
    drain_rate, service_rates
        Rate at which all workers do work, and those of each service.
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
        self.service_rates: dict[str, DrainRate] = {}
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
        workers = self._workers_by_service(now)
        open_work = list(self._open_work(now_unix, workers))
        self.shortage.priorities = short_priorities(open_work)
        self.shortage.longest_waiting = longest_waiting(open_work)
        self._update_drain_rates(workers, open_work, seconds)
        is_known = any(workers.values()) and not self.state.uncertain
        self.estimate = self._estimate_of(open_work) if is_known else None
        if self.estimate is not None:
            self._record_late_starts(open_work, self.estimate)

    def _workers_by_service(self, now: float) -> dict[str, list[WorkerView]]:
        """Return the workers in service, by the services of all queues and workers."""
        workers: dict[str, list[WorkerView]] = {q.service: [] for q in self.state.catalog.queues}
        for worker in self.state.workers.values():
            if worker.identity and is_schedulable(worker, now):
                workers.setdefault(worker.identity.service, []).append(worker)
        return workers

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
            totals.setdefault(queue.name, []).append(job.total_core_seconds)
        return {name: sum(work) / len(work) for name, work in totals.items()}

    def _open_work(
        self, now_unix: float, workers: Mapping[str, list[WorkerView]]
    ) -> Iterator[OpenWork]:
        startable = startable_occurrences(self.state.waiting.values(), workers, self.state.catalog)
        running = {
            occurrence_key(task)
            for worker in self.state.workers.values()
            for task in worker.tasks.values()
        }
        for job, queue in self._unfinished_jobs():
            ratio = self.shortage.run_time_ratios.get(queue.name, 1.0)
            mean = self.shortage.mean_core_seconds[queue.name]
            total = job.total_core_seconds
            for occurrence, step in open_occurrences(job, now_unix).items():
                remaining = remaining_core_seconds(job, occurrence)
                yield OpenWork(
                    job,
                    queue,
                    occurrence,
                    ratio * remaining,
                    work_cost(remaining, total, mean),
                    occurrence_slack_seconds(job, queue, now_unix, occurrence, step, ratio),
                    late_seconds(job, queue, ratio),
                    (job.job_id, occurrence) in startable,
                    (job.job_id, occurrence) in running,
                )

    def _estimate_of(self, open_work: Iterable[OpenWork]) -> BacklogEstimate | None:
        """Return the estimate; None while the workers do no work."""
        if self.drain_rate.cores <= 0:
            return None
        core_seconds: dict[int, list[float]] = {}
        services = {
            name: ServiceWork(rate.cores, {})
            for name, rate in self.service_rates.items()
            if rate.cores > 0
        }
        for work in open_work:
            if work.is_worthless:
                continue
            _add_work(core_seconds, work)
            if work.is_startable and work.queue.service in services:
                _add_work(services[work.queue.service].core_seconds, work)
        queues = {
            name: QueueWork(self.shortage.run_time_ratios.get(name, 1.0), mean)
            for name, mean in self.shortage.mean_core_seconds.items()
        }
        return BacklogEstimate(self.drain_rate.cores, core_seconds, queues, services)

    def _update_drain_rates(
        self,
        workers: Mapping[str, list[WorkerView]],
        open_work: Iterable[OpenWork],
        seconds: float,
    ) -> None:
        """Update the rates of all workers and of those of each service."""
        released = self._released_core_seconds()
        short_services = {
            work.queue.service
            for work in open_work
            if work.is_startable and self.shortage.affects(work.queue)
        }
        self.service_rates = {s: self.service_rates.get(s, DrainRate()) for s in workers}
        sum_in_use, sum_free = 0.0, 0.0
        for service, rate in self.service_rates.items():
            in_use = _cores_in_use(workers[service])
            free = sum(max(0.0, worker.leftover_cores()) for worker in workers[service])
            # Cores that stay free although a priority is short of room cannot be used by what
            # waits. That shows only after the first round of starts.
            if service in short_services and rate.cores > 0:
                free = 0.0
            rate.update(released.get(service, 0.0), in_use, free, seconds)
            sum_in_use += in_use
            sum_free += free
        self.drain_rate.update(sum(released.values()), sum_in_use, sum_free, seconds)

    def _released_core_seconds(self) -> dict[str, float]:
        """Return the work of the runs that finished since the last update, by service."""
        released: dict[str, float] = {}
        for name, core_seconds in self.state.finished_runs.take_core_seconds().items():
            queue = self.state.catalog.by_name(name)
            if queue is not None:
                released[queue.service] = released.get(queue.service, 0.0) + core_seconds
        return released

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
                wait_s=round(_wait_seconds(estimate, work), 1),
                drain_cores=round(estimate.drain_cores, 1),
            )


def _add_work(core_seconds: dict[int, list[float]], work: OpenWork) -> None:
    bands = core_seconds.setdefault(work.queue.priority, [0.0] * COST_BANDS)
    bands[_band(work.cost)] += work.core_seconds


def _cores_in_use(workers: Iterable[WorkerView]) -> float:
    """Return the cores of the runs on workers that end by themselves."""
    return sum(
        task.step.size.cores
        for worker in workers
        for task in worker.tasks.values()
        if not task.step.continuous
    )


def _wait_seconds(estimate: BacklogEstimate, work: OpenWork) -> float:
    return estimate.wait_seconds(work.queue.service, work.queue.priority, work.cost)
