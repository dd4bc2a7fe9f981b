"""Scripted faults in a `ShardSimulation`; each script needs certain guards of the shard."""

from acaciastand.coordination.faults import FaultKind
from acaciastand.shard.limits import BUCKETS_PER_SERVICE
from machines.shard_simulation import TIMINGS, ShardSimulation

START_SECONDS = 8.0  # Time in which the shard gets its owner and all agents connect.
OBSERVATION_SECONDS = 60.0  # Time in which a script reaches its next step, or a violation shows.


def start_simulation(**arguments):
    """Return a simulation whose shard has an owner and whose agents are connected."""
    simulation = ShardSimulation(**arguments)
    simulation.advance(START_SECONDS)
    return simulation


def advance_until(simulation, condition, limit=OBSERVATION_SECONDS):
    """Advance the time until a condition holds, at most by `limit` seconds."""
    deadline = simulation.time + limit
    while not condition():
        assert simulation.time < deadline, "the script did not reach its next step"
        simulation.advance(0.25)


def agent_running_task(simulation):
    """Return the first agent whose worker runs a task; None when no worker does."""
    return next((agent for agent in simulation.agents if agent.worker.running_tasks()), None)


def start_endless_task(simulation):
    """Start a task that never completes, and return its agent and the current owner."""
    job_id = simulation.submit()
    simulation.endless_tasks.add(f"{job_id}/0")
    advance_until(simulation, lambda: agent_running_task(simulation) is not None)
    simulation.advance(1.5)
    return agent_running_task(simulation), simulation.current_owner()


def other_owners(simulation, owner):
    """Return all owners except `owner`."""
    return [other for other in simulation.owners if other is not owner]


def partition_from_others(simulation, agent, owner):
    """Partition an agent from all owners except `owner`."""
    for other in other_owners(simulation, owner):
        simulation.partition(agent, other)


def isolate_until_takeover(simulation, owner):
    """Cut an owner off from the store, and return the owner that takes over."""
    owner.store.isolated = True
    advance_until(
        simulation,
        lambda: simulation.current_owner() is not None and simulation.current_owner() is not owner,
    )
    return simulation.current_owner()


def takeover_during_partition():
    """Let the former owner renew a task on a host that the new owner cannot reach."""
    simulation = start_simulation()
    agent, owner = start_endless_task(simulation)
    partition_from_others(simulation, agent, owner)
    isolate_until_takeover(simulation, owner)
    simulation.advance(OBSERVATION_SECONDS)
    return simulation


def unresponsive_agent():
    """Partition a host from all owners, and reconnect it after its task was started elsewhere."""
    simulation = start_simulation()
    agent, _ = start_endless_task(simulation)
    for owner in simulation.owners:
        simulation.partition(agent, owner)
    simulation.advance(TIMINGS.expiry_seconds() + 4.0)
    simulation.partitions.clear()
    simulation.advance(5.0)
    return simulation


def lost_grant_reply():
    """Close the connections of an agent after it has applied a grant and before it replies."""
    simulation = start_simulation()
    job_id = simulation.submit()
    simulation.endless_tasks.add(f"{job_id}/0")
    advance_until(simulation, lambda: agent_running_task(simulation) is not None)
    agent = agent_running_task(simulation)
    for owner in simulation.owners:
        simulation.partition(agent, owner)
    simulation.advance(20.0)
    return simulation


def epoch_not_seen():
    """Lose all messages of the new owner to an agent whose messages it receives."""
    simulation = start_simulation()
    agent, owner = start_endless_task(simulation)
    partition_from_others(simulation, agent, owner)
    successor = isolate_until_takeover(simulation, owner)
    simulation.partitions.discard((agent.name, successor.name))
    simulation.one_way_losses.add(("agent", agent.name, successor.name))
    simulation.advance(3.0)
    simulation.partition(agent, successor)
    simulation.advance(OBSERVATION_SECONDS)
    return simulation


def restarted_agent():
    """Restart an agent that has obeyed the new owner and reaches only the former one."""
    simulation = start_simulation()
    agent, owner = start_endless_task(simulation)
    successor = isolate_until_takeover(simulation, owner)
    simulation.advance(3.0)
    partition_from_others(simulation, agent, owner)
    assert simulation.current_owner() is successor
    agent.restart()
    simulation.advance(OBSERVATION_SECONDS)
    return simulation


def uncommitted_start():
    """Let an owner decide a start that it cannot commit while another owner starts the task."""
    simulation = start_simulation()
    owner = simulation.current_owner()
    first, second = simulation.agents
    for agent in simulation.agents:
        for other in simulation.owners:
            simulation.partition(agent, other)
    simulation.submit()
    simulation.advance(1.0)
    owner.store.isolated = True
    simulation.partitions.discard((first.name, owner.name))
    simulation.partitions.difference_update(
        (second.name, other.name) for other in other_owners(simulation, owner)
    )
    simulation.advance(OBSERVATION_SECONDS)
    return simulation


def repeated_messages():
    """Deliver all messages to the owner twice, the second time in reverse order."""
    simulation = start_simulation()
    job_id = simulation.submit(tasks=2)
    simulation.endless_tasks.add(f"{job_id}/1")
    for _ in range(60):
        simulation.advance(0.25)
        for agent in simulation.agents:
            for link in agent.links.values():
                link.queues["owner"] += list(reversed(link.queues["owner"]))
    return simulation


def evicted_twice():
    """Evict a task twice in a row; the messages after each eviction are lost."""
    simulation = start_simulation()
    start_endless_task(simulation)
    for _ in range(2):
        agent = agent_running_task(simulation)
        agent.host.drain()
        agent.poll()
        for _ in range(4):
            simulation.advance(0.25)
            for link in agent.links.values():
                link.queues = {"agent": [], "owner": []}
        agent.host.end_drain()
        advance_until(simulation, lambda: agent_running_task(simulation) is not None)
    return simulation


def release_after_isolation():
    """Let an owner that never reached the host release the shard to a third owner."""
    simulation = start_simulation()
    agent, owner = start_endless_task(simulation)
    partition_from_others(simulation, agent, owner)
    successor = isolate_until_takeover(simulation, owner)
    successor.release()
    simulation.advance(OBSERVATION_SECONDS)
    return simulation


def cancelled_and_evicted():
    """Cancel a job while one of its tasks is being evicted, and replace the owner."""
    simulation = start_simulation()
    job_id = simulation.submit(tasks=2)
    advance_until(simulation, lambda: agent_running_task(simulation) is not None)
    simulation.agents[0].host.drain()
    simulation.agents[0].poll()
    simulation.cancel(job_id)
    simulation.advance(0.5)
    simulation.current_owner().restart()
    simulation.advance(10.0)
    simulation.agents[0].host.end_drain()
    return simulation


def freeze_owner(simulation):
    """Freeze the current owner of the shard."""
    if simulation.current_owner() is not None:
        simulation.current_owner().frozen = True


def crash_owner(simulation):
    """Replace the process of the current owner."""
    if simulation.current_owner() is not None:
        simulation.current_owner().restart()


def isolate_owner(simulation):
    """Cut the current owner off from the store."""
    if simulation.current_owner() is not None:
        simulation.current_owner().store.isolated = True


def release_shard(simulation):
    """Let the current owner release the shard gracefully."""
    if simulation.current_owner() is not None and not simulation.current_owner().frozen:
        simulation.current_owner().release()


def begin_outage(simulation):
    """Make the store unavailable to all owners."""
    simulation.faults.outage = True


def lose_store_answers(simulation):
    """Lose the answers to the next calls of the store."""
    simulation.faults.add(FaultKind.LOSE_ANSWER, calls=4)


def freeze_agent(simulation):
    """Freeze the agent that runs a task."""
    (agent_running_task(simulation) or simulation.agents[0]).frozen = True


def restart_agent(simulation):
    """Replace the process of the agent that runs a task."""
    (agent_running_task(simulation) or simulation.agents[0]).restart()


def replace_worker(simulation):
    """Replace the worker that runs a task, and the process of its agent."""
    agent = agent_running_task(simulation) or simulation.agents[0]
    agent.worker.replace()
    agent.restart()


def partition_host(simulation):
    """Partition the host that runs a task from all owners."""
    agent = agent_running_task(simulation) or simulation.agents[0]
    for owner in simulation.owners:
        simulation.partition(agent, owner)


def lose_messages(simulation):
    """Lose all messages of the owners to the host that runs a task."""
    agent = agent_running_task(simulation) or simulation.agents[0]
    simulation.one_way_losses.update(
        ("agent", agent.name, owner.name) for owner in simulation.owners
    )


def evict_tasks(simulation):
    """Evict all tasks from the host that runs a task."""
    agent = agent_running_task(simulation) or simulation.agents[0]
    agent.host.drain()
    agent.poll()
    agent.host.end_drain()


def cancel_first_job(simulation):
    """Cancel the first submitted job."""
    simulation.cancel("j0-000000000001")


FAULTS = {
    "owner freezes": freeze_owner,
    "owner crashes": crash_owner,
    "owner is cut off from the store": isolate_owner,
    "owner releases the shard": release_shard,
    "store outage begins": begin_outage,
    "store answers are lost": lose_store_answers,
    "agent freezes": freeze_agent,
    "agent restarts": restart_agent,
    "worker is replaced": replace_worker,
    "host is cut off": partition_host,
    "messages to the host are lost": lose_messages,
    "task is evicted": evict_tasks,
    "job is cancelled": cancel_first_job,
}


def run_fault_pair(first_fault, second_fault, gap_seconds):
    """Run two jobs with two faults `gap_seconds` apart, and check everything after both."""
    simulation = start_simulation(buckets=True)
    simulation.submit(tasks=2)
    simulation.advance(2.5)
    simulation.submit(urgent=True)
    FAULTS[first_fault](simulation)
    simulation.advance(gap_seconds)
    FAULTS[second_fault](simulation)
    simulation.advance(12.0)
    simulation.finish_and_check()


def joining_agent():
    """Connect an agent after the other one has become the home of all buckets."""
    simulation = ShardSimulation(buckets=True)
    first, second = simulation.agents
    for owner in simulation.owners:
        simulation.partition(second, owner)
    advance_until(simulation, lambda: len(first.served_buckets()) == BUCKETS_PER_SERVICE)
    simulation.partitions.clear()
    # A stop request takes so long that the next attempt could start before it arrives.
    for owner in simulation.owners:
        simulation.delays[(first.name, owner.name)] = 1.0
    advance_until(simulation, lambda: len(second.served_buckets()) >= 4)
    simulation.delays.clear()
    simulation.advance(BUCKETS_PER_SERVICE * 1.5)
    bucket_counts = [len(agent.served_buckets()) for agent in simulation.agents]
    assert (
        bucket_counts == [BUCKETS_PER_SERVICE // 2] * 2
    ), f"buckets are not spread: {bucket_counts}"
    return simulation


SCRIPTS = {
    "takeover with the host partitioned from the new owner": takeover_during_partition,
    "unresponsive host that comes back": unresponsive_agent,
    "lost reply to a grant": lost_grant_reply,
    "agent that joins and is assigned buckets": joining_agent,
    "agent that has not seen the new epoch": epoch_not_seen,
    "restarted agent that reaches only the former owner": restarted_agent,
    "start that its owner cannot commit": uncommitted_start,
    "messages delivered twice": repeated_messages,
    "two evictions in a row with lost reports": evicted_twice,
    "release by an owner that never reached the host": release_after_isolation,
    "cancellation during eviction and takeover": cancelled_and_evicted,
}
