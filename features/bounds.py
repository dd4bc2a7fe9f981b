"""Bounds of the coordination library, each checked at the bound and just beyond it."""

from store_contract import fails_with

from acaciastand.coordination import (
    MAX_ENTRY_BYTES,
    MAX_SNAPSHOT_BYTES,
    SLOTS,
    CompactionNeeded,
    EntryTooLarge,
    FaultKind,
    FaultPlan,
    FaultPlanFull,
    Journal,
    MemoryStore,
    SnapshotTooLarge,
    StoreAnswerLost,
    StoreFull,
    ValueTooLarge,
)
from acaciastand.coordination.faults import MAX_DELAYED_WRITES, MAX_PLANNED_FAULTS
from acaciastand.coordination.journal import RESERVED_SLOTS
from acaciastand.coordination.memory import MAX_KEY_BYTES, MAX_KEYS, MAX_LEASES

ENTRY_OVERHEAD_BYTES = 64  # more than number, epoch, writer and nonce take
ORDINARY_SLOTS = SLOTS - RESERVED_SLOTS


def open_store():
    return MemoryStore(lambda: 0.0)


def open_journal(store, writer="writer"):
    nonces = iter(range(1 << 30))
    return Journal(store, "journal", writer, lambda: f"{writer}{next(nonces)}".encode())


def entry_bytes():
    journal = open_journal(open_store())
    journal.load()
    fails_with(EntryTooLarge, journal.append, [bytes(MAX_ENTRY_BYTES)])
    assert journal.append([bytes(MAX_ENTRY_BYTES - ENTRY_OVERHEAD_BYTES)]) == 1


def snapshot_bytes():
    journal = open_journal(open_store())
    journal.load()
    journal.append(["event"])
    fails_with(SnapshotTooLarge, journal.compact, bytes(MAX_SNAPSHOT_BYTES))
    journal.compact(bytes(MAX_SNAPSHOT_BYTES - ENTRY_OVERHEAD_BYTES))
    assert journal.snapshot_position == 1


def ring_slots():
    store = open_store()
    journal = open_journal(store)
    journal.load()
    for number in range(ORDINARY_SLOTS):
        journal.append([number])
    fails_with(CompactionNeeded, journal.append, ["refused"])
    assert len(open_journal(store, "reader").load().entries) == ORDINARY_SLOTS
    journal.compact("state")
    assert journal.append(["accepted"]) == ORDINARY_SLOTS + 1


def takeover_slots():
    store = open_store()
    journal = open_journal(store)
    journal.load()
    for number in range(ORDINARY_SLOTS):
        journal.append([number])
    for number in range(RESERVED_SLOTS):
        state = open_journal(store, f"owner{number}").take_over()
    assert state.epoch == RESERVED_SLOTS
    late = open_journal(store, "late")
    fails_with(CompactionNeeded, late.take_over)
    late.load()
    late.compact("state")
    assert late.take_over().snapshot == "state"


def keys():
    store = open_store()
    for number in range(MAX_KEYS):
        store.put_if(f"key/{number}", b"", 0)
    fails_with(StoreFull, store.put_if, "one more", b"", 0)
    assert store.put_if("key/0", b"new", store.get("key/0").version)


def key_bytes():
    store = open_store()
    fails_with(ValueTooLarge, store.put_if, "k" * (MAX_KEY_BYTES + 1), b"", 0)
    assert store.put_if("k" * MAX_KEY_BYTES, b"", 0)


def leases():
    store = MemoryStore(lambda: 0.0)
    # A lease of zero seconds lapses before the next one is granted and takes no room.
    store.grant_lease(0.0)
    store._leases.update(dict.fromkeys(range(2, MAX_LEASES + 1), store._leases[1]))
    store._leases[1].expires = 1.0
    store._last_lease_id = MAX_LEASES
    fails_with(StoreFull, store.grant_lease, 1.0)
    store.revoke_lease(MAX_LEASES)
    assert store.grant_lease(1.0) == MAX_LEASES + 1


def planned_faults():
    plan = FaultPlan()
    for _ in range(MAX_PLANNED_FAULTS):
        plan.add(FaultKind.UNAVAILABLE)
    fails_with(FaultPlanFull, plan.add, FaultKind.UNAVAILABLE)


def delayed_writes():
    store = open_store()
    store.faults.add(FaultKind.DELAY, calls=MAX_DELAYED_WRITES + 1)
    for number in range(MAX_DELAYED_WRITES):
        fails_with(StoreAnswerLost, store.put_if, f"key/{number}", b"", 0)
    fails_with(FaultPlanFull, store.put_if, "one more", b"", 0)
    store.faults.clear()
    store.faults.deliver()
    assert [item.key for item in store.list("key/")] == ["key/0"]


BOUNDS = {
    "entry bytes": entry_bytes,
    "snapshot bytes": snapshot_bytes,
    "ring slots": ring_slots,
    "takeover slots": takeover_slots,
    "keys": keys,
    "key bytes": key_bytes,
    "leases": leases,
    "planned faults": planned_faults,
    "delayed writes": delayed_writes,
}
