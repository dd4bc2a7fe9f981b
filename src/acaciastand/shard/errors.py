"""Errors that say why a shard refused a command; a refused command has not run."""

from __future__ import annotations

from acaciastand.errors import NotFound, Refused
from acaciastand.shard.limits import MAX_JOBS, MAX_PENDING_EVENTS, MAX_TASKS


class ShardFull(Refused):
    """The shard has reached its limit of unfinished jobs or tasks."""

    code = "shard_full"
    http_status = 429


class CommitQueueFull(Refused):
    """Too many changes of the shard are waiting to be committed."""

    code = "queue_full"


def shard_full_error(number: int) -> ShardFull:
    """Return the error for a submission to the full shard `number`."""
    return ShardFull(
        f"shard {number} has reached its limit of {MAX_JOBS} unfinished jobs"
        f" or {MAX_TASKS} unfinished tasks",
        "submit again when jobs have finished, or raise the number of shards",
    )


def commit_queue_full_error(number: int) -> CommitQueueFull:
    """Return the error for a command while the store is too slow for shard `number`."""
    return CommitQueueFull(
        f"{MAX_PENDING_EVENTS} changes of shard {number} are waiting to be committed to the store",
        "send the request again later",
    )


def job_not_found(job_id: str) -> NotFound:
    """Return the error for a job that is unknown or no longer kept."""
    return NotFound(
        f"job {job_id!r} does not exist",
        "check the id; only the most recently finished jobs are kept",
    )
