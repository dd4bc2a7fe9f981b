"""Errors of journals."""

from __future__ import annotations

from acaciastand.coordination.entries import Entry
from acaciastand.coordination.store import StoreAnswerLost
from acaciastand.errors import Conflict, Refused


class Fenced(Conflict):
    """Another owner has taken over the journal; this one can no longer write to it."""

    code = "fenced"


class AppendConflict(Conflict):
    """Another writer appended first; nothing was written."""

    code = "append_conflict"


class CompactionNeeded(Refused):
    """The journal has no free slot until it is compacted; nothing was written."""

    code = "compaction_needed"


class AppendUnresolved(StoreAnswerLost):
    """Whether an entry was written can no longer be determined."""

    code = "append_unresolved"


def answer_lost_error(entry: Entry, name: str) -> StoreAnswerLost:
    """Return the error for a write of an entry whose answer was lost."""
    return StoreAnswerLost(
        f"the store's response to the write of entry {entry.number} of journal {name!r} was lost",
        "call resolve() later",
    )
