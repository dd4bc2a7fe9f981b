"""Refusal of jobs at an entry, by the owner's estimate of the backlog."""

from __future__ import annotations

import logging
from collections.abc import Callable

from acaciastand.cluster.clock import now
from acaciastand.cluster.owner import Owner
from acaciastand.errors import Refused
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.admission import (
    MAX_ESTIMATE_AGE_SECONDS,
    AdmissionPolicy,
    BacklogView,
    Refusal,
)
from acaciastand.workflow.backlog import BacklogEstimate
from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.spec import WorkflowSpec

logger = logging.getLogger(__name__)


class JobRefused(Refused):
    """There is so little room that the job would be worth nothing when it completes.

    Parameters
    ----------
    retry_after_seconds
        Time after which the job may be submitted again.
    """

    code = "job_refused"
    http_status = 429

    def __init__(self, message: str, remedy: str, retry_after_seconds: float) -> None:
        super().__init__(message, remedy)
        self.retry_after_seconds = retry_after_seconds


class AdmissionControl:
    """Refuses jobs before anything of them is stored.

    Parameters
    ----------
    policy
        Policy on the jobs that are refused.
    owner
        Returns the current term of ownership of this entry; None if it is not the owner.
    may_be_stored
        Returns whether an earlier attempt may have stored the job with an id.

    Attributes
    ----------
    heard
        Last estimate that the owner sent; None before the first.
    heard_at
        When it arrived.
    """

    def __init__(
        self,
        policy: AdmissionPolicy,
        owner: Callable[[], Owner | None],
        may_be_stored: Callable[[str], bool],
        metrics: Metrics,
    ) -> None:
        self.policy = policy
        self.owner = owner
        self.may_be_stored = may_be_stored
        self.metrics = metrics
        self.heard: BacklogEstimate | None = None
        self.heard_at = float("-inf")

    def record_estimate(self, estimate: BacklogEstimate | None) -> None:
        """Record what the owner sent with its status."""
        self.heard = estimate
        self.heard_at = now()

    def own_estimate(self) -> BacklogEstimate | None:
        """Return the estimate of this entry if it is the owner and has a recent one.

        An owner that has lost its authority no longer updates its estimate, and may not know yet
        that another entry owns the jobs.
        """
        owner = self.owner()
        if owner is None or not owner.is_ready:
            return None
        backlog = owner.scheduler.backlog
        is_recent = now() - backlog.updated_at <= MAX_ESTIMATE_AGE_SECONDS
        return backlog.estimate if is_recent else None

    def view(self) -> BacklogView | None:
        """Return what this entry knows of the backlog; None if it knows nothing."""
        owner = self.owner()
        if owner is not None:
            estimate = self.own_estimate()
            updated_at = owner.scheduler.backlog.updated_at
        else:
            estimate, updated_at = self.heard, self.heard_at
        return BacklogView(estimate, now() - updated_at) if estimate is not None else None

    def check(self, job_id: str, queue: Queue, spec: WorkflowSpec) -> None:
        """Check whether a job is accepted.

        Raises
        ------
        JobRefused
            The job is refused, and no attempt is known that may have stored it.
        """
        refusal = self.policy.refusal(job_id, queue, spec, self.view())
        if refusal is None:
            return
        if self.may_be_stored(job_id):
            self.metrics.count("refusals", f"may_be_stored.{queue.name}")
            return
        self._refuse(job_id, queue, refusal)

    def _refuse(self, job_id: str, queue: Queue, refusal: Refusal) -> None:
        self.metrics.count("refusals", f"worthless.{queue.name}")
        logger.info(
            "job refused",
            extra={
                "job": job_id,
                "queue": queue.name,
                "priority": queue.priority,
                "wait_s": round(refusal.wait_seconds, 1),
                "limit_s": round(refusal.limit_seconds, 1),
                "estimate_age_s": round(refusal.estimate_age_seconds, 2),
                "drain_cores": round(refusal.drain_cores, 1),
                "retry_after_s": refusal.retry_after_seconds,
            },
        )
        raise JobRefused(
            f"the job would wait {refusal.wait_seconds:.0f} s for room and be worth nothing then",
            f"send it again after {refusal.retry_after_seconds:.0f} s",
            refusal.retry_after_seconds,
        )
