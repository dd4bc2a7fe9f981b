"""State machine of the settings repository against a replay of the committed history.

Guards against an accepted edit that reverts or is applied twice, a refused edit that is applied, a
stale edit that overwrites a newer one, a revision that falls at a process, and an inherited value
that does not return when an override is unset.
"""

import itertools

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from acaciastand.coordination.faults import CallKind, FaultKind, FaultPlan
from acaciastand.coordination.journal import Journal
from acaciastand.coordination.memory import MemoryStore
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.settings.edits import Edit, EditBatch
from acaciastand.settings.errors import SettingsConflict
from acaciastand.settings.repository import JOURNAL_NAME, SettingsRepository

FIRM = "maison-reprise"
PATHS = [FIRM, f"{FIRM}/flanders", f"{FIRM}/flanders/gent"]
LEAF = PATHS[-1]
DEFAULTS = {"draining": [], "team_quotas": {}}
WRITERS = 3
PUTS = frozenset({CallKind.PUT})

writers = st.integers(0, WRITERS - 1)
paths = st.sampled_from(PATHS)
keys = st.sampled_from(sorted(DEFAULTS))
calls = st.integers(1, 4)


def replay(history, revision):
    """Return the effective values at `LEAF` by a plain fold of the history."""
    overrides = {}
    for item in history:
        if item.revision <= revision:
            overrides[item.path, item.key] = item.value
    effective = dict(DEFAULTS)
    for key, path in itertools.product(DEFAULTS, PATHS):
        if overrides.get((path, key)) is not None:
            effective[key] = overrides[path, key]
    return effective


class SettingsMachine(RuleBasedStateMachine):
    """Three writers on one store with faults, and an observer without faults."""

    @initialize()
    def start(self):
        self.faults = FaultPlan()
        self.store = MemoryStore(lambda: 0.0, self.faults)
        self.numbers = itertools.count(1)
        self.processes = [self.new_process() for _ in range(WRITERS)]
        self.observer = self.new_process()
        self.seen = [0] * WRITERS
        self.history = []
        self.accepted = {}
        self.based_on = {}
        self.not_run = set()
        self.snapshots = [self.observer.snapshot()]

    def new_process(self):
        def nonce():
            return next(self.numbers).to_bytes(16, "big")

        return SettingsRepository(Journal(self.store, JOURNAL_NAME, "writer", nonce), FIRM)

    def edit(self, writer, path, key, unset, if_revision):
        author = f"edit-{next(self.numbers)}"
        value = {"draining": [author], "team_quotas": {author: 1}}[key]
        edit = Edit(path, key, None if unset else value)
        self.based_on[author] = if_revision
        try:
            revision = self.processes[writer].edit(EditBatch([edit], if_revision, author))
            self.accepted[author] = revision
        except StoreUnavailable:
            self.not_run.add(author)
        except StoreAnswerLost:
            return
        except SettingsConflict as conflict:
            self.not_run.add(author)
            self.check_conflict(conflict, if_revision)

    def check_conflict(self, conflict, if_revision):
        self.observe()
        named = (conflict.revision, conflict.path, conflict.key, conflict.value, conflict.author)
        assert conflict.revision > if_revision
        assert named in [item.values()[:5] for item in self.history]

    @rule(writer=writers, path=paths, key=keys, unset=st.booleans(), age=st.integers(0, 3))
    def edit_based_on_a_revision(self, writer, path, key, unset, age):
        if_revision = max(0, self.processes[writer].revision - age)
        self.edit(writer, path, key, unset, if_revision)

    @rule(writer=writers, path=paths, key=keys)
    def edit_often_while_the_others_are_frozen(self, writer, path, key):
        for _ in range(36):
            self.edit(writer, path, key, False, self.processes[writer].revision)

    @rule(writer=writers)
    def read(self, writer):
        try:
            self.processes[writer].wait_for_news(0.0)
            self.processes[writer].refresh()
        except StoreUnavailable:
            return

    @rule(writer=writers)
    def keep_a_snapshot(self, writer):
        self.snapshots = [*self.snapshots[-3:], self.processes[writer].snapshot()]

    @rule(writer=writers, data=st.data())
    def adopt_a_snapshot(self, writer, data):
        snapshot = data.draw(st.sampled_from(self.snapshots))
        before = self.processes[writer].revision
        assert self.processes[writer].adopt(snapshot) == (snapshot["revision"] > before)

    @rule(writer=writers, peer=writers)
    def restart_from_a_peer(self, writer, peer):
        snapshot = self.processes[peer].snapshot()
        self.processes[writer] = self.new_process()
        self.processes[writer].adopt(snapshot)
        self.seen[writer] = snapshot["revision"]

    @rule(down=st.booleans())
    def outage(self, down):
        self.faults.outage = down

    @rule(calls=calls)
    def lose_answers(self, calls):
        self.faults.add(FaultKind.LOSE_ANSWER, PUTS, JOURNAL_NAME, calls)

    @rule(calls=calls)
    def delay_writes(self, calls):
        self.faults.add(FaultKind.DELAY, PUTS, JOURNAL_NAME, calls)

    @rule(calls=st.integers(1, 64))
    def refuse_snapshots(self, calls):
        self.faults.add(FaultKind.UNAVAILABLE, PUTS, f"{JOURNAL_NAME}/snapshot", calls)

    @rule()
    def deliver_delayed_writes(self):
        while self.faults.delayed:
            self.faults.deliver()

    @rule()
    def end_faults(self):
        self.faults.clear()

    def observe(self):
        self.store.faults = FaultPlan()
        self.observer.refresh()
        self.store.faults = self.faults
        known = self.history[-1].revision if self.history else 0
        self.history += [item for item in self.observer.history() if item.revision > known]

    @invariant()
    def history_is_consistent(self):
        self.observe()
        revisions = {item.author: item.revision for item in self.history}
        assert len(revisions) == len(self.history), "an edit was applied twice"
        assert not self.not_run & set(revisions), "a refused edit was applied"
        for author, revision in self.accepted.items():
            assert revisions.get(author) == revision, "an accepted edit is gone"
        last = {}
        for item in self.history:
            newer = last.get((item.path, item.key), 0)
            assert newer <= self.based_on[item.author], "a stale edit overwrote a newer one"
            last[item.path, item.key] = item.revision

    @invariant()
    def processes_agree_with_the_history(self):
        for number, process in enumerate(self.processes):
            assert process.revision >= self.seen[number], "a revision fell"
            self.seen[number] = process.revision
            found = process.current.tree.effective(LEAF, process.revision)
            expected = replay(self.history, process.revision)
            assert {key: found.values[key] for key in DEFAULTS} == expected


MACHINES = {"settings": SettingsMachine}
