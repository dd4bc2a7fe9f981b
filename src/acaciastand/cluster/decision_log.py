"""Log of the owner's decisions on jobs and runs."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.decisions import DecisionRecord
from acaciastand.workflow.job import Job, JobState
from acaciastand.workflow.ranking import objective_seconds

logger = logging.getLogger("acaciastand.decisions")

# Outcomes of copies in the metric `speculative_copies`, by decision.
COPY_OUTCOMES = {
    "copy started": "started",
    "copy adopted": "adopted",
    "copy took over": "took_over",
    "copy won": "won",
    "copy stopped": "stopped",
    "copy lost": "lost",
}


def measure_ended(jobs: Iterable[Job], metrics: Metrics) -> None:
    """Measure how long those of the stored jobs took that are complete or have failed."""
    for job in jobs:
        if job.stored_state in (JobState.COMPLETED, JobState.FAILED) and job.ended_unix:
            seconds = max(0.0, job.ended_unix - job.accepted_unix)
            metrics.observe("job_seconds", seconds, job.queue)


def log_accepted(job: Job, revision: int, catalog: Catalog) -> None:
    """Log that the owner has a new job, which was stored at `revision`."""
    queue = catalog.by_name(job.queue)
    logger.info(
        "job accepted",
        extra={
            "job": job.job_id,
            "rev": revision,
            "queue": job.queue,
            "tasks": len(job.tasks),
            "chain_s": round(max(job.critical_path_seconds, default=0.0), 2),
            "objective_s": round(objective_seconds(job, queue), 2) if queue else None,
        },
    )


def copy_outcome(decision: DecisionRecord) -> str:
    """Return the outcome of a copy with its reason, such as ``lost.worker_restarted``."""
    outcome = COPY_OUTCOMES[decision.what]
    why = str(decision.inputs.get("why", "")).replace(" ", "_")
    return f"{outcome}.{why}" if why else outcome


def log_decisions(
    decisions: Iterable[DecisionRecord], metrics: Metrics, epoch: int, heartbeat_age_seconds: float
) -> None:
    """Log decisions with their inputs and count them.

    Parameters
    ----------
    epoch
        Epoch of the owner that decided.
    heartbeat_age_seconds
        Time since that owner sent its last heartbeat that was stored. Another owner may have been
        elected since.
    """
    age = round(heartbeat_age_seconds, 2)
    for decision in decisions:
        metrics.count("decisions", decision.what)
        if decision.what in COPY_OUTCOMES:
            metrics.count("speculative_copies", copy_outcome(decision))
        extra = {"subject": decision.subject, **decision.inputs}
        logger.info(decision.what, extra={**extra, "epoch": epoch, "heartbeat_age_s": age})
