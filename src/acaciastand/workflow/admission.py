"""Decision whether a submitted job is accepted while there is too little room."""

from __future__ import annotations

import math
import zlib
from abc import ABC, abstractmethod

from acaciastand.record import Record
from acaciastand.workflow.backlog import BacklogEstimate, QueueWork
from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.ranking import LATE_FACTOR, work_cost
from acaciastand.workflow.spec import WorkflowSpec, critical_path_seconds
from acaciastand.workflow.work import is_continuous, total_core_seconds

# An older estimate may be of an owner that has died or cannot be reached.
MAX_ESTIMATE_AGE_SECONDS = 2.0
# Factor by which the wait may be overestimated, since estimates of run times are rough.
SAFETY_FACTOR = 1.5
# Share of the jobs that is accepted in any case.
MIN_ACCEPTED_SHARE = 0.25
MAX_RETRY_AFTER_SECONDS = 10.0


class BacklogView(Record):
    """The owner's estimate of the backlog as an entry knows it.

    Parameters
    ----------
    estimate
        The estimate.
    age_seconds
        Time since it was received.
    """

    __slots__ = ("estimate", "age_seconds")

    def __init__(self, estimate: BacklogEstimate, age_seconds: float) -> None:
        self.estimate = estimate
        self.age_seconds = age_seconds


class Refusal(Record):
    """Refusal of a job, with its inputs.

    Parameters
    ----------
    retry_after_seconds
        Time after which the job may be submitted again.
    wait_seconds, limit_seconds
        Predicted wait of the job, and the wait up to which it would have been accepted.
    estimate_age_seconds
        Age of the estimate of the backlog.
    drain_cores
        Rate at which the backlog is worked off.
    """

    __slots__ = (
        "retry_after_seconds",
        "wait_seconds",
        "limit_seconds",
        "estimate_age_seconds",
        "drain_cores",
    )

    def __init__(
        self,
        retry_after_seconds: float,
        wait_seconds: float,
        limit_seconds: float,
        estimate_age_seconds: float,
        drain_cores: float,
    ) -> None:
        self.retry_after_seconds = retry_after_seconds
        self.wait_seconds = wait_seconds
        self.limit_seconds = limit_seconds
        self.estimate_age_seconds = estimate_age_seconds
        self.drain_cores = drain_cores


class AdmissionPolicy(ABC):
    """Policy on the jobs that are refused when they are submitted."""

    @abstractmethod
    def refusal(
        self, job_id: str, queue: Queue, spec: WorkflowSpec, view: BacklogView | None
    ) -> Refusal | None:
        """Return why a job is refused, or None if it is accepted.

        Parameters
        ----------
        view
            What the entry knows of the backlog; None if it knows nothing.
        """


class AcceptAll(AdmissionPolicy):
    """Baseline: accepts every job."""

    def refusal(
        self, job_id: str, queue: Queue, spec: WorkflowSpec, view: BacklogView | None
    ) -> Refusal | None:
        """Return None."""
        return None


class RefuseWorthless(AdmissionPolicy):
    """Refuses jobs that would certainly be worth nothing when they complete.

    Designed for load that exceeds the room several times over for longer than jobs can wait. The
    caller hears at once that the job is not going to be of use, and its work takes no room from
    jobs that are. A share of the jobs of each queue, availability zone and size is accepted in any
    case. Jobs with continuous steps and repeated jobs are never refused.
    """

    def refusal(
        self, job_id: str, queue: Queue, spec: WorkflowSpec, view: BacklogView | None
    ) -> Refusal | None:
        """Return why a job is refused, or None if it is accepted."""
        if is_continuous(spec) or spec.repeats or _is_always_accepted(job_id):
            return None
        if view is None or view.age_seconds > MAX_ESTIMATE_AGE_SECONDS:
            return None
        total = total_core_seconds(spec)
        known = view.estimate.queues.get(queue.name, QueueWork(1.0, total))
        cost = work_cost(total, total, known.mean_core_seconds)
        wait = view.estimate.wait_seconds(queue.priority, cost)
        limit = SAFETY_FACTOR * longest_useful_wait(queue, spec, known.run_time_ratio)
        if wait <= limit:
            return None
        return Refusal(
            retry_after_seconds(job_id, wait - limit),
            wait,
            limit,
            view.age_seconds,
            view.estimate.drain_cores,
        )


def longest_useful_wait(queue: Queue, spec: WorkflowSpec, run_time_ratio: float) -> float:
    """Return the wait in seconds from which on a job is worth nothing when it completes."""
    chain = max(critical_path_seconds(spec), default=0.0) * run_time_ratio
    return LATE_FACTOR * (queue.stretch * chain + queue.target_seconds) - chain


def retry_after_seconds(job_id: str, excess_seconds: float) -> float:
    """Return when a refused job may come again.

    Parameters
    ----------
    job_id
        The times of different ids are spread, so that callers do not return together.
    excess_seconds
        Time after which the backlog is small enough.
    """
    spread = 1.0 + _fraction(job_id[::-1])
    return math.ceil(min(MAX_RETRY_AFTER_SECONDS / 2, max(0.5, excess_seconds)) * spread)


def _is_always_accepted(job_id: str) -> bool:
    """Return whether a job belongs to the share that is accepted in any case.

    The id decides, so that all entries agree on repeated submissions, and the share is the same for
    each queue, zone and size.
    """
    return _fraction(job_id) < MIN_ACCEPTED_SHARE


def _fraction(text: str) -> float:
    """Return a number from 0 to 1 that is spread evenly over different texts."""
    return zlib.crc32(text.encode()) / 0xFFFFFFFF
