"""Write of one entry of a journal, repeated until its outcome is known."""

from __future__ import annotations

from acaciastand.coordination.entries import Entry
from acaciastand.coordination.journal_errors import (
    AppendConflict,
    AppendUnresolved,
    answer_lost_error,
)
from acaciastand.coordination.journal_storage import JournalStorage, StoredEntry
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable, VersionMismatch

MAX_WRITE_ATTEMPTS = 3  # Writes of one entry until a lost response is reported to the caller.


class EntryWrite:
    """Writes one entry by compare-and-swap, and finds out whether it was written.

    Parameters
    ----------
    storage
        Keys of the journal.
    entry
        The entry, whose nonce no other entry has.
    data
        Its encoding.
    expected_version
        Version of its slot before the write.

    Attributes
    ----------
    is_unresolved
        Whether the response to an attempt was lost and the outcome is not known yet.
    """

    __slots__ = ("storage", "entry", "data", "expected_version", "is_unresolved")

    def __init__(
        self, storage: JournalStorage, entry: Entry, data: bytes, expected_version: int
    ) -> None:
        self.storage = storage
        self.entry = entry
        self.data = data
        self.expected_version = expected_version
        self.is_unresolved = False

    def run(self) -> int:
        """Write the entry, up to `MAX_WRITE_ATTEMPTS` times, until the outcome is known.

        Returns
        -------
        int
            Version of the slot that holds the entry.

        Raises
        ------
        AppendConflict
            Another writer has written an entry of this number; this one never will be written.
        AppendUnresolved
            The slot was overwritten before the outcome was known.
        StoreUnavailable
            The store is unavailable; nothing was written.
        StoreAnswerLost
            The outcome is unknown; `run` again later.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                version = self._put()
            except StoreAnswerLost:
                self.is_unresolved = True
                continue
            except VersionMismatch:
                version = self._applied_version()
            self.is_unresolved = False
            return version
        raise self._answer_lost_error()

    def _put(self) -> int:
        try:
            return self.storage.write_entry(self.entry.number, self.data, self.expected_version)
        except StoreUnavailable as error:
            if self.is_unresolved:
                raise self._answer_lost_error() from error
            raise

    def _applied_version(self) -> int:
        """Return the slot's version if an earlier attempt was applied.

        Raises
        ------
        AppendConflict, AppendUnresolved
            The slot does not hold the entry.
        StoreAnswerLost
            The slot cannot be read.
        """
        # Without an earlier attempt that may have been applied, the version mismatch itself shows
        # that another writer wrote the slot.
        stored = self._read_slot() if self.is_unresolved else None
        if stored is not None and stored.entry.nonce == self.entry.nonce:
            return stored.version
        may_be_overwritten = self.is_unresolved and (
            stored is None or stored.entry.number != self.entry.number
        )
        self.is_unresolved = False
        if may_be_overwritten:
            raise AppendUnresolved(
                f"the slot of entry {self.entry.number} of journal {self.storage.name!r} was"
                " overwritten before the outcome of its write was known",
                "load the journal and look for the effect of the entry in its state",
            )
        raise AppendConflict(
            f"another writer wrote entry {self.entry.number} of journal {self.storage.name!r}",
            "call refresh() and append again if the events still apply",
        )

    def _read_slot(self) -> StoredEntry | None:
        try:
            return self.storage.read_entry(self.entry.number)
        except StoreUnavailable as error:
            raise self._answer_lost_error() from error

    def _answer_lost_error(self) -> StoreAnswerLost:
        return answer_lost_error(self.entry, self.storage.name)
