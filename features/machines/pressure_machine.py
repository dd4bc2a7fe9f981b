"""State machine of the staged policy against a model of a host.

Guards against evictions before the minimum run time or above the rate limit (except for memory),
against actions on a part of a service, against more than two rounds per surge, against a host that
stays above its memory capacity, and against a reaction that never ends.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from acaciastand.pressure import (
    ActionCause,
    ActionKind,
    HostView,
    StagedPressure,
    TaskView,
    Weights,
)
from acaciastand.pressure.staged import MAX_ROUNDS_PER_SURGE
from acaciastand.resources import Resources

TICK_SECONDS = 0.5
CORES = 16.0
MEMORY_MB = 1000
CALM_TICKS = 120  # More than raising the lowest limit to the full demand takes.
TICKS_PER_ROUND = 8  # More than one round of the policy takes.


class PressureMachine(RuleBasedStateMachine):
    """New tasks, changes of use, changes of the service's load, and surges in any order."""

    @initialize(
        per_minute=st.sampled_from([0, 1, 3]),
        min_run=st.sampled_from([0.0, 10.0, 30.0]),
        eviction=st.sampled_from([0.0, 0.2, 0.8]),
    )
    def start(self, per_minute, min_run, eviction):
        self.now = 1000.0
        self.policy = StagedPressure(per_minute, min_run, Weights(0.4, 0.4, eviction))
        self.per_minute, self.min_run = per_minute, min_run
        self.tasks = {}
        self.limits = {}
        self.evictions = []
        self.rounds = 0
        self.surging = False
        self.service = 2.0
        self.count = 0

    @rule(
        size=st.sampled_from([1.0, 4.0, 16.0]),
        cores=st.sampled_from([0.0, 4.0, 12.0]),
        memory=st.sampled_from([0, 50, 600]),
        urgent=st.booleans(),
        protected=st.sampled_from([False, False, True]),
    )
    def add_task(self, size, cores, memory, urgent, protected):
        self.count += 1
        task = TaskView(
            f"t{self.count}", 1, Resources(size), Resources(cores, memory), 0.0, 0.0, urgent
        )
        task.protected = protected
        if protected:
            task.usage = Resources()
        self.tasks[task.task_id] = [task, self.now]

    @rule(index=st.integers(0, 20), cores=st.sampled_from([0.0, 0.5, 8.0]))
    def change_use(self, index, cores):
        batch = [task for task, _ in self.tasks.values() if not task.protected]
        if batch:
            task = batch[index % len(batch)]
            task.usage = Resources(cores, task.usage.memory_mb)

    @rule(surging=st.booleans(), service=st.sampled_from([0.0, 2.0, 8.0, 15.0]))
    def set_surge(self, surging, service):
        if surging and not self.surging:
            self.rounds = 0
        self.surging, self.service = surging, service

    @rule()
    def increase_surge(self):
        if not self.surging:
            self.rounds = 0
        self.surging, self.service = True, min(CORES, self.service + 3.0)
        for _ in range(TICKS_PER_ROUND):
            self.tick()

    @rule(ticks=st.sampled_from([1, 3, 10, 40]))
    def wait(self, ticks):
        for _ in range(ticks):
            self.tick()

    @rule()
    def calm_down(self):
        self.surging, self.service = False, 0.0
        for task, _ in self.tasks.values():
            task.usage = Resources(min(0.2, task.usage.cores), task.usage.memory_mb)
        while len(self.tasks) > 20:
            self.tasks.popitem()
        for _ in range(CALM_TICKS):
            self.tick()
        assert not self.policy.shedding, "the reaction never ends"
        assert not self.limits, "the limits stay"

    def tick(self):
        self.now += TICK_SECONDS
        actions = self.policy.decide(self.view(), self.now)
        evicted = [action for action in actions if action.kind is ActionKind.EVICT]
        for action in actions:
            self.apply(action)
        if any(action.cause is not ActionCause.MEMORY for action in evicted) or any(
            action.kind is ActionKind.THROTTLE for action in actions
        ):
            self.rounds += self.surging
        assert self.rounds <= MAX_ROUNDS_PER_SURGE, "too many rounds in one surge"
        assert self.view().incompressible_excess.memory_mb <= 0, "the host stays above its memory"

    def apply(self, action):
        task, started_at = self.tasks[action.task_id]
        assert not task.protected, "an action on a part of a service"
        if action.kind is ActionKind.EVICT:
            self.evict(task, action, self.now - started_at)
        elif action.kind is not ActionKind.CHECKPOINT:
            self.limits[action.task_id] = action.cores
        self.limits = {name: cores for name, cores in self.limits.items() if cores}

    def evict(self, task, action, run_seconds):
        if action.cause is not ActionCause.MEMORY:
            assert run_seconds >= self.min_run, "evicted before the minimum run time"
            recent = [time for time in self.evictions if self.now - time < 60.0]
            assert len(recent) < self.per_minute, "evicted above the rate limit"
        self.evictions.append(self.now)
        del self.tasks[task.task_id]
        self.limits.pop(task.task_id, None)

    def view(self):
        tasks = []
        for task, started_at in self.tasks.values():
            limit = self.limits.get(task.task_id, task.usage.cores)
            usage = Resources(min(task.usage.cores, limit), task.usage.memory_mb)
            run_seconds = self.now - started_at
            tasks.append(task.replace(usage=usage, run_seconds=run_seconds))
        return HostView(
            Resources(CORES, MEMORY_MB), Resources(self.service), 2.0, self.surging, tasks
        )

    @invariant()
    def limits_are_positive(self):
        assert all(cores > 0 for cores in getattr(self, "limits", {}).values())


MACHINES = {"PressureMachine": PressureMachine}
