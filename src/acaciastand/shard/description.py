"""Committed state of a job as callers see it."""

from __future__ import annotations

from typing import Any

from acaciastand.shard.errors import job_not_found
from acaciastand.shard.state import ShardState, TaskState


def describe_job(state: ShardState, job_id: str) -> dict[str, Any]:
    """Return the state of a job.

    Parameters
    ----------
    state
        State after the committed events.

    Raises
    ------
    NotFound
        No job has this id, or the job finished and is no longer kept.
    """
    job = state.jobs.get(job_id)
    if job is not None:
        counts = [job.counts[task_state] for task_state in TaskState]
        return _description(job_id, job.spec.name, job.cancelled, counts)
    finished = state.finished_jobs.get(job_id)
    if finished is None:
        raise job_not_found(job_id)
    return _description(job_id, finished.name, finished.cancelled, finished.counts)


def _description(job_id: str, name: str, cancelled: bool, counts: list[int]) -> dict[str, Any]:
    by_state = {state.name.lower(): counts[state] for state in TaskState}
    return {
        "job_id": job_id,
        "name": name,
        "state": _job_state(cancelled, by_state),
        "tasks": by_state,
        "reason": "",
    }


def _job_state(cancelled: bool, by_state: dict[str, int]) -> str:
    if by_state["running"]:
        return "cancelling" if cancelled else "running"
    if cancelled:
        return "cancelled"
    if by_state["waiting"]:
        return "waiting"
    return "failed" if by_state["failed"] else "completed"
