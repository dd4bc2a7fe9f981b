"""Stateful fuzzing of the shard with takeovers, link faults, freezes, outages and evictions."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from acaciastand.coordination.faults import FaultKind
from machines.shard_simulation import TIMINGS, ShardSimulation

INDEXES = st.integers(0, 5)
DURATIONS_SECONDS = st.sampled_from([0.25, 0.5, 1.0, 3.0, 8.0, 15.0, 35.0])


class ShardMachine(RuleBasedStateMachine):
    """Random faults in a `ShardSimulation`, whose oracle checks after every step.

    Hypothesis orders the rules by their number of arguments and their name, and the arguments by
    name. A new order changes the examples of every seed.
    """

    def __init__(self):
        super().__init__()
        self.simulation = ShardSimulation(buckets=True)
        self.jobs = []
        self.simulation.advance(8.0)

    def agent(self, index):
        """Return the agent with an index, modulo the number of agents."""
        return self.simulation.agents[index % len(self.simulation.agents)]

    def owner(self, index):
        """Return the owner with an index, modulo the number of owners."""
        return self.simulation.owners[index % len(self.simulation.owners)]

    @rule(duration_seconds=DURATIONS_SECONDS)
    def advance_time(self, duration_seconds):
        """Advance the time."""
        self.simulation.advance(duration_seconds)

    @rule(tasks=st.integers(1, 3), urgent=st.booleans(), endless=st.booleans())
    def submit_job(self, tasks, urgent, endless):
        """Submit a job, and leave time for its commit."""
        job_id = self.simulation.submit(tasks, urgent)
        if endless:
            self.simulation.endless_tasks.update(f"{job_id}/{n}" for n in range(tasks))
        self.jobs.append(job_id)
        self.simulation.advance(0.5)

    @rule(job_index=INDEXES)
    def cancel_job(self, job_index):
        """Cancel one of the submitted jobs."""
        if self.jobs:
            self.simulation.cancel(self.jobs[job_index % len(self.jobs)])

    @rule(owner_index=INDEXES, twice=st.booleans())
    def freeze_or_thaw_owner(self, owner_index, twice):
        """Freeze a running owner or thaw a frozen one."""
        owner = self.owner(owner_index)
        owner.frozen = not owner.frozen

    @rule()
    def freeze_current_owner(self):
        """Freeze the current owner of the shard."""
        if self.simulation.current_owner() is not None:
            self.simulation.current_owner().frozen = True

    @rule(agent_index=INDEXES)
    def freeze_or_thaw_agent(self, agent_index):
        """Freeze a running agent or thaw a frozen one."""
        agent = self.agent(agent_index)
        agent.frozen = not agent.frozen

    @rule(owner_index=INDEXES)
    def crash_owner(self, owner_index):
        """Replace the process of an owner."""
        self.owner(owner_index).restart()

    @rule(agent_index=INDEXES)
    def restart_agent(self, agent_index):
        """Replace the process of an agent."""
        self.agent(agent_index).restart()

    @rule(agent_index=INDEXES)
    def replace_worker(self, agent_index):
        """Replace a worker and the process of its agent."""
        self.agent(agent_index).worker.replace()
        self.agent(agent_index).restart()

    @rule()
    def release_shard(self):
        """Let the current owner release the shard gracefully."""
        owner = self.simulation.current_owner()
        if owner is not None and not owner.frozen:
            owner.release()

    @rule(link_agent=INDEXES, link_owner=INDEXES)
    def disconnect(self, link_agent, link_owner):
        """Partition an agent from an owner."""
        self.simulation.partition(self.agent(link_agent), self.owner(link_owner))

    @rule(agent_index=INDEXES)
    def disconnect_from_current_owner(self, agent_index):
        """Partition an agent from the current owner of the shard."""
        if self.simulation.current_owner() is not None:
            self.simulation.partition(self.agent(agent_index), self.simulation.current_owner())

    @rule()
    def lift_link_faults(self):
        """End all partitions, one-way losses and delays."""
        self.simulation.partitions.clear()
        self.simulation.one_way_losses.clear()
        self.simulation.delays.clear()

    @rule(link_agent=INDEXES, link_owner=INDEXES, delay=st.sampled_from([0.5, 3.0, 9.0]))
    def delay_messages(self, link_agent, link_owner, delay):
        """Delay all later messages between an agent and an owner by `delay` seconds."""
        self.simulation.delays[(self.agent(link_agent).name, self.owner(link_owner).name)] = delay

    @rule(link_agent=INDEXES, destination=st.sampled_from(["agent", "owner"]))
    def duplicate_messages(self, link_agent, destination):
        """Deliver the messages in transit twice, the second time in reverse order."""
        for link in self.agent(link_agent).links.values():
            link.queues[destination] += list(reversed(link.queues[destination]))

    @rule(link_agent=INDEXES, destination=st.sampled_from(["agent", "owner"]))
    def drop_messages(self, link_agent, destination):
        """Lose the messages in transit; those to the owner include replies to applied grants."""
        for link in self.agent(link_agent).links.values():
            link.queues[destination] = []

    @rule(link_agent=INDEXES, link_owner=INDEXES, destination=st.sampled_from(["agent", "owner"]))
    def add_one_way_loss(self, link_agent, link_owner, destination):
        """Lose all later messages between an agent and an owner in one direction."""
        self.simulation.one_way_losses.add(
            (destination, self.agent(link_agent).name, self.owner(link_owner).name)
        )

    @rule(agent_index=INDEXES)
    def evict_tasks(self, agent_index):
        """Evict all tasks from a host."""
        agent = self.agent(agent_index)
        if not agent.frozen:
            agent.host.drain()
            agent.poll()
            agent.host.end_drain()

    @rule()
    def make_store_fail_or_recover(self):
        """Begin or end a store outage."""
        self.simulation.faults.outage = not self.simulation.faults.outage

    @rule()
    def isolate_current_owner(self):
        """Cut the current owner of the shard off from the store."""
        if self.simulation.current_owner() is not None:
            self.simulation.current_owner().store.isolated = True

    @rule(owner_index=INDEXES)
    def reconnect_store(self, owner_index):
        """Let an owner reach the store again."""
        self.owner(owner_index).store.isolated = False

    @rule(fault=st.sampled_from(list(FaultKind)), calls=st.integers(1, 4))
    def schedule_store_faults(self, fault, calls):
        """Schedule a fault for a number of the next store calls."""
        if len(self.simulation.faults.rules) < 20:
            self.simulation.faults.add(fault, calls=calls)

    @rule()
    def deliver_delayed_write(self):
        """Apply the oldest delayed write to the store."""
        if self.simulation.faults.delayed:
            self.simulation.faults.deliver(0)

    @rule(seconds=st.sampled_from([10.0, 20.0, 30.0]))
    def change_renewal_limit(self, seconds):
        """Change `outage_hold_seconds` in the settings of the current owner."""
        owner = self.simulation.current_owner()
        if owner is not None and not owner.frozen:
            owner.shard.change_timings(TIMINGS.replace(outage_hold_seconds=seconds))

    @rule(owner_index=INDEXES)
    def let_lease_expire(self, owner_index):
        """Freeze an owner until its lease has expired; another may have taken over by then."""
        owner = self.owner(owner_index)
        owner.frozen = True
        self.simulation.advance(5.0)
        owner.frozen = False

    def teardown(self):
        """End all faults, and check that no job was lost."""
        self.simulation.finish_and_check()


MACHINES = {"shard": ShardMachine}
