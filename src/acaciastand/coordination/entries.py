"""Entries and snapshots of a journal, and their encoding."""

from __future__ import annotations

from typing import Any, Self

import cbor2

from acaciastand.errors import InvalidInput
from acaciastand.record import Record

MAX_ENTRY_BYTES = 256 << 10  # one encoded entry
MAX_SNAPSHOT_BYTES = 900 << 10  # one encoded snapshot; the store's limit is one megabyte


class EntryTooLarge(InvalidInput):
    """The events do not fit into one entry."""

    code = "entry_too_large"


class SnapshotTooLarge(InvalidInput):
    """The state does not fit into one snapshot."""

    code = "snapshot_too_large"


class Entry(Record):
    """One entry: the events of one commit.

    Parameters
    ----------
    number
        Position in the journal, from 1.
    epoch
        Epoch of the owner that wrote it; 0 in shared journals.
    writer
        Id of the writer.
    nonce
        Identifies this entry when the answer to its write is lost.
    events
        Values that CBOR can represent.
    """

    __slots__ = ("number", "epoch", "writer", "nonce", "events")

    def __init__(
        self, number: int, epoch: int, writer: str, nonce: bytes, events: list[Any]
    ) -> None:
        self.number = number
        self.epoch = epoch
        self.writer = writer
        self.nonce = nonce
        self.events = events

    def encode(self) -> bytes:
        """Return the entry as CBOR."""
        return cbor2.dumps(list(self.values()))

    @classmethod
    def decode(cls, data: bytes) -> Self:
        """Return the entry in `data`."""
        return cls(*cbor2.loads(data))


class Snapshot(Record):
    """State after entry `position`, with the highest epoch up to there."""

    __slots__ = ("position", "epoch", "state")

    def __init__(self, position: int, epoch: int, state: Any) -> None:
        self.position = position
        self.epoch = epoch
        self.state = state

    def encode(self) -> bytes:
        """Return the snapshot as CBOR."""
        return cbor2.dumps(list(self.values()))

    @classmethod
    def decode(cls, data: bytes) -> Self:
        """Return the snapshot in `data`."""
        return cls(*cbor2.loads(data))


class JournalState(Record):
    """What a read of a journal returned.

    Parameters
    ----------
    snapshot
        State that the entries continue; None when there is none or `complete` is false.
    entries
        Entries in the order of their numbers.
    position
        Number of the last entry.
    epoch
        Highest epoch.
    complete
        True: `snapshot` and `entries` are the whole journal. False: `entries` continue what was
        read before.
    """

    __slots__ = ("snapshot", "entries", "position", "epoch", "complete")

    def __init__(
        self, snapshot: Any, entries: list[Entry], position: int, epoch: int, complete: bool
    ) -> None:
        self.snapshot = snapshot
        self.entries = entries
        self.position = position
        self.epoch = epoch
        self.complete = complete
