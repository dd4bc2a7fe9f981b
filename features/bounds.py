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

# Upper limit for the encoded number, epoch, writer and nonce of an entry.
ENTRY_OVERHEAD_BYTES = 64
APPEND_SLOTS = SLOTS - RESERVED_SLOTS  # Slots that appends may fill.


def create_store():
    return MemoryStore(lambda: 0.0)


def create_journal(store, writer="writer"):
    nonces = iter(range(1 << 30))
    return Journal(store, "journal", writer, lambda: f"{writer}{next(nonces)}".encode())


def check_entry_bytes():
    journal = create_journal(create_store())
    journal.load()
    fails_with(EntryTooLarge, journal.append, [bytes(MAX_ENTRY_BYTES)])
    assert journal.append([bytes(MAX_ENTRY_BYTES - ENTRY_OVERHEAD_BYTES)]) == 1


def check_snapshot_bytes():
    journal = create_journal(create_store())
    journal.load()
    journal.append(["event"])
    fails_with(SnapshotTooLarge, journal.compact, bytes(MAX_SNAPSHOT_BYTES))
    journal.compact(bytes(MAX_SNAPSHOT_BYTES - ENTRY_OVERHEAD_BYTES))
    assert journal.snapshot_position == 1


def check_ring_slots():
    store = create_store()
    journal = create_journal(store)
    journal.load()
    for number in range(APPEND_SLOTS):
        journal.append([number])
    fails_with(CompactionNeeded, journal.append, ["refused"])
    assert len(create_journal(store, "reader").load().entries) == APPEND_SLOTS
    journal.compact("state")
    assert journal.append(["accepted"]) == APPEND_SLOTS + 1


def check_takeover_slots():
    store = create_store()
    journal = create_journal(store)
    journal.load()
    for number in range(APPEND_SLOTS):
        journal.append([number])
    for number in range(RESERVED_SLOTS):
        state = create_journal(store, f"owner{number}").take_over()
    assert state.epoch == RESERVED_SLOTS
    next_owner = create_journal(store, "late")
    fails_with(CompactionNeeded, next_owner.take_over)
    next_owner.load()
    next_owner.compact("state")
    assert next_owner.take_over().snapshot == "state"


def check_keys():
    store = create_store()
    for number in range(MAX_KEYS):
        store.put_if(f"key/{number}", b"", 0)
    fails_with(StoreFull, store.put_if, "one more", b"", 0)
    assert store.put_if("key/0", b"new", store.get("key/0").version)


def check_key_bytes():
    store = create_store()
    fails_with(ValueTooLarge, store.put_if, "k" * (MAX_KEY_BYTES + 1), b"", 0)
    assert store.put_if("k" * MAX_KEY_BYTES, b"", 0)


def check_leases():
    store = MemoryStore(lambda: 0.0)
    # All MAX_LEASES ids share one lease. It was granted for zero seconds, so the next call would
    # treat it as expired and not count it; setting its expiry by hand keeps it in the store.
    store.grant_lease(0.0)
    store._leases.update(dict.fromkeys(range(2, MAX_LEASES + 1), store._leases[1]))
    store._leases[1].expires_at = 1.0
    store._last_lease_id = MAX_LEASES
    fails_with(StoreFull, store.grant_lease, 1.0)
    store.revoke_lease(MAX_LEASES)
    assert store.grant_lease(1.0) == MAX_LEASES + 1


def check_planned_faults():
    plan = FaultPlan()
    for _ in range(MAX_PLANNED_FAULTS):
        plan.add(FaultKind.UNAVAILABLE)
    fails_with(FaultPlanFull, plan.add, FaultKind.UNAVAILABLE)


def check_delayed_writes():
    store = create_store()
    store.faults.add(FaultKind.DELAY, calls=MAX_DELAYED_WRITES + 1)
    for number in range(MAX_DELAYED_WRITES):
        fails_with(StoreAnswerLost, store.put_if, f"key/{number}", b"", 0)
    fails_with(FaultPlanFull, store.put_if, "one more", b"", 0)
    store.faults.clear()
    store.faults.deliver()
    assert [item.key for item in store.list("key/")] == ["key/0"]


BOUNDS = {
    "entry bytes": check_entry_bytes,
    "snapshot bytes": check_snapshot_bytes,
    "ring slots": check_ring_slots,
    "takeover slots": check_takeover_slots,
    "keys": check_keys,
    "key bytes": check_key_bytes,
    "leases": check_leases,
    "planned faults": check_planned_faults,
    "delayed writes": check_delayed_writes,
}
