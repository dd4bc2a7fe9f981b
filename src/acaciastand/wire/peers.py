"""Messages between entries."""

from __future__ import annotations

from acaciastand.wire.values import EntryAddress, Message, ShardEpoch


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
