"""Attempts that a host tracks, and the commands that carry them out at the worker."""

from __future__ import annotations

from enum import StrEnum

from acaciastand.record import Record
from acaciastand.resources import Resources

BUCKET_PREFIX = "bucket/"


class AttemptState(StrEnum):
    """State of an attempt that the host tracks."""

    STARTING = "starting"
    RUNNING = "running"
    PAUSED = "paused"
    STOPPING = "stopping"
    ENDED = "ended"


class AttemptResult(StrEnum):
    """How an attempt ended.

    An attempt is `STOPPED` by its owner, `EVICTED` by the host, and `LOST` when the worker no
    longer lists it.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    START_FAILED = "start_failed"
    STOPPED = "stopped"
    EVICTED = "evicted"
    LOST = "lost"


class WorkerCommandKind(StrEnum):
    """Kind of a command to the worker.

    `FORGET` stops an attempt that the host does not track.
    """

    START = "start"
    RENEW = "renew"
    PAUSE = "pause"
    RESUME = "resume"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    FORGET = "forget"


class WorkerCommand(Record):
    """Command that the agent carries out with one call to the worker.

    Parameters
    ----------
    attempt
        Attempt number.
    valid_until
        End of the lease in monotonic seconds.
    keep_progress
        Whether a stop saves the progress of the task.
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
    """Permission of a shard's owner to run one attempt, as received on one connection.

    The agent copies the fields by name from the message `GrantAttempt`, which describes them.
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
    attempt
        Attempt number.
    state
        ``running``, ``paused``, ``finished`` or ``failed``.
    usage
        Observed use, which lags behind.
    lease_seconds
        Time left of the lease at the worker.
    run_seconds
        Time that the task has run so far; it can include earlier attempts.
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
    """An attempt that the host tracks, from its grant until its result is confirmed.

    Times are monotonic seconds.

    Parameters
    ----------
    grant
        Grant under which the attempt was accepted; its epoch rises with renewals by newer owners.
    valid_until
        End of the current grant.
    tracked_since
        When the host accepted or adopted the attempt.

    Attributes
    ----------
    observed
        Use of resources that the worker listed last.
    lease_until
        End of the lease last sent to the worker, or listed by it for an adopted attempt; 0 when the
        lease is unknown.
    start_sent
        Whether a start command has been issued.
    confirmed_at
        When the worker last confirmed a command; `tracked_since` before that.
    command_in_progress
        Whether a command has been issued whose outcome has not been recorded.
    keep_progress
        Whether a stop saves the progress of the task.
    stop_result
        Result that a stop will have; only a stop that the owner asked for is ``stopped``.
    start_unknown
        Whether a start call without an answer may still reach the worker.
    end_checkpoint
        Checkpoint reported with the result; empty for none.
    run_seconds
        Run time that the worker stated last.
    detail
        Text reported with the result.
    limit_cores, limit_sent
        Cores that the task may use, and the limit last sent to the worker; 0 for no limit, and
        `limit_sent` is None when the worker's limit is unknown.
    checkpoint_requested
        Whether a checkpoint command is due.
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
        "command_in_progress",
        "keep_progress",
        "stop_result",
        "start_unknown",
        "result",
        "end_checkpoint",
        "run_seconds",
        "detail",
        "limit_cores",
        "limit_sent",
        "checkpoint_requested",
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
        self.command_in_progress = False
        self.keep_progress = False
        self.stop_result = AttemptResult.STOPPED
        self.start_unknown = False
        self.result: AttemptResult | None = None
        self.end_checkpoint = ""
        self.run_seconds = 0.0
        self.detail = ""
        self.limit_cores = 0.0
        self.limit_sent: float | None = 0.0
        self.checkpoint_requested = False
        self.checkpoint = grant.checkpoint
        self.checkpoint_seconds = 0.0

    @property
    def outlasts_lease(self) -> bool:
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
        """Whether the attempt is a bucket of keys, of which the worker knows nothing."""
        return self.grant.task_id.startswith(BUCKET_PREFIX)

    @property
    def counted_resources(self) -> Resources:
        """Larger of declared and observed use, field by field; nothing after the end."""
        if self.state is AttemptState.ENDED:
            return Resources()
        return self.grant.size.largest(self.observed)

    def end(self, result: AttemptResult, detail: str = "") -> None:
        """End the attempt with a result, which is kept until the owner confirms it."""
        self.state = AttemptState.ENDED
        self.result = result
        self.detail = detail
        self.command_in_progress = False

    def begin_stop(self, keep_progress: bool) -> None:
        """Have the attempt stopped; one that was not started yet ends at once."""
        if self.state is AttemptState.ENDED:
            return
        if self.is_bucket:
            self.state = AttemptState.STOPPING
            return
        if self.state is AttemptState.STARTING and not self.start_sent:
            self.end(self.stop_result, "stopped before it started")
            self.end_checkpoint = self.grant.checkpoint
            return
        self.keep_progress = self.keep_progress or keep_progress
        self.state = AttemptState.STOPPING
