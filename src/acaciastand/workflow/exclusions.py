"""Rules by which a worker gets no new work.

All rules are listed here, so that the planner, the log and the metrics agree on them.
"""

from __future__ import annotations

from enum import StrEnum

from acaciastand.workflow.job import Task
from acaciastand.workflow.limits import MAX_REPORT_AGE_SECONDS
from acaciastand.workflow.placement import exceeds_step_limit
from acaciastand.workflow.worker import Standing, WorkerView


class Exclusion(StrEnum):
    """Reason for which a worker that could hold a task is passed over."""

    NOT_ANNOUNCED = "not announced"
    DRAINING = "draining"
    UNREACHABLE = "agent unreachable"
    UNRESPONSIVE = "worker unresponsive"
    STARTS_WITHHELD = "starts withheld"
    OLD_REPORT = "old report"
    QUARANTINED = "quarantined"
    REFUSED_START = "refused a start"
    OBSERVED = "observed after a crash"
    RESERVED = "reserved for a suspect"
    SUSPECTED = "suspected of failing tasks"
    NO_TICKET = "no ticket"
    STEP_LIMIT = "limit of the step"
    NO_CAPACITY = "no capacity"
    STOPPING_RUNS = "capacity of runs being stopped"
    PLACEMENT = "policy on placement"  # No leftover time is free, or services are at their limits.


EXCLUSION_BY_STANDING = {
    Standing.QUARANTINED: Exclusion.QUARANTINED,
    Standing.SUSPECTED: Exclusion.SUSPECTED,
}


def worker_exclusion(worker: WorkerView, now: float) -> Exclusion | None:
    """Return why no task may be assigned to a worker; None if one may.

    A worker that fails what it starts may still be assigned a probe or a task without another
    place, see `standing_exclusion`.
    """
    if worker.identity is None:
        return Exclusion.NOT_ANNOUNCED
    if worker.identity.draining:
        return Exclusion.DRAINING
    if not worker.reachable:
        return Exclusion.UNREACHABLE
    if worker.worker_unresponsive:
        return Exclusion.UNRESPONSIVE
    if worker.starts_withheld:
        return Exclusion.STARTS_WITHHELD
    if now - worker.last_report_at > MAX_REPORT_AGE_SECONDS:
        return Exclusion.OLD_REPORT
    return None


def is_usable(worker: WorkerView, now: float) -> bool:
    """Return whether at least a probe or a task without another place may be assigned."""
    return worker_exclusion(worker, now) is None


def is_schedulable(worker: WorkerView, now: float) -> bool:
    """Return whether any new work may be assigned to a worker."""
    return is_usable(worker, now) and worker.standing is not Standing.QUARANTINED


def standing_exclusion(worker: WorkerView) -> Exclusion | None:
    """Return whether a worker gets only some tasks because it fails what it starts."""
    return EXCLUSION_BY_STANDING.get(worker.standing)


def task_exclusion(
    task: Task, worker: WorkerView, is_suspected: bool, now: float
) -> Exclusion | None:
    """Return why a usable worker that could hold a task does not take it now.

    None if only the policy on placement can keep the task off the worker.

    Parameters
    ----------
    is_suspected
        Whether the task is suspected of a crash.
    """
    if now < worker.full_until:
        return Exclusion.REFUSED_START
    if now < worker.observed_until:
        return Exclusion.OBSERVED
    if not worker.takes_starts(now, is_suspected):
        return Exclusion.RESERVED
    if exceeds_step_limit(task, worker):
        return Exclusion.STEP_LIMIT
    if worker.has_capacity(task.step.reserved):
        return standing_exclusion(worker)
    stopping = sum(leaving.size.cores for leaving in worker.leaving_runs.values())
    return Exclusion.STOPPING_RUNS if stopping else Exclusion.NO_CAPACITY
