"""Attempts held by a host and the commands that move them at the worker."""

from __future__ import annotations

from enum import StrEnum

from acaciastand.record import Record
from acaciastand.resources import Resources

BUCKET_PREFIX = "bucket/"


class AttemptState(StrEnum):
    """State of an attempt in the ledger."""

    STARTING = "starting"
    RUNNING = "running"
    PAUSED = "paused"
    STOPPING = "stopping"
    ENDED = "ended"


class AttemptResult(StrEnum):
    """How an attempt ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    START_FAILED = "start_failed"
    STOPPED = "stopped"
    EVICTED = "evicted"
    LOST = "lost"


class WorkerCommandKind(StrEnum):
    """What the agent is to ask of the worker."""

    START = "start"
    RENEW = "renew"
    PAUSE = "pause"
    RESUME = "resume"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    FORGET = "forget"


class WorkerCommand(Record):
    """One call to the worker.

    Parameters
    ----------
    valid_until
        End of the lease, monotonic seconds.
    limit_cores
        Cores that a throttled task may use; 0 for no limit.
    """

    __slots__ = ("kind", "task_id", "attempt", "valid_until", "keep_progress", "limit_cores")

    def __init__(
        self,
        kind: WorkerCommandKind,
        task_id: str,
        attempt: int,
        valid_until: float = 0.0,
        keep_progress: bool = False,
        limit_cores: float = 0.0,
    ) -> None:
        self.kind = kind
        self.task_id = task_id
        self.attempt = attempt
        self.valid_until = valid_until
        self.keep_progress = keep_progress
        self.limit_cores = limit_cores


class Grant(Record):
    """Permission of a shard's owner, as received on one link."""

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

    def __init__(
        self,
        shard: int,
        epoch: int,
        task_id: str,
        attempt: int,
        size: Resources,
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
        self.size = size
        self.run_seconds = run_seconds
        self.checkpoint = checkpoint
        self.batch_class = batch_class
        self.heartbeat_sequence = heartbeat_sequence
        self.grant_seconds = grant_seconds
        self.urgent = urgent


class WorkerTask(Record):
    """A task as the worker lists it.

    Parameters
    ----------
    state
        ``running``, ``paused``, ``finished`` or ``failed``.
    lease_seconds
        What is left of the lease at the worker.
    """

    __slots__ = (
        "task_id",
        "attempt",
        "shard",
        "state",
        "size",
        "usage",
        "lease_seconds",
        "checkpoint",
        "run_seconds",
        "batch_class",
        "urgent",
    )

    def __init__(
        self,
        task_id: str,
        attempt: int,
        shard: int,
        state: str,
        size: Resources,
        usage: Resources,
        lease_seconds: float = 0.0,
        checkpoint: str = "",
        run_seconds: float = 0.0,
        batch_class: str = "",
        urgent: bool = False,
    ) -> None:
        self.task_id = task_id
        self.attempt = attempt
        self.shard = shard
        self.state = state
        self.size = size
        self.usage = usage
        self.lease_seconds = lease_seconds
        self.checkpoint = checkpoint
        self.run_seconds = run_seconds
        self.batch_class = batch_class
        self.urgent = urgent


class Attempt:
    """An attempt in the ledger.

    Parameters
    ----------
    grant
        The grant it was taken under; the epoch rises with renewals of newer owners.
    valid_until
        End of the current grant, monotonic seconds.
    tracked_since
        When the host took it, monotonic seconds.

    Attributes
    ----------
    stop_result
        Result that a stop will have; only a stop that the owner asked for is ``stopped``.
    start_unknown
        Whether a start call without an answer may still reach the worker.
    limit_cores, limit_sent
        Cores that the task may use, and the limit last sent to the worker; 0 for no limit, and
        `limit_sent` is None when the worker's limit is unknown.
    checkpoint, checkpoint_seconds
        Latest known checkpoint, and the run time that it covers.
    """

    __slots__ = (
        "grant",
        "valid_until",
        "tracked_since",
        "state",
        "observed",
        "lease_until",
        "start_sent",
        "confirmed_at",
        "busy",
        "keep_progress",
        "stop_result",
        "start_unknown",
        "result",
        "end_checkpoint",
        "run_seconds",
        "detail",
        "limit_cores",
        "limit_sent",
        "checkpoint_wanted",
        "checkpoint",
        "checkpoint_seconds",
    )

    def __init__(self, grant: Grant, valid_until: float, tracked_since: float) -> None:
        self.grant = grant
        self.valid_until = valid_until
        self.tracked_since = tracked_since
        self.state = AttemptState.STARTING
        self.observed = Resources()
        self.lease_until = 0.0
        self.start_sent = False
        self.confirmed_at = tracked_since
        self.busy = False
        self.keep_progress = False
        self.stop_result = AttemptResult.STOPPED
        self.start_unknown = False
        self.result: AttemptResult | None = None
        self.end_checkpoint = ""
        self.run_seconds = 0.0
        self.detail = ""
        self.limit_cores = 0.0
        self.limit_sent: float | None = 0.0
        self.checkpoint_wanted = False
        self.checkpoint = grant.checkpoint
        self.checkpoint_seconds = 0.0

    @property
    def extended(self) -> bool:
        """Whether the grant now lasts longer than the lease at the worker."""
        return self.valid_until > self.lease_until

    @property
    def task_id(self) -> str:
        """Task of the attempt."""
        return self.grant.task_id

    @property
    def number(self) -> int:
        """Attempt number."""
        return self.grant.attempt

    @property
    def is_bucket(self) -> bool:
        """Whether this is the home of a bucket of keys, which the worker knows nothing about."""
        return self.grant.task_id.startswith(BUCKET_PREFIX)

    @property
    def counted(self) -> Resources:
        """The larger of declared and observed use; nothing once it ended."""
        if self.state is AttemptState.ENDED:
            return Resources()
        return self.grant.size.largest(self.observed)

    def end(self, result: AttemptResult, detail: str = "") -> None:
        """Record the result; it is kept until the owner confirms it."""
        self.state = AttemptState.ENDED
        self.result = result
        self.detail = detail
        self.busy = False
