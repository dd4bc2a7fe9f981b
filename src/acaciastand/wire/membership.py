"""Messages by which agents announce themselves, stay known and leave."""

from __future__ import annotations

from acaciastand.resources import Resources
from acaciastand.wire.values import AttemptName, EntryAddress, HeldAttempt, Message, ShardEpoch


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
        Digest of the heartbeat when it stands for `renewed`: everything is renewed that the
        agent held in shards of `owned_shards` when it sent the heartbeat; 0 for the list.
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
