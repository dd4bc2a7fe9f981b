"""Messages between the owner of a shard and agents about attempts."""

from __future__ import annotations

from acaciastand.resources import Resources
from acaciastand.wire.values import Message


class GrantAttempt(Message):
    """Permission of a shard's owner to run one attempt.

    Parameters
    ----------
    heartbeat_sequence
        Last heartbeat of the agent that the owner received on this connection; the grant is
        counted from the sending of that heartbeat, so a delayed grant is shorter, never longer.
    grant_seconds
        Length of the grant.
    checkpoint
        Reference from the previous attempt, empty for a first start.
    urgent
        Whether the job is urgent; such tasks are evicted last.
    """

    __slots__ = (
        "shard",
        "epoch",
        "task_id",
        "attempt",
        "size",
        "run_seconds",
        "checkpoint",
        "batch_class",
        "heartbeat_sequence",
        "grant_seconds",
        "urgent",
    )
    type_number = 8
    nested = {"size": Resources}

    def __init__(
        self,
        shard: int = 0,
        epoch: int = 0,
        task_id: str = "",
        attempt: int = 0,
        size: Resources | None = None,
        run_seconds: float = 0.0,
        checkpoint: str = "",
        batch_class: str = "",
        heartbeat_sequence: int = 0,
        grant_seconds: float = 0.0,
        urgent: bool = False,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.task_id = task_id
        self.attempt = attempt
        self.size = size or Resources()
        self.run_seconds = run_seconds
        self.checkpoint = checkpoint
        self.batch_class = batch_class
        self.heartbeat_sequence = heartbeat_sequence
        self.grant_seconds = grant_seconds
        self.urgent = urgent


class GrantReply(Message):
    """Whether the agent took an attempt; a refusal means that it did not and will not run."""

    __slots__ = ("shard", "task_id", "attempt", "accepted", "reason")
    type_number = 9

    def __init__(
        self,
        shard: int = 0,
        task_id: str = "",
        attempt: int = 0,
        accepted: bool = False,
        reason: str = "",
    ) -> None:
        self.shard = shard
        self.task_id = task_id
        self.attempt = attempt
        self.accepted = accepted
        self.reason = reason


class StopAttempt(Message):
    """Asks the agent to stop an attempt and never to run it or an earlier one again.

    With `keep_progress` the task is checkpointed first.
    """

    __slots__ = ("shard", "epoch", "task_id", "attempt", "keep_progress")
    type_number = 10

    def __init__(
        self,
        shard: int = 0,
        epoch: int = 0,
        task_id: str = "",
        attempt: int = 0,
        keep_progress: bool = False,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.task_id = task_id
        self.attempt = attempt
        self.keep_progress = keep_progress


class AttemptReport(Message):
    """End of an attempt; repeated until `ReportConfirmed` arrives.

    Parameters
    ----------
    result
        Value of `acaciastand.host.AttemptResult`.
    checkpoint
        Reference for the next attempt; empty when there is none.
    observed
        Largest usage seen.
    """

    __slots__ = (
        "shard",
        "task_id",
        "attempt",
        "result",
        "checkpoint",
        "observed",
        "run_seconds",
        "detail",
    )
    type_number = 11
    nested = {"observed": Resources}

    def __init__(
        self,
        shard: int = 0,
        task_id: str = "",
        attempt: int = 0,
        result: str = "",
        checkpoint: str = "",
        observed: Resources | None = None,
        run_seconds: float = 0.0,
        detail: str = "",
    ) -> None:
        self.shard = shard
        self.task_id = task_id
        self.attempt = attempt
        self.result = result
        self.checkpoint = checkpoint
        self.observed = observed or Resources()
        self.run_seconds = run_seconds
        self.detail = detail


class ReportConfirmed(Message):
    """The end of an attempt is committed; the agent forgets its result."""

    __slots__ = ("shard", "task_id", "attempt")
    type_number = 12

    def __init__(self, shard: int = 0, task_id: str = "", attempt: int = 0) -> None:
        self.shard = shard
        self.task_id = task_id
        self.attempt = attempt
