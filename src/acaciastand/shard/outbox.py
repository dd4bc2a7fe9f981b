"""Messages that a shard wants sent once the events behind them are committed."""

from __future__ import annotations

from acaciastand.record import Record
from acaciastand.resources import Resources


class OutgoingMessage(Record):
    """Something to do after a commit."""

    __slots__ = ()


class Grant(OutgoingMessage):
    """Send the first grant of an attempt."""

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
    """Ask an agent to stop an attempt and to refuse it and earlier ones from then on."""

    __slots__ = ("agent_id", "task_id", "attempt", "keep_progress")

    def __init__(
        self, agent_id: str, task_id: str, attempt: int, keep_progress: bool = False
    ) -> None:
        self.agent_id = agent_id
        self.task_id = task_id
        self.attempt = attempt
        self.keep_progress = keep_progress
