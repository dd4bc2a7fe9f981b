"""Messages between entries and agents, and between entries.

The wire form of a message is its fields in slot order, so new fields go at the end and have a
default: a peer one version behind leaves them out, a peer one version ahead adds more.
"""

from __future__ import annotations

from typing import ClassVar

from acaciastand.record import Record
from acaciastand.resources import Resources

PROTOCOL_VERSION = 1


class Part(Record):
    """A structured value inside a message.

    Attributes
    ----------
    nested
        Fields that hold another part, by name.
    nested_lists
        Fields that hold a list of parts, by name.
    """

    __slots__ = ()
    nested: ClassVar[dict[str, type]] = {}
    nested_lists: ClassVar[dict[str, type]] = {}


class Message(Part):
    """A message with its type number on the wire."""

    __slots__ = ()
    type_number: ClassVar[int] = 0


class EntryAddress(Part):
    """One entry of the directory; `address` is ``ip:port`` of its peer listener."""

    __slots__ = ("entry_id", "address", "availability_zone")

    def __init__(self, entry_id: str = "", address: str = "", availability_zone: str = "") -> None:
        self.entry_id = entry_id
        self.address = address
        self.availability_zone = availability_zone


class ShardEpoch(Part):
    """A shard and the epoch of its owner."""

    __slots__ = ("shard", "epoch")

    def __init__(self, shard: int = 0, epoch: int = 0) -> None:
        self.shard = shard
        self.epoch = epoch


class HeldAttempt(Part):
    """An attempt in the agent's ledger.

    Parameters
    ----------
    shard, epoch
        Shard of the task and the epoch of the owner that granted or last renewed it.
    task_id, attempt
        The task and its attempt number.
    state
        Value of `acaciastand.host.AttemptState`.
    size
        Resources the agent counts for it.
    """

    __slots__ = ("shard", "epoch", "task_id", "attempt", "state", "size")
    nested = {"size": Resources}

    def __init__(
        self,
        shard: int = 0,
        epoch: int = 0,
        task_id: str = "",
        attempt: int = 0,
        state: str = "",
        size: Resources | None = None,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.task_id = task_id
        self.attempt = attempt
        self.state = state
        self.size = size or Resources()


class AttemptName(Part):
    """A task and an attempt number."""

    __slots__ = ("task_id", "attempt")

    def __init__(self, task_id: str = "", attempt: int = 0) -> None:
        self.task_id = task_id
        self.attempt = attempt


class Hello(Message):
    """First message of an agent on a connection to an entry.

    Parameters
    ----------
    path
        Site of the agent in the settings tree; empty for the site of the entry.
    """

    __slots__ = (
        "agent_id",
        "incarnation",
        "availability_zone",
        "rack",
        "capacity",
        "slots",
        "connections",
        "services",
        "target_healthy",
        "draining",
        "settings_revision",
        "attempts",
        "path",
    )
    type_number = 1
    nested = {"capacity": Resources}
    nested_lists = {"attempts": HeldAttempt}

    def __init__(
        self,
        agent_id: str = "",
        incarnation: str = "",
        availability_zone: str = "",
        rack: str = "",
        capacity: Resources | None = None,
        slots: int = 0,
        connections: int = 0,
        services: list[str] | None = None,
        target_healthy: bool = True,
        draining: bool = False,
        settings_revision: int = 0,
        attempts: list[HeldAttempt] | None = None,
        path: str = "",
    ) -> None:
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.availability_zone = availability_zone
        self.rack = rack
        self.capacity = capacity or Resources()
        self.slots = slots
        self.connections = connections
        self.services = services or []
        self.target_healthy = target_healthy
        self.draining = draining
        self.settings_revision = settings_revision
        self.attempts = attempts or []
        self.path = path


class Welcome(Message):
    """Answer of the entry to `Hello`; `settings` maps setting keys to effective values."""

    __slots__ = (
        "entry_id",
        "heartbeat_seconds",
        "entries",
        "settings_revision",
        "settings",
        "owned_shards",
    )
    type_number = 2
    nested_lists = {"entries": EntryAddress, "owned_shards": ShardEpoch}

    def __init__(
        self,
        entry_id: str = "",
        heartbeat_seconds: float = 1.0,
        entries: list[EntryAddress] | None = None,
        settings_revision: int = 0,
        settings: dict[str, object] | None = None,
        owned_shards: list[ShardEpoch] | None = None,
    ) -> None:
        self.entry_id = entry_id
        self.heartbeat_seconds = heartbeat_seconds
        self.entries = entries or []
        self.settings_revision = settings_revision
        self.settings = settings or {}
        self.owned_shards = owned_shards or []


class Directory(Message):
    """The entries known to the sender; sent when they change."""

    __slots__ = ("entries",)
    type_number = 3
    nested_lists = {"entries": EntryAddress}

    def __init__(self, entries: list[EntryAddress] | None = None) -> None:
        self.entries = entries or []


class Heartbeat(Message):
    """Sent by an agent every heartbeat interval.

    Parameters
    ----------
    sequence
        Rises by one with each heartbeat of the connection; grants are counted from its sending.
    in_flight
        Requests that hold a slot.
    free
        Resources not taken by held attempts and the service.
    attempts
        All held attempts; empty when `digest` stands for them.
    digest
        Digest of a list that the entry has confirmed to know; 0 when `attempts` is the list.
    """

    __slots__ = (
        "sequence",
        "in_flight",
        "free",
        "settings_revision",
        "target_healthy",
        "draining",
        "attempts",
        "digest",
    )
    type_number = 4
    nested = {"free": Resources}
    nested_lists = {"attempts": HeldAttempt}

    def __init__(
        self,
        sequence: int = 0,
        in_flight: int = 0,
        free: Resources | None = None,
        settings_revision: int = 0,
        target_healthy: bool = True,
        draining: bool = False,
        attempts: list[HeldAttempt] | None = None,
        digest: int = 0,
    ) -> None:
        self.sequence = sequence
        self.in_flight = in_flight
        self.free = free or Resources()
        self.settings_revision = settings_revision
        self.target_healthy = target_healthy
        self.draining = draining
        self.attempts = attempts or []
        self.digest = digest


class HeartbeatReply(Message):
    """Answer to a heartbeat; renews the listed attempts from the sending of that heartbeat.

    Parameters
    ----------
    sequence
        Sequence of the heartbeat.
    settings_revision
        Revision the entry holds.
    owned_shards
        Shards the entry owns; the agent refuses lower epochs of these shards from then on.
    renewed
        Attempts that are current and renewed.
    grant_seconds
        Length of the renewed grants; 0 leaves the length of the first grant.
    knows_held
        Whether the entry knows the list of this heartbeat, so that a digest may stand for it.
    renewed_digest
        Digest of the heartbeat when it stands for `renewed`: everything is renewed that the agent
        held in shards of `owned_shards` when it sent the heartbeat. 0 when `renewed` is the list.
    surging
        Whether a service of the region surges at this entry.
    """

    __slots__ = (
        "sequence",
        "settings_revision",
        "owned_shards",
        "renewed",
        "grant_seconds",
        "knows_held",
        "renewed_digest",
        "surging",
    )
    type_number = 5
    nested_lists = {"owned_shards": ShardEpoch, "renewed": AttemptName}

    def __init__(
        self,
        sequence: int = 0,
        settings_revision: int = 0,
        owned_shards: list[ShardEpoch] | None = None,
        renewed: list[AttemptName] | None = None,
        grant_seconds: float = 0.0,
        knows_held: bool = False,
        renewed_digest: int = 0,
        surging: bool = False,
    ) -> None:
        self.sequence = sequence
        self.settings_revision = settings_revision
        self.owned_shards = owned_shards or []
        self.renewed = renewed or []
        self.grant_seconds = grant_seconds
        self.knows_held = knows_held
        self.renewed_digest = renewed_digest
        self.surging = surging


class Execute(Message):
    """A caller's request for the agent's target.

    Parameters
    ----------
    timeout_ms
        What is left of the deadline when the message is sent.
    attempt_number, key_age_ms
        As the caller stated them; `key_age_ms` is -1 when it did not.
    """

    __slots__ = (
        "request_id",
        "service",
        "body",
        "timeout_ms",
        "idempotent",
        "key",
        "attempt_number",
        "content_type",
        "key_age_ms",
    )
    type_number = 6

    def __init__(
        self,
        request_id: str = "",
        service: str = "",
        body: bytes = b"",
        timeout_ms: int = 0,
        idempotent: bool = False,
        key: str = "",
        attempt_number: int = 0,
        content_type: str = "",
        key_age_ms: int = -1,
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.body = body
        self.timeout_ms = timeout_ms
        self.idempotent = idempotent
        self.key = key
        self.attempt_number = attempt_number
        self.content_type = content_type
        self.key_age_ms = key_age_ms


class ExecuteReply(Message):
    """Answer to `Execute`.

    Parameters
    ----------
    status
        HTTP status of the target's answer; 0 when there is none and `reason` says why.
    outcome
        Value of `acaciastand.errors.Outcome` when there is no answer, else empty.
    in_flight
        Requests that hold a slot at the agent, for load-aware choice.
    """

    __slots__ = ("request_id", "status", "body", "content_type", "outcome", "reason", "in_flight")
    type_number = 7

    def __init__(
        self,
        request_id: str = "",
        status: int = 0,
        body: bytes = b"",
        content_type: str = "",
        outcome: str = "",
        reason: str = "",
        in_flight: int = 0,
    ) -> None:
        self.request_id = request_id
        self.status = status
        self.body = body
        self.content_type = content_type
        self.outcome = outcome
        self.reason = reason
        self.in_flight = in_flight


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


class SettingsUpdate(Message):
    """Effective settings of the receiver at a revision."""

    __slots__ = ("revision", "settings")
    type_number = 13

    def __init__(self, revision: int = 0, settings: dict[str, object] | None = None) -> None:
        self.revision = revision
        self.settings = settings or {}


class Drain(Message):
    """The sender is leaving; it admits no new work."""

    __slots__ = ("reason",)
    type_number = 14

    def __init__(self, reason: str = "") -> None:
        self.reason = reason


class PeerHello(Message):
    """First message of an entry on a connection to another entry."""

    __slots__ = ("entry", "settings_revision", "owned_shards")
    type_number = 15
    nested = {"entry": EntryAddress}
    nested_lists = {"owned_shards": ShardEpoch}

    def __init__(
        self,
        entry: EntryAddress | None = None,
        settings_revision: int = 0,
        owned_shards: list[ShardEpoch] | None = None,
    ) -> None:
        self.entry = entry or EntryAddress()
        self.settings_revision = settings_revision
        self.owned_shards = owned_shards or []


class PeerHeartbeat(Message):
    """Sent by each entry on its peer connections, in both directions.

    Parameters
    ----------
    settings_revision
        Revision the sender holds.
    in_force_revision
        Lowest revision confirmed by the sender and its agents.
    free_slots
        Free slots by service over the sender's agents.
    bucket_masks
        Buckets of keys held by the sender's agents, by service, as bits of a number.
    """

    __slots__ = (
        "settings_revision",
        "in_force_revision",
        "owned_shards",
        "free_slots",
        "draining",
        "bucket_masks",
    )
    type_number = 16
    nested_lists = {"owned_shards": ShardEpoch}

    def __init__(
        self,
        settings_revision: int = 0,
        in_force_revision: int = 0,
        owned_shards: list[ShardEpoch] | None = None,
        free_slots: dict[str, int] | None = None,
        draining: bool = False,
        bucket_masks: dict[str, int] | None = None,
    ) -> None:
        self.settings_revision = settings_revision
        self.in_force_revision = in_force_revision
        self.owned_shards = owned_shards or []
        self.free_slots = free_slots or {}
        self.draining = draining
        self.bucket_masks = bucket_masks or {}


class Forward(Message):
    """A call for the receiving entry; it never forwards again.

    Parameters
    ----------
    call
        One of ``execute``, ``submit_job``, ``query_job``, ``cancel_job``, ``settings_snapshot``.
    payload
        Arguments by name.
    """

    __slots__ = ("call", "payload", "timeout_ms")
    type_number = 17

    def __init__(
        self, call: str = "", payload: dict[str, object] | None = None, timeout_ms: int = 0
    ) -> None:
        self.call = call
        self.payload = payload or {}
        self.timeout_ms = timeout_ms


class ForwardReply(Message):
    """Result of a forwarded call, or the error with its code, outcome and remedy."""

    __slots__ = ("result", "code", "outcome", "message", "remedy", "status")
    type_number = 18

    def __init__(
        self,
        result: dict[str, object] | None = None,
        code: str = "",
        outcome: str = "",
        message: str = "",
        remedy: str = "",
        status: int = 0,
    ) -> None:
        self.result = result or {}
        self.code = code
        self.outcome = outcome
        self.message = message
        self.remedy = remedy
        self.status = status


MESSAGE_TYPES: dict[int, type[Message]] = {
    cls.type_number: cls
    for cls in (
        Hello,
        Welcome,
        Directory,
        Heartbeat,
        HeartbeatReply,
        Execute,
        ExecuteReply,
        GrantAttempt,
        GrantReply,
        StopAttempt,
        AttemptReport,
        ReportConfirmed,
        SettingsUpdate,
        Drain,
        PeerHello,
        PeerHeartbeat,
        Forward,
        ForwardReply,
    )
}
