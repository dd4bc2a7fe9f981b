"""Base classes of messages, and structured values that several messages carry."""

from __future__ import annotations

from typing import ClassVar

from acaciastand.record import Record
from acaciastand.resources import Resources


class MessageValue(Record):
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


class Message(MessageValue):
    """A message with its type number on the wire."""

    __slots__ = ()
    type_number: ClassVar[int] = 0


class EntryAddress(MessageValue):
    """One entry of the directory; `address` is ``ip:port`` of its peer listener."""

    __slots__ = ("entry_id", "address", "availability_zone")

    def __init__(self, entry_id: str = "", address: str = "", availability_zone: str = "") -> None:
        self.entry_id = entry_id
        self.address = address
        self.availability_zone = availability_zone


class ShardEpoch(MessageValue):
    """A shard and the epoch of its owner."""

    __slots__ = ("shard", "epoch")

    def __init__(self, shard: int = 0, epoch: int = 0) -> None:
        self.shard = shard
        self.epoch = epoch


class HeldAttempt(MessageValue):
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


class AttemptName(MessageValue):
    """A task and an attempt number."""

    __slots__ = ("task_id", "attempt")

    def __init__(self, task_id: str = "", attempt: int = 0) -> None:
        self.task_id = task_id
        self.attempt = attempt
