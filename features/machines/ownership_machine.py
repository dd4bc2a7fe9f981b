"""Leases and ownership with drifting clocks, late effects and lost answers."""

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

ENTRIES = 2
ENTRY = st.integers(0, ENTRIES - 1)
FATE = st.sampled_from([None, None, None, *FaultKind])  # of the store calls of one kind in a rule
TTL_SECONDS = 4.0
EXPECTED = (LeaseLost, StoreAnswerLost, StoreUnavailable)


class Holder:
    """An entry with a clock of its own rate."""

    def __init__(self, store, number):
        self.rate = 1.0
        self.session = LeaseSession(store, TTL_SECONDS)
        self.ownership = Ownership(store, 1, f"entry-{number}")


class OwnershipMachine(RuleBasedStateMachine):
    """At most one entry believes that it owns the shard, and the store agrees with it."""

    def __init__(self):
        super().__init__()
        self.time = 0.0
        self.latency = 0.0
        self.store = MemoryStore(self.read_clock, FaultPlan())
        self.holders = [Holder(self.store, number) for number in range(ENTRIES)]

    def read_clock(self):
        """Return the store's time; a planned latency passes before the call takes effect."""
        self.time += self.latency
        self.latency = 0.0
        return self.time

    def now(self, holder):
        """Return the holder's time."""
        return self.time * holder.rate

    @initialize(rates=st.tuples(*[st.sampled_from([1 / CLOCK_DRIFT, 1.0, CLOCK_DRIFT])] * ENTRIES))
    def set_clock_rates(self, rates):
        """Give each holder a clock at the edge of or inside the permitted drift."""
        for holder, rate in zip(self.holders, rates, strict=True):
            holder.rate = rate
        for number in range(ENTRIES):
            self.start_and_claim(number, None)

    def attempt(self, act, kind, fate):
        """Call the store, with a planned fate, and ignore refusals."""
        if fate is not None:
            self.store.faults.add(fate, frozenset({kind}))
        with contextlib.suppress(EXPECTED):
            act()
        self.store.faults.clear()

    @rule(seconds=st.sampled_from([0.05, 0.5, 1.4, 1.4, 3.85, 4.1, 9.0]))
    def let_time_pass(self, seconds):
        """Advance all clocks, for example past a lease."""
        self.time += seconds

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 5.0]))
    def slow_next_call(self, seconds):
        """Let time pass between the sending of the next call and its effect."""
        self.latency = seconds

    @rule(number=ENTRY, fate=FATE)
    def start_and_claim(self, number, fate):
        """Start a new lease and claim the shard."""
        holder = self.holders[number]
        self.attempt(lambda: holder.session.start(self.now(holder)), CallKind.GRANT, fate)
        self.claim(number, None)

    @rule(number=ENTRY, fate=FATE)
    def renew(self, number, fate):
        """Renew the lease if it is due."""
        holder = self.holders[number]
        self.attempt(lambda: holder.session.renew(self.now(holder)), CallKind.RENEW, fate)

    @rule(number=ENTRY, fate=FATE)
    def claim(self, number, fate):
        """Claim the shard under the current lease."""
        holder = self.holders[number]
        self.attempt(lambda: holder.ownership.claim(holder.session), CallKind.PUT, fate)

    @rule(number=ENTRY, fate=FATE, again=st.booleans())
    def release(self, number, fate, again):
        """Give the shard up, and perhaps claim it again; the deletion may land late."""
        self.attempt(self.holders[number].ownership.release, CallKind.DELETE, fate)
        if again:
            self.claim(number, None)

    @rule(number=ENTRY, fate=FATE)
    def end(self, number, fate):
        """End the lease; the revocation may land late."""
        self.attempt(self.holders[number].session.end, CallKind.REVOKE, fate)

    @rule(index=st.integers(0, 9))
    def land_delayed_call(self, index):
        """Apply a call that was under way."""
        if self.store.faults.delayed:
            self.store.faults.deliver(index % len(self.store.faults.delayed))

    @invariant()
    def one_owner(self):
        """Compare what the holders believe with the store."""
        owners = [holder for holder in self.holders if holder.ownership.held(self.now(holder))]
        assert len(owners) <= 1, "two entries believe that they own the shard"
        for holder in owners:
            found = self.truth()
            assert found is not None, "the owner's key is gone and another entry can claim it"
            assert found.version == holder.ownership.version, "the store names another owner"

    def truth(self):
        """Return the owner key without faults or latency."""
        latency, self.latency = self.latency, 0.0
        found = self.store._find(self.holders[0].ownership.key)
        self.latency = latency
        return found


MACHINES = {"ownership": OwnershipMachine}
