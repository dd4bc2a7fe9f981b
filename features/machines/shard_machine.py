"""Stateful fuzzing of the shard: takeovers, bad links, frozen parties, outages, evictions."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from acaciastand.coordination.faults import FaultKind
from machines.shard_world import TIMINGS, World

number = st.integers(0, 5)
seconds = st.sampled_from([0.25, 0.5, 1.0, 3.0, 8.0, 15.0, 35.0])


class ShardMachine(RuleBasedStateMachine):
    """Random faults on a `World`; its oracle checks after every step."""

    def __init__(self):
        super().__init__()
        self.world = World(buckets=True)
        self.jobs = []
        self.world.advance(8.0)

    def agent(self, number):
        """Return an agent."""
        return self.world.agents[number % len(self.world.agents)]

    def owner(self, number):
        """Return an owner."""
        return self.world.owners[number % len(self.world.owners)]

    @rule(length=seconds)
    def advance(self, length):
        """Let time pass."""
        self.world.advance(length)

    @rule(tasks=st.integers(1, 3), urgent=st.booleans(), endless=st.booleans())
    def submit(self, tasks, urgent, endless):
        """Submit a job, and let it be committed."""
        job_id = self.world.submit(tasks, urgent)
        if endless:
            self.world.endless.update(f"{job_id}/{n}" for n in range(tasks))
        self.jobs.append(job_id)
        self.world.advance(0.5)

    @rule(number=number)
    def cancel(self, number):
        """Cancel a job."""
        if self.jobs:
            self.world.cancel(self.jobs[number % len(self.jobs)])

    @rule(number=number, twice=st.booleans())
    def freeze_or_thaw_owner(self, number, twice):
        """Freeze a running owner or thaw a frozen one."""
        owner = self.owner(number)
        owner.frozen = not owner.frozen

    @rule()
    def freeze_present_owner(self):
        """Freeze the owner of the shard."""
        if self.world.owner() is not None:
            self.world.owner().frozen = True

    @rule(number=number)
    def freeze_or_thaw_agent(self, number):
        """Freeze a running agent or thaw a frozen one."""
        agent = self.agent(number)
        agent.frozen = not agent.frozen

    @rule(number=number)
    def crash_owner(self, number):
        """Replace an owner's process."""
        self.owner(number).restart()

    @rule(number=number)
    def restart_agent(self, number):
        """Replace an agent's process."""
        self.agent(number).restart()

    @rule(number=number)
    def replace_worker(self, number):
        """Replace a worker and its agent."""
        self.agent(number).worker.replace()
        self.agent(number).restart()

    @rule()
    def release(self):
        """Release the shard gracefully."""
        owner = self.world.owner()
        if owner is not None and not owner.frozen:
            owner.release()

    @rule(first=number, second=number)
    def cut(self, first, second):
        """Cut a path."""
        self.world.cut_link(self.agent(first), self.owner(second))

    @rule(first=number)
    def cut_from_present_owner(self, first):
        """Cut the path between an agent and the owner of the shard."""
        if self.world.owner() is not None:
            self.world.cut_link(self.agent(first), self.world.owner())

    @rule()
    def mend(self):
        """Mend all paths."""
        self.world.cut.clear()
        self.world.deaf.clear()
        self.world.delays.clear()

    @rule(first=number, second=number, delay=st.sampled_from([0.5, 3.0, 9.0]))
    def delay(self, first, second, delay):
        """Delay the messages of a path."""
        self.world.delays[(self.agent(first).name, self.owner(second).name)] = delay

    @rule(first=number, end=st.sampled_from(["agent", "owner"]))
    def duplicate(self, first, end):
        """Deliver what is under way twice, the second time in reverse order."""
        for link in self.agent(first).links.values():
            link.queues[end] += list(reversed(link.queues[end]))

    @rule(first=number, end=st.sampled_from(["agent", "owner"]))
    def drop(self, first, end):
        """Lose what is under way; towards the owner these are answers after their effect."""
        for link in self.agent(first).links.values():
            link.queues[end] = []

    @rule(first=number, second=number, end=st.sampled_from(["agent", "owner"]))
    def deafen(self, first, second, end):
        """Lose all messages of a path in one direction."""
        self.world.deaf.add((end, self.agent(first).name, self.owner(second).name))

    @rule(number=number)
    def evict(self, number):
        """Evict everything from a host."""
        agent = self.agent(number)
        if not agent.frozen:
            agent.host.drain()
            agent.poll()
            agent.host.end_drain()

    @rule()
    def outage(self):
        """Begin or end a store outage."""
        self.world.faults.outage = not self.world.faults.outage

    @rule()
    def isolate_present_owner(self):
        """Cut the owner of the shard off from the store."""
        if self.world.owner() is not None:
            self.world.owner().store.isolated = True

    @rule(number=number)
    def reach_store(self, number):
        """Let an owner reach the store again."""
        self.owner(number).store.isolated = False

    @rule(fault=st.sampled_from(list(FaultKind)), calls=st.integers(1, 4))
    def store_fault(self, fault, calls):
        """Plan faults of the next store calls."""
        if len(self.world.faults.rules) < 20:
            self.world.faults.add(fault, calls=calls)

    @rule()
    def deliver_delayed_write(self):
        """Let a delayed write land."""
        if self.world.faults.delayed:
            self.world.faults.deliver(0)

    @rule(seconds=st.sampled_from([10.0, 20.0, 30.0]))
    def change_renewal_limit(self, seconds):
        """Change the outage hold in the settings of the present owner."""
        owner = self.world.owner()
        if owner is not None and not owner.frozen:
            owner.shard.change_timings(TIMINGS.replace(outage_hold_seconds=seconds))

    @rule(number=number)
    def let_lease_expire(self, number):
        """Freeze an owner until its lease lapses, then thaw it before the others react or after."""
        owner = self.owner(number)
        owner.frozen = True
        self.world.advance(5.0)
        owner.frozen = False

    def teardown(self):
        """Heal everything and check that nothing was lost."""
        self.world.finale()


MACHINES = {"shard": ShardMachine}
