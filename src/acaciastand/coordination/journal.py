"""Journal: a ring of 64 slots in the store, with snapshots.

Entry number n is stored at key ``<name>/log/<n mod 64>`` by compare-and-swap against the version
that the writer knows for the slot. A write for a position that is already taken therefore fails,
however late it lands. The value at ``<name>/snapshot`` is the folded state up to some entry; a slot
is overwritten only when a snapshot covers its entry.
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
from acaciastand.coordination.store import (
    KeyValueStore,
    StoreAnswerLost,
    StoreUnavailable,
    Versioned,
    VersionMismatch,
)
from acaciastand.errors import AcaciastandError, Conflict, Refused
from acaciastand.record import Record

SLOTS = 64  # keys of the ring; one holds one entry
COMPACT_AFTER = 32  # entries behind the snapshot from which a compaction is due
RESERVED_SLOTS = 8  # kept free of ordinary appends so that takeovers find room
LOAD_ATTEMPTS = 8  # reads of a journal that changes meanwhile
RESOLVE_ATTEMPTS = 3  # writes of one entry until a lost answer is reported to the caller
TAKE_OVER_ATTEMPTS = 16  # loads while the former owner keeps appending


class Fenced(Conflict):
    """Another owner took the journal over; this one can write no more."""

    code = "fenced"


class AppendConflict(Conflict):
    """Another writer appended first; nothing was written."""

    code = "append_conflict"


class CompactionNeeded(Refused):
    """The ring has no free slot; nothing was written."""

    code = "compaction_needed"


class AppendUnresolved(StoreAnswerLost):
    """Whether an entry was written cannot be learned any more."""

    code = "append_unresolved"


class _Pending(Record):
    """An entry whose write has no known outcome."""

    __slots__ = ("entry", "data", "expected_version", "sent")

    def __init__(self, entry: Entry, data: bytes, expected_version: int) -> None:
        self.entry = entry
        self.data = data
        self.expected_version = expected_version
        self.sent = False  # an attempt may have taken effect


class Journal:
    """One writer's view of a journal.

    `load` makes a shared (multi-writer) view: an append that meets a newer entry raises
    `AppendConflict`; `refresh` reads that entry, then append again. `take_over` makes an owned
    (single-writer) view with the next epoch: an append that meets an unexpected entry raises
    `Fenced`.

    A view serves one call at a time: with a store that yields to other greenlets, the caller must
    serialise the calls, or a second append for the same position would look like another writer's.

    Parameters
    ----------
    store
        Store that holds the journal.
    name
        Prefix of the keys.
    writer_id
        Names this writer in its entries.
    nonce
        Returns bytes that are never returned twice by any writer; 16 random bytes do.

    Attributes
    ----------
    position
        Number of the last known entry; 0 in an empty journal.
    epoch
        Highest known epoch; each takeover increments it.
    owned
        True from `take_over` until the next `load`; it does not tell whether the view is fenced.
    snapshot_position
        Entries up to this one are covered by the snapshot.
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
        "_pending",
        "_slot_versions",
        "_snapshot_version",
    )

    def __init__(
        self, store: KeyValueStore, name: str, writer_id: str, nonce: Callable[[], bytes]
    ) -> None:
        self.store = store
        self.name = name
        self.writer_id = writer_id
        self.nonce = nonce
        self.position = 0
        self.snapshot_position = 0
        self._snapshot_version = 0
        self._reset()

    def load(self) -> JournalState:
        """Read the whole journal and become a shared writer of it.

        An unresolved append of this view is forgotten; if it took effect, its entry is among the
        entries that are returned or comes later.

        Raises
        ------
        StoreUnavailable
            The store is unavailable, or the journal changed during each of `LOAD_ATTEMPTS` reads.
        """
        for _ in range(LOAD_ATTEMPTS):
            state = self._read_all()
            if state is not None:
                return state
        raise StoreUnavailable(
            f"journal {self.name!r} changed during each of {LOAD_ATTEMPTS} reads", "load it again"
        )

    def take_over(self, events: Callable[[int], Sequence[Any]] | None = None) -> JournalState:
        """Become the only owner: load, then append an entry of the next epoch.

        Parameters
        ----------
        events
            Called with the new epoch; returns the events of the first entry. Without it that
            entry has no events; its epoch and writer mark the change of owner.

        Returns
        -------
        JournalState
            The state including the new entry.

        Raises
        ------
        CompactionNeeded
            No slot is free; `compact` the loaded state, then take over again.
        AppendConflict
            The former owner kept appending.
        StoreUnavailable, StoreAnswerLost
            The takeover may have been written; take over again.
        """
        for _ in range(TAKE_OVER_ATTEMPTS):
            state = self.load()
            epoch = self.epoch + 1
            try:
                entry = self._append(events(epoch) if events else (), epoch, SLOTS)
            except AppendConflict:
                continue
            except AcaciastandError:
                # The caller has not received the state, and only another takeover settles who
                # owns the journal: this view must not append.
                self._reset()
                raise
            self.owned = True
            state.entries.append(entry)
            return state.replace(position=self.position, epoch=self.epoch)
        raise AppendConflict(
            f"journal {self.name!r} was appended to during {TAKE_OVER_ATTEMPTS} takeovers",
            "take over again",
        )

    def append(self, events: Sequence[Any]) -> int:
        """Write all `events` as one entry with one store call and return its number.

        Raises
        ------
        EntryTooLarge
            The entry would exceed `MAX_ENTRY_BYTES`; nothing was written.
        CompactionNeeded
            A snapshot is overdue; nothing was written. `compact`, then append again.
        Fenced
            The journal has a newer owner; nothing was written.
        AppendConflict
            A shared journal has a newer entry; nothing was written. `refresh`, then decide anew.
        StoreUnavailable
            Nothing was written.
        StoreAnswerLost
            The entry may have been written. Call `resolve` before anything else is appended;
            until then `append` and `compact` raise this error as well.
        """
        self._check_usable()
        return self._append(events, self.epoch, SLOTS - RESERVED_SLOTS).number

    def resolve(self) -> int | None:
        """Learn the outcome of an append whose answer was lost, by writing the entry again.

        Returns
        -------
        int or None
            Number of the entry, which is now written; None when no append is unresolved.

        Raises
        ------
        Fenced, AppendConflict
            The entry was not written and never will be.
        AppendUnresolved
            The slot was overwritten meanwhile; `load` or `take_over`, and look for the entry's
            effect in the state.
        StoreAnswerLost
            Still unknown; resolve again later.
        """
        pending = self._pending
        return None if pending is None else self._settle(pending).number

    def refresh(self) -> JournalState:
        """Read the entries after `position`.

        Returns
        -------
        JournalState
            Only the new entries; everything, with `complete` true, when the ring went past this
            view or the view is not loaded.
        """
        if not self._loaded and self._pending is None:
            return self.load()
        self._check_usable()
        entries: list[Entry] = []
        while True:
            try:
                found = self.store.get(self._slot_key(self.position + 1))
            except StoreUnavailable:
                if not entries:
                    raise
                return self._state(entries)  # this view has moved past them already
            entry = None if found is None else Entry.decode(found.value)
            if found is None or entry is None or entry.number <= self.position:
                return self._state(entries)
            if entry.number != self.position + 1:
                return self.load()
            entries.append(entry)
            self._advance(entry, found.version)

    def wait(self, timeout_seconds: float) -> JournalState:
        """Wait with one call for an entry after `position`, then `refresh`."""
        number = self.position + 1
        known_version = self._slot_versions[number % SLOTS]
        self.store.watch(self._slot_key(number), known_version, timeout_seconds)
        return self.refresh()

    def compact(self, state: Any) -> None:
        """Write `state`, the fold of all entries up to `position`, as the snapshot.

        A snapshot that already covers `position` is kept. A late snapshot of a former owner can
        replace only an older one and describes entries that are committed, so it does no harm.

        Raises
        ------
        SnapshotTooLarge
            The snapshot would exceed `MAX_SNAPSHOT_BYTES`; nothing was written.
        Fenced
            This view was fenced before.
        StoreUnavailable, StoreAnswerLost
            Compact again later.
        """
        self._check_usable()
        data = Snapshot(self.position, self.epoch, state).encode()
        if len(data) > MAX_SNAPSHOT_BYTES:
            raise SnapshotTooLarge(
                f"the snapshot of {self.name!r} has {len(data)} bytes, more than"
                f" {MAX_SNAPSHOT_BYTES}",
                "spread the state over more journals",
            )
        while self.snapshot_position < self.position:
            try:
                self._snapshot_version = self.store.put_if(
                    self._snapshot_key, data, self._snapshot_version
                )
                self.snapshot_position = self.position
            except VersionMismatch:
                self._read_snapshot()

    @property
    def compaction_due(self) -> bool:
        """Whether `compact` should be called now; appends fail some entries later."""
        return self.position - self.snapshot_position >= COMPACT_AFTER

    @property
    def unresolved(self) -> bool:
        """Whether the outcome of an append is unknown; see `resolve`."""
        return self._pending is not None

    def _reset(self) -> None:
        self.position = 0
        self.epoch = 0
        self.owned = False
        self.snapshot_position = 0
        self._fenced = False
        self._loaded = False
        self._pending: _Pending | None = None
        self._slot_versions = [0] * SLOTS
        self._snapshot_version = 0

    def _check_usable(self) -> None:
        if self._fenced:
            raise self._fenced_error()
        if self._pending is not None:
            raise StoreAnswerLost(
                f"the outcome of entry {self._pending.entry.number} of {self.name!r} is unknown",
                "resolve() it first",
            )
        if not self._loaded:
            raise Conflict(f"journal {self.name!r} is not loaded", "load() or take_over() it first")

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
        return self._settle(_Pending(entry, data, self._slot_versions[number % SLOTS]))

    def _check_slot_free(self, number: int, usable_slots: int) -> None:
        if number - self.snapshot_position <= usable_slots:
            return
        self._read_snapshot()  # another writer may have compacted
        if number - self.snapshot_position > usable_slots:
            raise CompactionNeeded(
                f"journal {self.name!r} has {self.position - self.snapshot_position} entries"
                " after its snapshot",
                "compact() it, then try again",
            )

    def _settle(self, pending: _Pending) -> Entry:
        """Write a pending entry until its outcome is known, or keep it pending."""
        for _ in range(RESOLVE_ATTEMPTS):
            try:
                version = self._put(pending)
            except StoreAnswerLost:
                pending.sent = True
                self._pending = pending
                continue
            except VersionMismatch:
                version = self._own_version(pending)
            self._pending = None
            self._advance(pending.entry, version)
            return pending.entry
        raise _answer_lost(pending.entry, self.name)

    def _put(self, pending: _Pending) -> int:
        key = self._slot_key(pending.entry.number)
        try:
            return self.store.put_if(key, pending.data, pending.expected_version)
        except StoreUnavailable as error:
            if pending.sent:
                raise _answer_lost(pending.entry, self.name) from error
            raise

    def _own_version(self, pending: _Pending) -> int:
        """Return the slot's version if it holds the pending entry, else raise why it does not."""
        # Without an earlier attempt whose answer was lost, the mismatch itself is the answer.
        found = self._read_again(pending) if pending.sent else None
        present = None if found is None else Entry.decode(found.value)
        if found is not None and present is not None and present.nonce == pending.entry.nonce:
            return found.version
        self._pending = None
        if pending.sent and (present is None or present.number != pending.entry.number):
            raise self._unresolvable(pending)
        if self.owned:
            self._fenced = True
            raise self._fenced_error()
        raise AppendConflict(
            f"another writer wrote entry {pending.entry.number} of {self.name!r}",
            "refresh() and append again if the events still apply",
        )

    def _read_again(self, pending: _Pending) -> Versioned | None:
        try:
            return self.store.get(self._slot_key(pending.entry.number))
        except StoreUnavailable as error:
            raise _answer_lost(pending.entry, self.name) from error

    def _unresolvable(self, pending: _Pending) -> AppendUnresolved:
        self._loaded = False
        return AppendUnresolved(
            f"the slot of entry {pending.entry.number} of {self.name!r} was overwritten",
            "load the journal and look for the effect of the entry",
        )

    def _fenced_error(self) -> Fenced:
        return Fenced(
            f"journal {self.name!r} was taken over from {self.writer_id!r}",
            "stop acting as its owner; take_over() needs a new claim",
        )

    def _advance(self, entry: Entry, version: int) -> None:
        self.position = entry.number
        self.epoch = max(self.epoch, entry.epoch)
        self._slot_versions[entry.number % SLOTS] = version

    def _read_all(self) -> JournalState | None:
        """Read snapshot and slots; None when they changed between the two reads."""
        self._reset()
        # The snapshot is read first: entries after it that are missing from the slots then show
        # that a later snapshot covers them.
        snapshot = self._read_snapshot()
        slots = [(found, Entry.decode(found.value)) for found in self._list_slots()]
        entries: list[Entry] = []
        for found, entry in sorted(slots, key=lambda slot: slot[1].number):
            if entry.number <= self.position:
                self._slot_versions[entry.number % SLOTS] = found.version
                continue
            if entry.number != self.position + 1:
                return None
            entries.append(entry)
            self._advance(entry, found.version)
        self._loaded = True
        value = None if snapshot is None else snapshot.state
        return self._state(entries).replace(snapshot=value, complete=True)

    def _read_snapshot(self) -> Snapshot | None:
        found = self.store.get(self._snapshot_key)
        if found is None:
            return None
        snapshot = Snapshot.decode(found.value)
        self._snapshot_version = found.version
        self.snapshot_position = snapshot.position
        if not self._loaded:
            self.position = snapshot.position
            self.epoch = snapshot.epoch
        return snapshot

    def _list_slots(self) -> list[Versioned]:
        return self.store.list(f"{self.name}/log/")

    def _state(self, entries: list[Entry]) -> JournalState:
        return JournalState(None, entries, self.position, self.epoch, False)

    def _slot_key(self, number: int) -> str:
        return f"{self.name}/log/{number % SLOTS}"

    @property
    def _snapshot_key(self) -> str:
        return f"{self.name}/snapshot"


def _answer_lost(entry: Entry, name: str) -> StoreAnswerLost:
    return StoreAnswerLost(
        f"the answer to entry {entry.number} of {name!r} was lost", "resolve() it later"
    )
