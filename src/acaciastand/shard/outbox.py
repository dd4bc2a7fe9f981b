"""Messages to agents that a shard holds back until the events behind them are committed."""

from __future__ import annotations

from acaciastand.record import Record
from acaciastand.resources import Resources


class OutgoingMessage(Record):
    """Base of the messages that the owner sends after a commit."""

    __slots__ = ()


class Grant(OutgoingMessage):
    """First grant of an attempt; later ones are renewals in heartbeat replies.

    Parameters
    ----------
    size
        Resources that the attempt counts for on its worker.
    run_seconds
        Run time of the task as declared by its job.
    checkpoint
        Reference that the attempt resumes from; empty for none.
    """

    __slots__ = (
        "agent_id",
        "task_id",
        "attempt",
        "size",
        "run_seconds",
        "checkpoint",
        "batch_class",
        "urgent",
    )

    def __init__(
        self,
        agent_id: str,
        task_id: str,
        attempt: int,
        size: Resources,
        run_seconds: float,
        checkpoint: str,
        batch_class: str,
        urgent: bool = False,
    ) -> None:
        self.agent_id = agent_id
        self.task_id = task_id
        self.attempt = attempt
        self.size = size
        self.run_seconds = run_seconds
        self.checkpoint = checkpoint
        self.batch_class = batch_class
        self.urgent = urgent


class StopRequest(OutgoingMessage):
    """Request to stop an attempt; the agent then refuses it and earlier attempts of the task.

    Parameters
    ----------
    keep_progress
        Whether the agent stops the task with a checkpoint.
    """

    __slots__ = ("agent_id", "task_id", "attempt", "keep_progress")

    def __init__(
        self, agent_id: str, task_id: str, attempt: int, keep_progress: bool = False
    ) -> None:
        self.agent_id = agent_id
        self.task_id = task_id
        self.attempt = attempt
        self.keep_progress = keep_progress
