"""Decision whether a submitted job is accepted while there is too little room."""

from __future__ import annotations

import math
import zlib
from abc import ABC, abstractmethod

from acaciastand.record import Record
from acaciastand.workflow.backlog import BacklogEstimate, QueueWork
from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.ranking import LATE_FACTOR, objective_of_path, work_cost
from acaciastand.workflow.spec import WorkflowSpec, critical_path_seconds, total_core_seconds
from acaciastand.workflow.work import is_continuous

# An older estimate may be of an owner that has died or cannot be reached.
MAX_ESTIMATE_AGE_SECONDS = 2.0
# Factor by which the wait may be overestimated, since estimates of run times are rough.
SAFETY_FACTOR = 1.5
# Share of the jobs that is accepted in any case.
MIN_ACCEPTED_SHARE = 0.25
# Accepted share of the jobs that would wait for too long, in proportion to that of their queue.
# Below a half, callers of large jobs are served much worse than others.
MIN_RELATIVE_SHARE = 0.6
SHARE_WINDOW_JOBS = 200.0  # Jobs over which the accepted share of a queue is averaged.
MIN_SHARE_JOBS = 20.0  # Fewer jobs say too little about a queue.
MAX_REMEMBERED_JOBS = 4096  # Refused jobs that are not counted again when they return.
MIN_RETRY_AFTER_SECONDS = 0.5  # Before the spread, which doubles it at most.
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


class AcceptedShare:
    """Accepted share of the last jobs of a queue.

    Attributes
    ----------
    accepted, submitted
        Number of jobs, of which the older ones count less.
    """

    __slots__ = ("accepted", "submitted")

    def __init__(self) -> None:
        self.accepted = 0.0
        self.submitted = 0.0

    def record(self, accepted: bool) -> None:
        """Count the decision on a job."""
        weight = 1.0 - 1.0 / SHARE_WINDOW_JOBS
        self.accepted = weight * self.accepted + accepted
        self.submitted = weight * self.submitted + 1.0

    def least_share(self) -> float:
        """Return the share of the jobs to accept that would wait for too long."""
        if self.submitted < MIN_SHARE_JOBS:
            return MIN_ACCEPTED_SHARE
        return max(MIN_ACCEPTED_SHARE, MIN_RELATIVE_SHARE * self.accepted / self.submitted)


class RefuseWorthless(AdmissionPolicy):
    """Refuses jobs that would certainly be worth nothing when they complete.

    Designed for load that exceeds the room several times over for longer than jobs can wait. The
    caller hears at once that the job is not going to be of use, and its work takes no room from
    jobs that are. A share of the jobs of each queue, availability zone and size is accepted in any
    case. It rises with the accepted share of the queue, so that large jobs, which wait longer, are
    not refused several times as often as small ones. Jobs with continuous steps and repeated jobs
    are never refused.

    Attributes
    ----------
    shares
        Accepted shares by queue, of the jobs that came while large ones would wait for too long.
    refused_ids
        Ids of the last refused jobs, the oldest first.
    """

    def __init__(self) -> None:
        self.shares: dict[str, AcceptedShare] = {}
        self.refused_ids: dict[str, None] = {}

    def refusal(
        self, job_id: str, queue: Queue, spec: WorkflowSpec, view: BacklogView | None
    ) -> Refusal | None:
        """Return why a job is refused, or None if it is accepted."""
        if is_continuous(spec) or spec.repeats:
            return None
        if view is None or view.age_seconds > MAX_ESTIMATE_AGE_SECONDS:
            return None
        total = total_core_seconds(spec)
        known = view.estimate.queues.get(queue.name, QueueWork(1.0, total))
        cost = work_cost(total, total, known.mean_core_seconds)
        wait = view.estimate.wait_seconds(queue.service, queue.priority, cost)
        limit = SAFETY_FACTOR * longest_useful_wait(queue, spec, known.run_time_ratio)
        if view.estimate.wait_seconds(queue.service, queue.priority, 1.0) <= limit:
            return None
        share = self.shares.setdefault(queue.name, AcceptedShare())
        is_accepted = wait <= limit or _is_always_accepted(job_id, share.least_share())
        self._record_decision(job_id, share, is_accepted)
        if is_accepted:
            return None
        return Refusal(
            retry_after_seconds(job_id, wait - limit),
            wait,
            limit,
            view.age_seconds,
            view.estimate.drain_cores,
        )

    def _record_decision(self, job_id: str, share: AcceptedShare, is_accepted: bool) -> None:
        """Count a job, unless it was refused before: callers of refused jobs return often."""
        if job_id not in self.refused_ids:
            share.record(is_accepted)
        if is_accepted:
            return
        self.refused_ids[job_id] = None
        if len(self.refused_ids) > MAX_REMEMBERED_JOBS:
            del self.refused_ids[next(iter(self.refused_ids))]


def longest_useful_wait(queue: Queue, spec: WorkflowSpec, run_time_ratio: float) -> float:
    """Return the wait in seconds from which on a job is worth nothing when it completes."""
    path_seconds = max(critical_path_seconds(spec), default=0.0) * run_time_ratio
    return LATE_FACTOR * objective_of_path(queue, path_seconds) - path_seconds


def retry_after_seconds(job_id: str, excess_seconds: float) -> float:
    """Return when a refused job may come again.

    Parameters
    ----------
    job_id
        The times of different ids are spread, so that callers do not return together.
    excess_seconds
        Time after which the backlog is small enough.
    """
    # Reversed, so that the spread does not depend on the hash that decides on acceptance.
    spread = 1.0 + _fraction(job_id[::-1])
    seconds = min(MAX_RETRY_AFTER_SECONDS / 2, max(MIN_RETRY_AFTER_SECONDS, excess_seconds))
    return math.ceil(seconds * spread)


def _is_always_accepted(job_id: str, share: float = MIN_ACCEPTED_SHARE) -> bool:
    """Return whether a job belongs to the share that is accepted in any case.

    The id decides, so that a refused job does not come in by repeated submissions, and the share is
    the same for each zone and size.
    """
    return _fraction(job_id) < share


def _fraction(text: str) -> float:
    """Return a number from 0 to 1 that is spread evenly over different texts."""
    return zlib.crc32(text.encode()) / 0xFFFFFFFF
