"""Keys of a journal in the store: a ring of slots, and the snapshot."""

from __future__ import annotations

from acaciastand.coordination.entries import Entry, Snapshot
from acaciastand.coordination.store import KeyValueStore, Versioned
from acaciastand.record import Record

SLOTS = 64  # Keys of the ring buffer; each holds one entry.


class StoredEntry(Record):
    """An entry and the version of the slot that holds it."""

    __slots__ = ("entry", "version")

    def __init__(self, entry: Entry, version: int) -> None:
        self.entry = entry
        self.version = version


class StoredSnapshot(Record):
    """A snapshot and the version of its key."""

    __slots__ = ("snapshot", "version")

    def __init__(self, snapshot: Snapshot, version: int) -> None:
        self.snapshot = snapshot
        self.version = version


class JournalStorage:
    """Reads and writes the keys of one journal.

    All calls can raise `StoreUnavailable`, the writes also `VersionMismatch` and
    `StoreAnswerLost`.

    Parameters
    ----------
    store
        Store that holds the journal.
    name
        Name of the journal; the prefix of its keys.
    """

    __slots__ = ("store", "name")

    def __init__(self, store: KeyValueStore, name: str) -> None:
        self.store = store
        self.name = name

    def read_entry(self, number: int) -> StoredEntry | None:
        """Return what the slot of an entry holds, which may be another one; None if it is empty."""
        stored = self.store.get(self._slot_key(number))
        return None if stored is None else _decode_entry(stored)

    def list_entries(self) -> list[StoredEntry]:
        """Return the entries in all slots, by number."""
        stored = [_decode_entry(slot) for slot in self.store.list(f"{self.name}/log/")]
        return sorted(stored, key=lambda slot: slot.entry.number)

    def write_entry(self, number: int, data: bytes, expected_version: int) -> int:
        """Write the slot of an entry and return its new version."""
        return self.store.put_if(self._slot_key(number), data, expected_version)

    def watch_slot(self, number: int, version: int, timeout_seconds: float) -> None:
        """Wait until the slot of an entry has another version than `version`."""
        self.store.watch(self._slot_key(number), version, timeout_seconds)

    def read_snapshot(self) -> StoredSnapshot | None:
        """Return the snapshot; None if there is none."""
        stored = self.store.get(self._snapshot_key)
        if stored is None:
            return None
        return StoredSnapshot(Snapshot.decode(stored.value), stored.version)

    def write_snapshot(self, data: bytes, expected_version: int) -> int:
        """Write the snapshot and return the new version of its key."""
        return self.store.put_if(self._snapshot_key, data, expected_version)

    def _slot_key(self, number: int) -> str:
        return f"{self.name}/log/{number % SLOTS}"

    @property
    def _snapshot_key(self) -> str:
        return f"{self.name}/snapshot"


def _decode_entry(stored: Versioned) -> StoredEntry:
    return StoredEntry(Entry.decode(stored.value), stored.version)
