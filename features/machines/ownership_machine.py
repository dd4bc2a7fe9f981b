"""Leases and ownership with drifting clocks, delayed calls and lost responses."""

import contextlib

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from acaciastand.coordination import (
    CLOCK_DRIFT,
    CallKind,
    FaultKind,
    FaultPlan,
    LeaseLost,
    LeaseSession,
    MemoryStore,
    Ownership,
    StoreAnswerLost,
    StoreUnavailable,
)

ENTRY_COUNT = 2
ENTRY_NUMBER = st.integers(0, ENTRY_COUNT - 1)
FAULT = st.sampled_from([None, None, None, *FaultKind])  # Fault of one call of a rule, or none.
TTL_SECONDS = 4.0
EXPECTED_ERRORS = (LeaseLost, StoreAnswerLost, StoreUnavailable)


class EntryModel:
    """An entry that can own the shard; its clock runs at `clock_rate` times the true rate."""

    def __init__(self, store, number):
        self.clock_rate = 1.0
        self.session = LeaseSession(store, TTL_SECONDS)
        self.ownership = Ownership(store, 1, f"entry-{number}")


class OwnershipMachine(RuleBasedStateMachine):
    """At most one entry believes that it owns the shard, and the store names that entry."""

    def __init__(self):
        super().__init__()
        self.time = 0.0
        self.latency = 0.0
        self.store = MemoryStore(self.read_clock, FaultPlan())
        self.entries = [EntryModel(self.store, number) for number in range(ENTRY_COUNT)]

    def read_clock(self):
        """Return the store's time; a planned latency passes before the call takes effect."""
        self.time += self.latency
        self.latency = 0.0
        return self.time

    def now(self, entry):
        """Return the time of an entry's clock."""
        return self.time * entry.clock_rate

    @initialize(
        rates=st.tuples(*[st.sampled_from([1 / CLOCK_DRIFT, 1.0, CLOCK_DRIFT])] * ENTRY_COUNT)
    )
    def set_clock_rates(self, rates):
        """Give each entry a clock that drifts not at all or as much as is permitted."""
        for entry, rate in zip(self.entries, rates, strict=True):
            entry.clock_rate = rate
        for number in range(ENTRY_COUNT):
            self.start_and_claim(number, None)

    def call_store(self, call, kind, fault):
        """Make a call with a planned fault or none, and ignore the expected errors."""
        if fault is not None:
            self.store.faults.add(fault, frozenset({kind}))
        with contextlib.suppress(EXPECTED_ERRORS):
            call()
        self.store.faults.clear()

    @rule(seconds=st.sampled_from([0.05, 0.5, 1.4, 1.4, 3.85, 4.1, 9.0]))
    def let_time_pass(self, seconds):
        """Advance all clocks, for example beyond the expiry of a lease."""
        self.time += seconds

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 5.0]))
    def slow_next_call(self, seconds):
        """Let time pass between the sending of the next call and its effect."""
        self.latency = seconds

    @rule(number=ENTRY_NUMBER, fault=FAULT)
    def start_and_claim(self, number, fault):
        """Start a new lease and claim the shard."""
        entry = self.entries[number]
        self.call_store(lambda: entry.session.start(self.now(entry)), CallKind.GRANT, fault)
        self.claim(number, None)

    @rule(number=ENTRY_NUMBER, fault=FAULT)
    def renew(self, number, fault):
        """Renew the lease if it is due."""
        entry = self.entries[number]
        self.call_store(lambda: entry.session.renew(self.now(entry)), CallKind.RENEW, fault)

    @rule(number=ENTRY_NUMBER, fault=FAULT)
    def claim(self, number, fault):
        """Claim the shard under the current lease."""
        entry = self.entries[number]
        self.call_store(lambda: entry.ownership.claim(entry.session), CallKind.PUT, fault)

    @rule(number=ENTRY_NUMBER, fault=FAULT, again=st.booleans())
    def release(self, number, fault, again):
        """Release the shard, and perhaps claim it again; the deletion may take effect late."""
        self.call_store(self.entries[number].ownership.release, CallKind.DELETE, fault)
        if again:
            self.claim(number, None)

    @rule(number=ENTRY_NUMBER, fault=FAULT)
    def end(self, number, fault):
        """End the lease; the revocation may take effect late."""
        self.call_store(self.entries[number].session.end, CallKind.REVOKE, fault)

    @rule(index=st.integers(0, 9))
    def deliver_delayed_call(self, index):
        """Apply a delayed call."""
        if self.store.faults.delayed:
            self.store.faults.deliver(index % len(self.store.faults.delayed))

    @invariant()
    def one_owner(self):
        """Check that at most one entry believes to be the owner, and that the store agrees."""
        owners = [entry for entry in self.entries if entry.ownership.held(self.now(entry))]
        assert len(owners) <= 1, "two entries believe that they own the shard"
        for entry in owners:
            stored = self.stored_owner_key()
            assert stored is not None, "the owner's key is gone and another entry can claim it"
            assert stored.version == entry.ownership.version, "the store names another owner"

    def stored_owner_key(self):
        """Return the owner key and its version, read without faults or latency."""
        latency, self.latency = self.latency, 0.0
        stored = self.store._get(self.entries[0].ownership.key)
        self.latency = latency
        return stored


MACHINES = {"ownership": OwnershipMachine}
