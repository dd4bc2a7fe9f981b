"""Settings tree of a firm, stored in a journal with many writers."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

from acaciastand.coordination.entries import Entry, JournalState
from acaciastand.coordination.journal import Journal
from acaciastand.coordination.journal_errors import AppendConflict, CompactionNeeded
from acaciastand.coordination.journal_storage import SLOTS
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.settings.edits import EditBatch, HistoryItem
from acaciastand.settings.errors import (
    SettingsContended,
    SettingsSnapshotInvalid,
    SettingsStoreBehind,
)
from acaciastand.settings.state import SettingsState

JOURNAL_NAME = "settings"
EDIT_ATTEMPTS = 16  # appends of one edit that other writers may win


class SettingsRepository:
    """One process's view of the settings tree.

    The caller runs one method at a time, except `wait_for_news`.

    Parameters
    ----------
    journal
        View of the journal `JOURNAL_NAME`; nobody else uses this object.
    firm
        Root of the tree.

    Attributes
    ----------
    current
        State with the highest revision seen, from the store or a peer.
    """

    __slots__ = ("journal", "firm", "current", "_committed", "_loaded")

    def __init__(self, journal: Journal, firm: str) -> None:
        self.journal = journal
        self.firm = firm
        self.current = SettingsState()
        self._committed = SettingsState()
        self._loaded = False

    @property
    def revision(self) -> int:
        """Highest revision seen; it only rises."""
        return self.current.revision

    def refresh(self) -> bool:
        """Read what was committed since the last read.

        Returns
        -------
        bool
            Whether the revision rose.

        Raises
        ------
        StoreUnavailable
            The store does not answer; `current` stays as it is.
        """
        before = self.revision
        # After a lost answer the journal is loaded, which forgets the unresolved append: its author
        # was told that the outcome is unknown, and an entry that did land is read here.
        if self._loaded:
            self._read(self.journal.refresh())
        else:
            self._read(self.journal.load())
            self._loaded = True
        return self.revision > before

    def edit(self, batch: EditBatch) -> int:
        """Commit a batch of edits and return the revision that it made.

        Raises
        ------
        InvalidInput
            The batch can never be accepted.
        SettingsConflict
            A key changed after the revision the batch is based on.
        SettingsContended
            Other writers won `EDIT_ATTEMPTS` times in a row.
        SettingsStoreBehind
            The store lost revisions that were accepted.
        StoreUnavailable
            Nothing was written.
        StoreAnswerLost
            The batch may have been committed; a later read shows it.
        """
        checked = batch.checked(self.firm)
        for _ in range(EDIT_ATTEMPTS):
            self.refresh()
            self._check_store_is_current()
            self._committed.check(checked)
            if self._append(checked):
                self._compact_if_due()
                return self._committed.revision
        raise SettingsContended(
            f"other writers changed the tree during {EDIT_ATTEMPTS} attempts",
            "repeat the edit; it was not applied",
        )

    def history(self) -> list[HistoryItem]:
        """Return the remembered edits, the oldest first."""
        return list(self.current.history)

    def snapshot(self) -> dict[str, Any]:
        """Return the current state for a peer."""
        return {"firm": self.firm, **self.current.to_item()}

    def adopt(self, snapshot: dict[str, Any]) -> bool:
        """Take a peer's state if its revision is higher.

        Raises
        ------
        SettingsSnapshotInvalid
            The snapshot is damaged or of another firm.
        """
        firm = snapshot.get("firm") if isinstance(snapshot, dict) else None
        if firm != self.firm:
            raise SettingsSnapshotInvalid(
                f"the settings snapshot is of firm {firm!r}, not {self.firm!r}",
                "check the entries in the settings file",
            )
        return self._use(SettingsState.from_item(snapshot))

    def wait_for_news(self, timeout_seconds: float) -> None:
        """Wait for the next entry with one watch; it leaves the state as it is.

        Raises
        ------
        StoreUnavailable
            The store does not answer.
        """
        position = self.journal.position
        key = f"{self.journal.name}/log/{(position + 1) % SLOTS}"
        found = self.journal.store.get(key)
        if found is not None and Entry.decode(found.value).number > position:
            return
        version = 0 if found is None else found.version
        self.journal.store.watch(key, version, timeout_seconds)

    def _read(self, read: JournalState) -> None:
        if read.complete:
            # A tree that is built aside never shows readers a lower revision.
            restored = read.snapshot is not None
            state = SettingsState.from_item(read.snapshot) if restored else SettingsState()
            self._committed = state
        for entry in read.entries:
            self._fold(entry.events)
        self._use(self._committed)

    def _fold(self, events: list[Any]) -> None:
        for item in events:
            self._committed.apply(EditBatch.from_item(item))

    def _use(self, state: SettingsState) -> bool:
        rises = state.revision > self.current.revision
        if rises or state.revision == self.current.revision:
            self.current = state
        return rises

    def _check_store_is_current(self) -> None:
        if self._committed.revision < self.current.revision:
            raise SettingsStoreBehind(
                f"the store holds revision {self._committed.revision}, but revision"
                f" {self.current.revision} was accepted",
                "restore the journal of the settings in the store, then repeat the edit",
            )

    def _append(self, batch: EditBatch) -> bool:
        item = batch.to_item()
        try:
            self.journal.append([item])
        except AppendConflict:
            return False
        except CompactionNeeded:
            # The edit was not written; whether the snapshot was, shows when it is tried again.
            with suppress(StoreAnswerLost):
                self.journal.compact(self._committed.to_item())
            return False
        except StoreAnswerLost:
            self._loaded = False
            raise
        self._fold([item])
        self._use(self._committed)
        return True

    def _compact_if_due(self) -> None:
        if not self.journal.compaction_due:
            return
        try:
            self.journal.compact(self._committed.to_item())
        except (StoreUnavailable, StoreAnswerLost):
            return  # the edit is committed; a later edit compacts
