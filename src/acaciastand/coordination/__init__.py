"""Embeddable library for coordination: key-value store interface, journal, leases, ownership."""

from acaciastand.coordination.entries import (
    MAX_ENTRY_BYTES,
    MAX_SNAPSHOT_BYTES,
    Entry,
    EntryTooLarge,
    JournalState,
    Snapshot,
    SnapshotTooLarge,
)
from acaciastand.coordination.faults import (
    ALL_KINDS,
    READ_KINDS,
    CallKind,
    FaultKind,
    FaultPlan,
    FaultPlanFull,
)
from acaciastand.coordination.journal import COMPACT_AFTER, Journal
from acaciastand.coordination.journal_errors import (
    AppendConflict,
    AppendUnresolved,
    CompactionNeeded,
    Fenced,
)
from acaciastand.coordination.journal_storage import SLOTS
from acaciastand.coordination.lease import CLOCK_DRIFT, LeaseSession
from acaciastand.coordination.memory import MemoryStore, StoreFull, ValueTooLarge
from acaciastand.coordination.ownership import (
    Owner,
    Ownership,
    preferred_owner,
    rendezvous_order,
)
from acaciastand.coordination.store import (
    MAX_VALUE_BYTES,
    KeyValueStore,
    LeaseLost,
    StoreAnswerLost,
    StoreUnavailable,
    Versioned,
    VersionMismatch,
)

__all__ = [
    # Store
    "KeyValueStore",
    "Versioned",
    "MemoryStore",
    "MAX_VALUE_BYTES",
    # Fault injection for the memory store
    "ALL_KINDS",
    "READ_KINDS",
    "CallKind",
    "FaultKind",
    "FaultPlan",
    # Journal
    "COMPACT_AFTER",
    "MAX_ENTRY_BYTES",
    "MAX_SNAPSHOT_BYTES",
    "SLOTS",
    "Entry",
    "Journal",
    "JournalState",
    "Snapshot",
    # Leases and ownership
    "CLOCK_DRIFT",
    "LeaseSession",
    "Owner",
    "Ownership",
    "preferred_owner",
    "rendezvous_order",
    # Errors
    "AppendConflict",
    "AppendUnresolved",
    "CompactionNeeded",
    "EntryTooLarge",
    "FaultPlanFull",
    "Fenced",
    "LeaseLost",
    "SnapshotTooLarge",
    "StoreAnswerLost",
    "StoreFull",
    "StoreUnavailable",
    "ValueTooLarge",
    "VersionMismatch",
]
