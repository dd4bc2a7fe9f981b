"""Journals under faults, against a list of the entries that took effect."""

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
from acaciastand.coordination.journal import RESOLVE_ATTEMPTS
from acaciastand.errors import Conflict

WRITERS = 3
MAX_INTERLUDES = 4  # waiting interludes beyond which no more are planned
NAME = "journal"
WRITER = st.integers(0, WRITERS - 1)


def fold(entries):
    return [event for entry in entries for event in entry.events]


class RecordingStore(MemoryStore):
    """Keeps every entry that took effect and runs interludes inside calls of a journal."""

    def __init__(self, faults):
        super().__init__(lambda: 0.0, faults)
        self.history = []
        self.interludes = []
        self.snapshot_position = 0

    def get(self, key):
        """Read a key, after an interlude."""
        self._interlude()
        return super().get(key)

    def put_if(self, key, value, expected_version, lease_id=None):
        """Write a key, after an interlude."""
        self._interlude()
        return super().put_if(key, value, expected_version, lease_id)

    def list(self, prefix):
        """Read keys, after an interlude."""
        self._interlude()
        return super().list(prefix)

    def _interlude(self):
        if self.interludes:
            self.interludes.pop(0)()

    def _put(self, key, value, expected_version, lease_id):
        version = super()._put(key, value, expected_version, lease_id)
        if key.endswith("/snapshot"):
            self._check_snapshot(Snapshot.decode(value))
        else:
            self._record(Entry.decode(value))
        return version

    def _record(self, entry):
        assert entry.number == len(self.history) + 1, "an entry was written at a taken position"
        former = self.history[-1].epoch if self.history else 0
        assert entry.epoch >= former, "a write of a fenced owner landed after the takeover"
        self.history.append(entry)

    def _check_snapshot(self, snapshot):
        assert snapshot.position >= self.snapshot_position, "the snapshot went back"
        assert snapshot.state == fold(self.history[: snapshot.position]), "the snapshot is wrong"
        self.snapshot_position = snapshot.position


class Writer:
    """A journal with the state that its program would hold."""

    def __init__(self, store, number, nonce):
        self.journal = Journal(store, NAME, f"writer-{number}", nonce)
        self.view = []
        self.pending = None
        self.busy = False

    def apply(self, state):
        """Fold what a read returned into the view."""
        if state.complete:
            self.view = list(state.snapshot or [])
        self.view += fold(state.entries)


class JournalModel(RuleBasedStateMachine):
    """Rules for owned and shared journals alike; `acquire` is what makes a writer usable."""

    def __init__(self):
        super().__init__()
        self.nonces = 0
        self.events = 0
        self.store = RecordingStore(FaultPlan())
        self.writers = [Writer(self.store, number, self.nonce) for number in range(WRITERS)]
        self.acknowledged = {}
        self.refused = set()

    def nonce(self):
        """Return a nonce that is new in this run."""
        self.nonces += 1
        return self.nonces.to_bytes(4, "big")

    def acquire(self, writer):
        """Make a writer usable, as the kind of journal requires."""
        raise NotImplementedError

    @initialize()
    def start_all(self):
        """Let every writer load or take over once."""
        for number in range(WRITERS):
            self.start(number)

    @rule(number=WRITER)
    def start(self, number):
        """Load or take over, also in the middle of other work."""
        self.run(self.writers[number], self.acquire)

    @rule(
        number=WRITER,
        size=st.integers(0, 3),
        lost=st.sampled_from([0, 0, 0, 1, 2, RESOLVE_ATTEMPTS]),
        fault=st.sampled_from([FaultKind.LOSE_ANSWER, FaultKind.DELAY]),
    )
    def append(self, number, size, lost, fault):
        """Append a few events as one entry; the answers to the first writes can be lost."""
        if lost:
            self.store.faults.add(fault, frozenset({CallKind.PUT}), f"{NAME}/log", lost)
        self.run(self.writers[number], lambda writer: self.write(writer, size))
        if lost:
            self.store.faults.clear()

    @rule(number=WRITER, count=st.sampled_from([20, 70]), compacting=st.booleans())
    def append_many(self, number, count, compacting=True):
        """Append past the end of the ring."""
        for _ in range(count):
            self.run(self.writers[number], lambda writer: self.write(writer, 1))
            if compacting and self.writers[number].journal.compaction_due:
                self.compact(number)

    @rule(number=WRITER)
    def resolve(self, number):
        """Settle an append whose answer was lost."""
        self.run(self.writers[number], self.settle)

    @rule(number=WRITER)
    def compact(self, number):
        """Write a snapshot, due or not."""

        def act(writer):
            writer.journal.compact(list(writer.view))

        self.run(self.writers[number], act)

    @rule(
        fault=st.sampled_from(FaultKind),
        kind=st.sampled_from([CallKind.GET, CallKind.LIST, CallKind.PUT, CallKind.PUT]),
        prefix=st.sampled_from([f"{NAME}/log", f"{NAME}/snapshot", NAME]),
        calls=st.integers(1, 2),
        skipped=st.integers(0, 3),
    )
    def plan_fault(self, fault, kind, prefix, calls, skipped):
        """Let matching calls, after some others, fail, lose their answers or land late."""
        self.before_call(
            skipped, lambda: self.store.faults.add(fault, frozenset({kind}), prefix, calls)
        )

    @rule(outage=st.sampled_from([False, False, False, True]))
    def switch_outage(self, outage):
        """End all planned faults, or begin an outage of all calls."""
        self.store.faults.clear()
        self.store.faults.outage = outage

    @rule(index=st.integers(0, 9))
    def land_delayed_write(self, index):
        """Apply a write that was under way, possibly of a fenced owner."""
        if self.store.faults.delayed:
            self.store.faults.deliver(index % len(self.store.faults.delayed))

    @rule(
        number=WRITER,
        skipped=st.integers(0, 3),
        acquiring=st.booleans(),
        count=st.sampled_from([1, 2, 80]),
    )
    def freeze_before_call(self, number, skipped, acquiring, count):
        """Freeze a writer before one of its next calls while another one acts."""

        def interlude():
            writer = self.writers[number]
            if acquiring:
                self.run(writer, self.acquire)
            self.append_many(number, count)

        self.before_call(skipped, interlude)

    @invariant()
    def outcomes_hold(self):
        """Compare what writers were told with what took effect."""
        history = self.store.history
        present = fold(history)
        assert len(set(present)) == len(present), "an event was applied twice"
        assert not self.refused.intersection(present), "a refused event took effect"
        for event, number in self.acknowledged.items():
            assert event in history[number - 1].events, "an acknowledged event is lost"

    @invariant()
    def reload_gives_everything(self):
        """Read the journal afresh, without faults."""
        faults, self.store.faults = self.store.faults, FaultPlan()
        interludes, self.store.interludes = self.store.interludes, []
        reader = Writer(self.store, "reader", self.nonce)
        reader.apply(reader.journal.load())
        self.store.faults, self.store.interludes = faults, interludes
        assert reader.view == fold(self.store.history), "the journal lost or repeated events"

    @invariant()
    def views_match(self):
        """Compare the state of each usable writer with the entries up to its position."""
        for writer in self.writers:
            known = fold(self.store.history[: writer.journal.position])
            assert writer.view == known or not writer.journal._loaded, "a view missed events"

    def before_call(self, skipped, interlude):
        """Run an interlude before a coming call; a few can wait at once."""
        if len(self.store.interludes) < MAX_INTERLUDES:
            self.store.interludes += [lambda: None] * skipped + [interlude]

    def run(self, writer, act):
        """Let a writer act unless it is frozen inside a call already."""
        if writer.busy:
            return
        writer.busy = True
        try:
            act(writer)
        except (Conflict, CompactionNeeded, StoreAnswerLost, StoreUnavailable):
            pass
        finally:
            writer.busy = False

    def write(self, writer, size):
        """Append and note what the writer is told about the outcome."""
        events = [self.events + offset for offset in range(size)]
        self.events += size
        was_unresolved = writer.journal.unresolved
        try:
            number = writer.journal.append(events)
        except AppendUnresolved:
            raise
        except StoreAnswerLost:
            if was_unresolved:
                self.refused.update(events)
            else:
                writer.pending = events
            raise
        except (Conflict, CompactionNeeded, StoreUnavailable):
            self.refused.update(events)
            raise
        self.acknowledge(writer, events, number)

    def settle(self, writer):
        """Resolve and note what the writer is told about the outcome."""
        events, number = writer.pending, None
        try:
            number = writer.journal.resolve()
        except Conflict:
            self.refused.update(events)
            raise
        if number is not None:
            self.acknowledge(writer, events, number)

    def acknowledge(self, writer, events, number):
        """Check an acknowledged entry and apply it to the writer's view."""
        assert self.store.history[number - 1].events == events, "another entry was acknowledged"
        self.acknowledged.update(dict.fromkeys(events, number))
        writer.view += events


class OwnedJournalMachine(JournalModel):
    """Each writer takes the journal over; former owners go on writing."""

    def acquire(self, writer):
        """Make a writer usable, as the kind of journal requires."""
        try:
            writer.apply(writer.journal.take_over())
        except CompactionNeeded:
            writer.apply(writer.journal.load())
            writer.journal.compact(list(writer.view))
            raise


class SharedJournalMachine(JournalModel):
    """All writers append; conflicts are refreshed."""

    def acquire(self, writer):
        """Make a writer usable, as the kind of journal requires."""
        writer.apply(writer.journal.load())

    @rule(number=WRITER)
    def refresh(self, number):
        """Read the entries of other writers."""

        def act(writer):
            try:
                writer.apply(writer.journal.refresh())
            except Conflict as error:
                raise AssertionError("a shared view cannot be refreshed") from error

        self.run(self.writers[number], act)


MACHINES = {"owned-journal": OwnedJournalMachine, "shared-journal": SharedJournalMachine}
