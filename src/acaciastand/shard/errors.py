"""Refusals of a shard; nothing has run."""

from __future__ import annotations

from acaciastand.errors import Refused
from acaciastand.shard.limits import MAX_JOBS, MAX_PENDING_EVENTS, MAX_TASKS


class ShardFull(Refused):
    """The shard holds as many unfinished jobs or tasks as it may."""

    code = "shard_full"
    http_status = 429


class CommandsQueued(Refused):
    """Too many changes wait for the store."""

    code = "queue_full"


def shard_full(number: int) -> ShardFull:
    """Return the refusal of a submission to a full shard."""
    return ShardFull(
        f"shard {number} is at {MAX_JOBS} unfinished jobs or {MAX_TASKS} unfinished tasks",
        "submit again when jobs have finished, or raise the number of shards",
    )


def commands_queued(number: int) -> CommandsQueued:
    """Return the refusal of a command while the store does not keep up."""
    return CommandsQueued(
        f"{MAX_PENDING_EVENTS} changes of shard {number} wait for the store",
        "send the request again later",
    )
