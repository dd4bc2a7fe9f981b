"""Entries and snapshots of a journal, and their encoding."""

from __future__ import annotations

from typing import Any, Self

import cbor2

from acaciastand.errors import InvalidInput
from acaciastand.record import Record

MAX_ENTRY_BYTES = 256 << 10  # Limit for one encoded entry.
MAX_SNAPSHOT_BYTES = 900 << 10  # Limit for one encoded snapshot; a store value has at most 1 MB.


class EntryTooLarge(InvalidInput):
    """The events do not fit into one entry."""

    code = "entry_too_large"


class SnapshotTooLarge(InvalidInput):
    """The state does not fit into one snapshot."""

    code = "snapshot_too_large"


class Entry(Record):
    """One journal entry: the events of one commit.

    Parameters
    ----------
    number
        Position in the journal, starting at 1.
    epoch
        Epoch of the owner that wrote the entry; 0 in a journal that was never taken over.
    writer
        Id of the writer.
    nonce
        Unique bytes that identify this entry when the response to its write was lost.
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
        """Return the entry that `encode` encoded as `data`."""
        return cls(*cbor2.loads(data))


class Snapshot(Record):
    """State of a journal after one of its entries.

    Parameters
    ----------
    position
        Number of the last entry that the state includes.
    epoch
        Highest epoch of the entries up to `position`.
    state
        Result of applying all entries up to `position`; a value that CBOR can represent.
    """

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
        """Return the snapshot that `encode` encoded as `data`."""
        return cls(*cbor2.loads(data))


class JournalState(Record):
    """Result of reading a journal, whole or from some position on.

    Parameters
    ----------
    snapshot
        State to which `entries` are to be applied; None when the journal has no snapshot or
        `complete` is false.
    entries
        Entries in the order of their numbers.
    position
        Number of the last entry of the journal that was read; 0 in an empty journal.
    epoch
        Highest epoch of the entries up to `position`.
    complete
        True: `snapshot` and `entries` are the whole journal and replace what was read before.
        False: `entries` continue what was read before.
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
