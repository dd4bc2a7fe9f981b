"""Journals under faults, compared with a list of the entries that took effect."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from acaciastand.coordination import (
    AppendUnresolved,
    CallKind,
    CompactionNeeded,
    Entry,
    FaultKind,
    FaultPlan,
    Journal,
    MemoryStore,
    Snapshot,
    StoreAnswerLost,
    StoreUnavailable,
)
from acaciastand.coordination.entry_write import MAX_WRITE_ATTEMPTS
from acaciastand.errors import Conflict

WRITER_COUNT = 3
MAX_WAITING_ACTIONS = 4  # Number of waiting actions from which no more are inserted.
JOURNAL_NAME = "journal"
WRITER_NUMBER = st.integers(0, WRITER_COUNT - 1)


def events_of(entries):
    return [event for entry in entries for event in entry.events]


class RecordingStore(MemoryStore):
    """Records every entry that took effect, and runs inserted actions before calls of a journal.

    Attributes
    ----------
    history
        Entries in the order in which they took effect.
    inserted_actions
        Actions to run before the next calls, one for each call.
    snapshot_position
        Position of the stored snapshot.
    """

    def __init__(self, faults):
        super().__init__(lambda: 0.0, faults)
        self.history = []
        self.inserted_actions = []
        self.snapshot_position = 0

    def get(self, key):
        """Read a key, after an inserted action."""
        self._run_inserted_action()
        return super().get(key)

    def put_if(self, key, value, expected_version, lease_id=None):
        """Write a key, after an inserted action."""
        self._run_inserted_action()
        return super().put_if(key, value, expected_version, lease_id)

    def list(self, prefix):
        """Read keys, after an inserted action."""
        self._run_inserted_action()
        return super().list(prefix)

    def _run_inserted_action(self):
        if self.inserted_actions:
            self.inserted_actions.pop(0)()

    def _put(self, key, value, expected_version, lease_id):
        version = super()._put(key, value, expected_version, lease_id)
        if key.endswith("/snapshot"):
            self._check_snapshot(Snapshot.decode(value))
        else:
            self._record_entry(Entry.decode(value))
        return version

    def _record_entry(self, entry):
        assert entry.number == len(self.history) + 1, "an entry was written at a taken position"
        last_epoch = self.history[-1].epoch if self.history else 0
        assert entry.epoch >= last_epoch, "a write of a fenced owner was applied after the takeover"
        self.history.append(entry)

    def _check_snapshot(self, snapshot):
        assert (
            snapshot.position >= self.snapshot_position
        ), "the snapshot went back to an earlier position"
        assert snapshot.state == events_of(
            self.history[: snapshot.position]
        ), "the snapshot has another state than the entries up to its position"
        self.snapshot_position = snapshot.position


class Writer:
    """A journal with the state that a program using it would hold.

    Attributes
    ----------
    state
        Events of the entries that the writer has read or appended.
    unresolved_events
        Events of the last append with an unknown outcome.
    is_in_call
        Whether the writer is inside a call, where an inserted action may be running.
    """

    def __init__(self, store, number, nonce):
        self.journal = Journal(store, JOURNAL_NAME, f"writer-{number}", nonce)
        self.state = []
        self.unresolved_events = None
        self.is_in_call = False

    def apply(self, journal_state):
        """Apply the result of a read to the state."""
        if journal_state.complete:
            self.state = list(journal_state.snapshot or [])
        self.state += events_of(journal_state.entries)


class JournalModel(RuleBasedStateMachine):
    """Rules for owned and shared journals; `acquire` makes a writer able to append.

    Attributes
    ----------
    acknowledged
        Number of the entry of each event whose append was reported as successful.
    refused
        Events whose append was reported as having had no effect.
    """

    def __init__(self):
        super().__init__()
        self.nonce_count = 0
        self.event_count = 0
        self.store = RecordingStore(FaultPlan())
        self.writers = [Writer(self.store, number, self.nonce) for number in range(WRITER_COUNT)]
        self.acknowledged = {}
        self.refused = set()

    def nonce(self):
        """Return a nonce that is new in this run."""
        self.nonce_count += 1
        return self.nonce_count.to_bytes(4, "big")

    def acquire(self, writer):
        """Make a writer able to append, as the kind of journal requires."""
        raise NotImplementedError

    @initialize()
    def start_all(self):
        """Let every writer load or take over the journal once."""
        for number in range(WRITER_COUNT):
            self.start(number)

    @rule(number=WRITER_NUMBER)
    def start(self, number):
        """Load or take over the journal, possibly inside a call of another writer."""
        self.run_unless_in_call(self.writers[number], self.acquire)

    @rule(
        number=WRITER_NUMBER,
        size=st.integers(0, 3),
        lost=st.sampled_from([0, 0, 0, 1, 2, MAX_WRITE_ATTEMPTS]),
        fault=st.sampled_from([FaultKind.LOSE_ANSWER, FaultKind.DELAY]),
    )
    def append(self, number, size, lost, fault):
        """Append `size` events as one entry; the responses to the first `lost` writes are lost."""
        if lost:
            self.store.faults.add(fault, frozenset({CallKind.PUT}), f"{JOURNAL_NAME}/log", lost)
        self.run_unless_in_call(
            self.writers[number], lambda writer: self.append_events(writer, size)
        )
        if lost:
            self.store.faults.clear()

    @rule(number=WRITER_NUMBER, count=st.sampled_from([20, 70]), compacting=st.booleans())
    def append_many(self, number, count, compacting=True):
        """Append many entries, possibly more than the ring buffer has slots."""
        for _ in range(count):
            self.run_unless_in_call(
                self.writers[number], lambda writer: self.append_events(writer, 1)
            )
            if compacting and self.writers[number].journal.compaction_due:
                self.compact(number)

    @rule(number=WRITER_NUMBER)
    def resolve(self, number):
        """Resolve an append whose response was lost."""
        self.run_unless_in_call(self.writers[number], self.resolve_append)

    @rule(number=WRITER_NUMBER)
    def compact(self, number):
        """Write a snapshot, whether or not a compaction is due."""

        def write_snapshot(writer):
            writer.journal.compact(list(writer.state))

        self.run_unless_in_call(self.writers[number], write_snapshot)

    @rule(
        fault=st.sampled_from(FaultKind),
        kind=st.sampled_from([CallKind.GET, CallKind.LIST, CallKind.PUT, CallKind.PUT]),
        prefix=st.sampled_from([f"{JOURNAL_NAME}/log", f"{JOURNAL_NAME}/snapshot", JOURNAL_NAME]),
        calls=st.integers(1, 2),
        skipped=st.integers(0, 3),
    )
    def plan_fault(self, fault, kind, prefix, calls, skipped):
        """Plan a fault for matching calls, beginning after `skipped` other calls."""
        self.insert_action(
            skipped, lambda: self.store.faults.add(fault, frozenset({kind}), prefix, calls)
        )

    @rule(outage=st.sampled_from([False, False, False, True]))
    def switch_outage(self, outage):
        """End all planned faults, and begin or end an outage of all calls."""
        self.store.faults.clear()
        self.store.faults.outage = outage

    @rule(index=st.integers(0, 9))
    def deliver_delayed_write(self, index):
        """Apply a delayed write, possibly one of a fenced owner."""
        if self.store.faults.delayed:
            self.store.faults.deliver(index % len(self.store.faults.delayed))

    @rule(
        number=WRITER_NUMBER,
        skipped=st.integers(0, 3),
        acquiring=st.booleans(),
        count=st.sampled_from([1, 2, 80]),
    )
    def freeze_before_call(self, number, skipped, acquiring, count):
        """Let a writer act before a coming call, as if the calling writer were frozen there."""

        def act_meanwhile():
            writer = self.writers[number]
            if acquiring:
                self.run_unless_in_call(writer, self.acquire)
            self.append_many(number, count)

        self.insert_action(skipped, act_meanwhile)

    @invariant()
    def outcomes_hold(self):
        """Compare the outcomes that were reported to the writers with what took effect."""
        history = self.store.history
        applied_events = events_of(history)
        assert len(set(applied_events)) == len(applied_events), "an event was applied twice"
        assert not self.refused.intersection(applied_events), "a refused event took effect"
        for event, number in self.acknowledged.items():
            assert event in history[number - 1].events, "an acknowledged event is lost"

    @invariant()
    def reload_gives_everything(self):
        """Load the journal in a new view without faults, and compare it with what took effect."""
        faults, self.store.faults = self.store.faults, FaultPlan()
        inserted_actions, self.store.inserted_actions = self.store.inserted_actions, []
        reader = Writer(self.store, "reader", self.nonce)
        reader.apply(reader.journal.load())
        self.store.faults, self.store.inserted_actions = faults, inserted_actions
        assert reader.state == events_of(self.store.history), "the journal lost or repeated events"

    @invariant()
    def states_match(self):
        """Compare the state of each loaded writer with the entries up to its position."""
        for writer in self.writers:
            events = events_of(self.store.history[: writer.journal.position])
            assert writer.state == events or not writer.journal._loaded, "a writer missed events"

    def insert_action(self, skipped, action):
        """Let an action run before the call after `skipped` others, unless many are waiting."""
        if len(self.store.inserted_actions) < MAX_WAITING_ACTIONS:
            self.store.inserted_actions += [lambda: None] * skipped + [action]

    def run_unless_in_call(self, writer, action):
        """Run an action of a writer, unless the writer is frozen inside a call."""
        if writer.is_in_call:
            return
        writer.is_in_call = True
        try:
            action(writer)
        except (Conflict, CompactionNeeded, StoreAnswerLost, StoreUnavailable):
            pass
        finally:
            writer.is_in_call = False

    def append_events(self, writer, size):
        """Append new events, and record the outcome that is reported to the writer."""
        events = [self.event_count + offset for offset in range(size)]
        self.event_count += size
        was_unresolved = writer.journal.unresolved
        try:
            number = writer.journal.append(events)
        except AppendUnresolved:
            raise
        except StoreAnswerLost:
            if was_unresolved:
                self.refused.update(events)
            else:
                writer.unresolved_events = events
            raise
        except (Conflict, CompactionNeeded, StoreUnavailable):
            self.refused.update(events)
            raise
        self.acknowledge(writer, events, number)

    def resolve_append(self, writer):
        """Resolve an append, and record the outcome that is reported to the writer."""
        events, number = writer.unresolved_events, None
        try:
            number = writer.journal.resolve()
        except Conflict:
            self.refused.update(events)
            raise
        if number is not None:
            self.acknowledge(writer, events, number)

    def acknowledge(self, writer, events, number):
        """Check the entry of a successful append, and apply its events to the writer's state."""
        assert self.store.history[number - 1].events == events, "another entry was acknowledged"
        self.acknowledged.update(dict.fromkeys(events, number))
        writer.state += events


class OwnedJournalMachine(JournalModel):
    """Each writer takes the journal over; former owners go on writing."""

    def acquire(self, writer):
        """Take the journal over; if it has no free slot, compact it."""
        try:
            writer.apply(writer.journal.take_over())
        except CompactionNeeded:
            writer.apply(writer.journal.load())
            writer.journal.compact(list(writer.state))
            raise


class SharedJournalMachine(JournalModel):
    """All writers append to the journal and refresh their views."""

    def acquire(self, writer):
        """Load the journal."""
        writer.apply(writer.journal.load())

    @rule(number=WRITER_NUMBER)
    def refresh(self, number):
        """Read the entries of other writers."""

        def read_entries(writer):
            try:
                writer.apply(writer.journal.refresh())
            except Conflict as error:
                raise AssertionError("a shared view cannot be refreshed") from error

        self.run_unless_in_call(self.writers[number], read_entries)


MACHINES = {"owned-journal": OwnedJournalMachine, "shared-journal": SharedJournalMachine}
