"""State machine of learned interference against a plain list of all changes.

Guards against a measurement that is credited to batch classes which came to the worker or left it
after the measurement was taken, and against a slowdown below zero.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from acaciastand.placement.interference import MAX_CHANGES_PER_WORKER, LearnedInterference

CLASSES = ("a", "b", "c")
AGENTS = ("agent-0", "agent-1")


class InterferenceMachine(RuleBasedStateMachine):
    """Tasks of one class at a time come and go; measurements arrive late and in any order."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.learned = LearnedInterference()
        self.changes = {agent: [] for agent in AGENTS}
        self.pending = []
        self.credited = dict.fromkeys(CLASSES, 0)

    @rule(seconds=st.sampled_from([0.5, 3.0, 60.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(agent=st.sampled_from(AGENTS), name=st.sampled_from([*CLASSES, ""]))
    def place_class(self, agent, name):
        self.now += 0.25
        shares = {name: 0.5} if name else {}
        self.learned.record_shares(agent, shares, self.now)
        self.changes[agent].append((self.now, name))

    @rule(agent=st.sampled_from(AGENTS), stretch=st.sampled_from([0.8, 1.0, 1.5, 4.0]))
    def take_measurement(self, agent, stretch):
        self.pending.append((agent, stretch, self.now))

    @precondition(lambda self: self.pending)
    @rule(index=st.integers(0, 1000))
    def apply_measurement(self, index):
        agent, stretch, measured_at = self.pending.pop(index % len(self.pending))
        credited = self.learned.record_measurement(agent, "service", stretch, 0.5, measured_at)
        changes = self.changes[agent]
        before = [change for change in changes if change[0] <= measured_at]
        expected = bool(before) and len(changes) - len(before) < MAX_CHANGES_PER_WORKER
        assert (
            credited == expected
        ), f"a measurement taken at {measured_at} was credited: {credited}"
        if expected and before[-1][1]:
            self.credited[before[-1][1]] += 1

    @invariant()
    def check_credit(self):
        if not hasattr(self, "credited"):
            return
        for name in CLASSES:
            pair = self.learned._pairs.get(("service", name, 2))
            samples = pair.samples if pair else 0
            assert samples == self.credited[name], f"class {name} was credited {samples} times"
            assert pair is None or pair.slowdown >= 0.0, f"slowdown {pair.slowdown}"


MACHINES = {"interference credit": InterferenceMachine}
