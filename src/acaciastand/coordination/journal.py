"""Journal in a key-value store: a ring buffer of 64 slots, with snapshots.

Entry number n is stored at key ``<name>/log/<n mod 64>`` by compare-and-swap against the version
that the writer knows for the slot. A write for a position that is already taken therefore fails,
however late it reaches the store. The value at ``<name>/snapshot`` is the result of applying all
entries up to some entry. A slot is overwritten only when a snapshot covers its entry.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from acaciastand.coordination.entries import (
    MAX_ENTRY_BYTES,
    MAX_SNAPSHOT_BYTES,
    Entry,
    EntryTooLarge,
    JournalState,
    Snapshot,
    SnapshotTooLarge,
)
from acaciastand.coordination.entry_write import EntryWrite
from acaciastand.coordination.journal_errors import (
    AppendConflict,
    AppendUnresolved,
    CompactionNeeded,
    Fenced,
)
from acaciastand.coordination.journal_storage import SLOTS, JournalStorage
from acaciastand.coordination.store import (
    KeyValueStore,
    StoreAnswerLost,
    StoreUnavailable,
    VersionMismatch,
)
from acaciastand.errors import AcaciastandError, Conflict

COMPACT_AFTER = 32  # Number of entries after the snapshot from which a compaction is due.
RESERVED_SLOTS = 8  # Slots that appends leave free, so that takeovers find room for their entry.
MAX_LOAD_ATTEMPTS = 8  # Reads of a journal that keeps changing, until `load` fails.
MAX_TAKEOVER_ATTEMPTS = 16  # Attempts of a takeover while the former owner keeps appending.


class Journal:
    """A journal as one writer sees it, called the writer's view below.

    `load` makes a shared (multi-writer) view: when another writer has appended first, `append`
    raises `AppendConflict`; call `refresh` to read the new entries, then append again.
    `take_over` makes an owned (single-writer) view with the next epoch: when another writer has
    appended, `append` raises `Fenced`.

    A view handles one call at a time. With a store that yields to other greenlets, the caller
    must serialize its calls; otherwise the view mistakes a second append for the same position
    for an append of another writer.

    Parameters
    ----------
    store
        Store that holds the journal.
    name
        Prefix of the keys, without a trailing slash.
    writer_id
        Id of this writer in its entries.
    nonce
        Returns the nonce of a new entry, which must differ from the nonces of all other entries of
        all writers; 16 random bytes suffice.

    Attributes
    ----------
    position
        Number of the last entry that this view knows; 0 in an empty journal.
    epoch
        Highest epoch that this view knows; each takeover increments it.
    owned
        True from `take_over` until the next `load`, also one by `refresh`. It stays true when
        another owner has fenced the view.
    snapshot_position
        Number of the last entry that the snapshot covers, as far as this view knows; 0 without a
        snapshot.
    """

    __slots__ = (
        "store",
        "name",
        "writer_id",
        "nonce",
        "position",
        "epoch",
        "owned",
        "snapshot_position",
        "_fenced",
        "_loaded",
        "_storage",
        "_last_write",
        "_slot_versions",
        "_snapshot_version",
    )

    def __init__(
        self, store: KeyValueStore, name: str, writer_id: str, nonce: Callable[[], bytes]
    ) -> None:
        self.store = store
        self.name = name
        self._storage = JournalStorage(store, name)
        self.writer_id = writer_id
        self.nonce = nonce
        self.position = 0
        self.snapshot_position = 0
        self._snapshot_version = 0
        self._reset()

    def load(self) -> JournalState:
        """Read the whole journal and become a shared writer of it.

        The view forgets an unresolved append. If that append took effect, its entry is among the
        returned entries or appears later.

        Returns
        -------
        JournalState
            The whole journal; `complete` is true.

        Raises
        ------
        StoreUnavailable
            The store is unavailable, or the journal changed during each of `MAX_LOAD_ATTEMPTS`
            reads.
        """
        for _ in range(MAX_LOAD_ATTEMPTS):
            state = self._read_all()
            if state is not None:
                return state
        raise StoreUnavailable(
            f"journal {self.name!r} changed during each of {MAX_LOAD_ATTEMPTS} reads",
            "load it again",
        )

    def take_over(self, events: Callable[[int], Sequence[Any]] | None = None) -> JournalState:
        """Become the only owner: load the journal, then append an entry of the next epoch.

        Parameters
        ----------
        events
            Called with the new epoch; returns the events of the first entry. Without it, that
            entry has no events; its epoch and writer alone record the change of owner. It can be
            called several times, because an attempt starts again when another writer appends
            first.

        Returns
        -------
        JournalState
            The whole journal including the new entry; `complete` is true.

        Raises
        ------
        EntryTooLarge
            The first entry would exceed `MAX_ENTRY_BYTES`; nothing was written.
        CompactionNeeded
            No slot is free; `load` the journal, `compact` its state, then take over again.
        AppendConflict
            Another writer, such as the former owner, appended first in each of
            `MAX_TAKEOVER_ATTEMPTS` attempts.
        StoreUnavailable, StoreAnswerLost
            The first entry may have been written; take over again.
        """
        for _ in range(MAX_TAKEOVER_ATTEMPTS):
            state = self.load()
            epoch = self.epoch + 1
            try:
                entry = self._append(events(epoch) if events else (), epoch, SLOTS)
            except AppendConflict:
                continue
            except AcaciastandError:
                # The caller has not received the state, and only another takeover settles who
                # owns the journal, so this view must not append.
                self._reset()
                raise
            self.owned = True
            state.entries.append(entry)
            return state.replace(position=self.position, epoch=self.epoch)
        raise AppendConflict(
            f"another writer appended to journal {self.name!r} during each of"
            f" {MAX_TAKEOVER_ATTEMPTS} takeover attempts",
            "take over again",
        )

    def append(self, events: Sequence[Any]) -> int:
        """Write all events as one entry, normally with one store call.

        Parameters
        ----------
        events
            Values that CBOR can represent.

        Returns
        -------
        int
            Number of the entry.

        Raises
        ------
        EntryTooLarge
            The entry would exceed `MAX_ENTRY_BYTES`; nothing was written.
        CompactionNeeded
            A compaction is overdue; nothing was written. `compact`, then append again.
        Fenced
            The journal has a newer owner; nothing was written.
        AppendConflict
            Another writer appended to a shared journal first; nothing was written. `refresh`,
            then decide again whether to append the events.
        Conflict
            The view is not loaded; nothing was written.
        StoreUnavailable
            The store is unavailable; nothing was written.
        StoreAnswerLost
            The entry may have been written. Call `resolve` before appending anything else; until
            then `append`, `refresh` and `compact` raise this error as well.
        AppendUnresolved
            The entry may have been written, and its slot has been overwritten since. Continue as
            after an `AppendUnresolved` of `resolve`.
        """
        self._check_usable()
        return self._append(events, self.epoch, SLOTS - RESERVED_SLOTS).number

    def resolve(self) -> int | None:
        """Determine the outcome of an append whose response was lost, by writing the entry again.

        Returns
        -------
        int or None
            Number of the entry, which is now written; None when no append is unresolved.

        Raises
        ------
        Fenced, AppendConflict
            The entry was not written and never will be.
        AppendUnresolved
            The slot has been overwritten. `load` or `take_over`, and look for the effect of the
            entry in the state.
        StoreAnswerLost
            The outcome is still unknown; resolve again later.
        """
        write = self._unresolved_write
        return None if write is None else self._write(write).number

    def refresh(self) -> JournalState:
        """Read the entries after `position`.

        Returns
        -------
        JournalState
            Only the new entries. When the view was not loaded, or the entry after `position` has
            been overwritten, the whole journal as from `load`, with `complete` true.

        Raises
        ------
        Fenced
            The view was fenced before.
        StoreUnavailable
            The store is unavailable, and no new entry was read.
        StoreAnswerLost
            An append is unresolved; `resolve` it first.
        """
        if not self._loaded and not self.unresolved:
            return self.load()
        self._check_usable()
        entries: list[Entry] = []
        while True:
            try:
                stored = self._storage.read_entry(self.position + 1)
            except StoreUnavailable:
                if not entries:
                    raise
                # The view has already advanced past these entries, so they are returned now.
                return self._incremental_state(entries)
            if stored is None or stored.entry.number <= self.position:
                return self._incremental_state(entries)
            if stored.entry.number != self.position + 1:
                return self.load()
            entries.append(stored.entry)
            self._advance_to(stored.entry, stored.version)

    def wait(self, timeout_seconds: float) -> JournalState:
        """Wait with one store call for an entry after `position`, then `refresh`.

        Parameters
        ----------
        timeout_seconds
            Longest time to wait for an entry.

        Returns
        -------
        JournalState
            Result of `refresh`; it has no entries when the time ran out.

        Raises
        ------
        Fenced, StoreUnavailable, StoreAnswerLost
            As in `refresh`.
        """
        number = self.position + 1
        slot_version = self._slot_versions[number % SLOTS]
        self._storage.watch_slot(number, slot_version, timeout_seconds)
        return self.refresh()

    def compact(self, state: Any) -> None:
        """Write the state after the entry at `position` as the snapshot.

        A snapshot that already covers `position` is kept. The snapshot of a former owner may
        reach the store late; it can replace only an older snapshot and describes committed
        entries, so it does no harm.

        Parameters
        ----------
        state
            Result of applying all entries up to `position`; a value that CBOR can represent.

        Raises
        ------
        SnapshotTooLarge
            The snapshot would exceed `MAX_SNAPSHOT_BYTES`; nothing was written.
        Fenced
            The view was fenced before; nothing was written.
        Conflict
            The view is not loaded; nothing was written.
        StoreUnavailable
            The store is unavailable; nothing was written. Compact again later.
        StoreAnswerLost
            The snapshot may have been written; compact again later. This error is also raised
            while an append is unresolved; `resolve` it first.
        """
        self._check_usable()
        data = Snapshot(self.position, self.epoch, state).encode()
        if len(data) > MAX_SNAPSHOT_BYTES:
            raise SnapshotTooLarge(
                f"the snapshot of journal {self.name!r} has {len(data)} bytes, more than"
                f" {MAX_SNAPSHOT_BYTES}",
                "spread the state over more journals",
            )
        while self.snapshot_position < self.position:
            try:
                self._snapshot_version = self._storage.write_snapshot(data, self._snapshot_version)
                self.snapshot_position = self.position
            except VersionMismatch:
                self._read_snapshot()

    @property
    def compaction_due(self) -> bool:
        """Whether to call `compact` now; without it, appends fail some entries later."""
        return self.position - self.snapshot_position >= COMPACT_AFTER

    @property
    def unresolved(self) -> bool:
        """Whether the outcome of an append is unknown; see `resolve`."""
        return self._unresolved_write is not None

    def _reset(self) -> None:
        self.position = 0
        self.epoch = 0
        self.owned = False
        self.snapshot_position = 0
        self._fenced = False
        self._loaded = False
        self._last_write: EntryWrite | None = None
        self._slot_versions = [0] * SLOTS
        self._snapshot_version = 0

    @property
    def _unresolved_write(self) -> EntryWrite | None:
        """The last write if its outcome is unknown."""
        write = self._last_write
        return write if write is not None and write.is_unresolved else None

    def _check_usable(self) -> None:
        if self._fenced:
            raise self._fenced_error()
        unresolved = self._unresolved_write
        if unresolved is not None:
            raise StoreAnswerLost(
                f"the outcome of writing entry {unresolved.entry.number} of journal"
                f" {self.name!r} is unknown",
                "call resolve() first",
            )
        if not self._loaded:
            raise Conflict(
                f"journal {self.name!r} is not loaded", "call load() or take_over() first"
            )

    def _append(self, events: Sequence[Any], epoch: int, usable_slots: int) -> Entry:
        number = self.position + 1
        entry = Entry(number, epoch, self.writer_id, self.nonce(), list(events))
        data = entry.encode()
        if len(data) > MAX_ENTRY_BYTES:
            raise EntryTooLarge(
                f"the entry has {len(data)} bytes, more than {MAX_ENTRY_BYTES}",
                "append fewer events at once",
            )
        self._check_slot_free(number, usable_slots)
        return self._write(
            EntryWrite(self._storage, entry, data, self._slot_versions[number % SLOTS])
        )

    def _check_slot_free(self, number: int, usable_slots: int) -> None:
        if number - self.snapshot_position <= usable_slots:
            return
        # Another writer may have written a newer snapshot.
        self._read_snapshot()
        if number - self.snapshot_position > usable_slots:
            raise CompactionNeeded(
                f"journal {self.name!r} has {self.position - self.snapshot_position} entries"
                " after its snapshot",
                "call compact(), then try again",
            )

    def _write(self, write: EntryWrite) -> Entry:
        """Write an entry and advance to it; while the outcome is unknown, keep it for `resolve`."""
        self._last_write = write
        try:
            version = write.run()
        except AppendUnresolved:
            self._loaded = False
            raise
        except AppendConflict as error:
            if not self.owned:
                raise
            self._fenced = True
            raise self._fenced_error() from error
        self._advance_to(write.entry, version)
        return write.entry

    def _fenced_error(self) -> Fenced:
        return Fenced(
            f"journal {self.name!r} was taken over from writer {self.writer_id!r}",
            "stop acting as its owner; claim the ownership again before another take_over()",
        )

    def _advance_to(self, entry: Entry, version: int) -> None:
        self.position = entry.number
        self.epoch = max(self.epoch, entry.epoch)
        self._slot_versions[entry.number % SLOTS] = version

    def _read_all(self) -> JournalState | None:
        """Reset the view and read snapshot and slots; return None if they changed meanwhile."""
        self._reset()
        # The snapshot is read before the slots: if entries after it are then missing from the
        # slots, a later snapshot covers them.
        snapshot = self._read_snapshot()
        entries: list[Entry] = []
        for stored in self._storage.list_entries():
            entry = stored.entry
            if entry.number <= self.position:
                self._slot_versions[entry.number % SLOTS] = stored.version
                continue
            if entry.number != self.position + 1:
                return None
            entries.append(entry)
            self._advance_to(entry, stored.version)
        self._loaded = True
        state = None if snapshot is None else snapshot.state
        return self._incremental_state(entries).replace(snapshot=state, complete=True)

    def _read_snapshot(self) -> Snapshot | None:
        """Read the snapshot and its position; a view that is not loaded begins there."""
        stored = self._storage.read_snapshot()
        if stored is None:
            return None
        snapshot = stored.snapshot
        self._snapshot_version = stored.version
        self.snapshot_position = snapshot.position
        if not self._loaded:
            self.position = snapshot.position
            self.epoch = snapshot.epoch
        return snapshot

    def _incremental_state(self, entries: list[Entry]) -> JournalState:
        return JournalState(None, entries, self.position, self.epoch, False)
