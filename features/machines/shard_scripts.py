"""Fault cases of the shard as scripts on a `World`, each aimed at one guard."""

from acaciastand.coordination.faults import FaultKind
from acaciastand.shard.limits import BUCKETS_PER_SERVICE
from machines.shard_world import TIMINGS, World

SETTLE_SECONDS = 8.0
LIMIT_SECONDS = 60.0


def settled(**arguments):
    """Return a world whose shard is owned and whose agents are connected."""
    world = World(**arguments)
    world.advance(SETTLE_SECONDS)
    return world


def until(world, condition, limit=LIMIT_SECONDS):
    """Let time pass until a condition holds."""
    end = world.time + limit
    while not condition():
        assert world.time < end, "the script did not reach its next step"
        world.advance(0.25)


def running_on(world):
    """Return the first agent whose worker runs a task, or None."""
    return next((agent for agent in world.agents if agent.worker.running()), None)


def start_endless(world):
    """Run a task that never completes and return (agent, owner)."""
    job_id = world.submit()
    world.endless.add(f"{job_id}/0")
    until(world, lambda: running_on(world) is not None)
    world.advance(1.5)
    return running_on(world), world.owner()


def others(world, owner):
    """Return the owners but one."""
    return [other for other in world.owners if other is not owner]


def cut_from_others(world, agent, owner):
    """Leave an agent only its path to one owner."""
    for other in others(world, owner):
        world.cut_link(agent, other)


def isolate_until_takeover(world, owner):
    """Cut an owner off from the store and return the one that takes over."""
    owner.store.isolated = True
    until(world, lambda: world.owner() is not None and world.owner() is not owner)
    return world.owner()


def takeover_out_of_reach():
    """Let the former owner renew on a host that the new owner cannot reach."""
    world = settled()
    agent, owner = start_endless(world)
    cut_from_others(world, agent, owner)
    isolate_until_takeover(world, owner)
    world.advance(LIMIT_SECONDS)
    return world


def unresponsive_agent():
    """Let a host fall silent and come back after its task was moved."""
    world = settled()
    agent, _ = start_endless(world)
    for owner in world.owners:
        world.cut_link(agent, owner)
    world.advance(TIMINGS.expiry_seconds() + 4.0)
    world.cut.clear()
    world.advance(5.0)
    return world


def lost_grant_reply():
    """End the connection between the effect of a grant and its reply."""
    world = settled()
    job_id = world.submit()
    world.endless.add(f"{job_id}/0")
    until(world, lambda: running_on(world) is not None)
    agent = running_on(world)
    for owner in world.owners:
        world.cut_link(agent, owner)
    world.advance(20.0)
    return world


def epoch_not_seen():
    """Lose all replies of the new owner to an agent that it hears."""
    world = settled()
    agent, owner = start_endless(world)
    cut_from_others(world, agent, owner)
    successor = isolate_until_takeover(world, owner)
    world.cut.discard((agent.name, successor.name))
    world.deaf.add(("agent", agent.name, successor.name))
    world.advance(3.0)
    world.cut_link(agent, successor)
    world.advance(LIMIT_SECONDS)
    return world


def restarted_agent():
    """Restart an agent that obeyed the new owner and reaches only the former one."""
    world = settled()
    agent, owner = start_endless(world)
    successor = isolate_until_takeover(world, owner)
    world.advance(3.0)
    cut_from_others(world, agent, owner)
    assert world.owner() is successor
    agent.restart()
    world.advance(LIMIT_SECONDS)
    return world


def uncommitted_start():
    """Let an owner decide a start that it cannot commit while another one starts the task."""
    world = settled()
    owner = world.owner()
    first, second = world.agents
    for agent in world.agents:
        for other in world.owners:
            world.cut_link(agent, other)
    world.submit()
    world.advance(1.0)
    owner.store.isolated = True
    world.cut.discard((first.name, owner.name))
    world.cut.difference_update((second.name, other.name) for other in others(world, owner))
    world.advance(LIMIT_SECONDS)
    return world


def repeated_report():
    """Deliver all messages to the owner twice, the second time in reverse order."""
    world = settled()
    job_id = world.submit(tasks=2)
    world.endless.add(f"{job_id}/1")
    for _ in range(60):
        world.advance(0.25)
        for agent in world.agents:
            for link in agent.links.values():
                link.queues["owner"] += list(reversed(link.queues["owner"]))
    return world


def evicted_twice():
    """Evict a task twice in a row while reports and their confirmations are lost."""
    world = settled()
    start_endless(world)
    for _ in range(2):
        agent = running_on(world)
        agent.host.drain()
        agent.poll()
        for _ in range(4):
            world.advance(0.25)
            for link in agent.links.values():
                link.queues = {"agent": [], "owner": []}
        agent.host.end_drain()
        until(world, lambda: running_on(world) is not None)
    return world


def release_after_isolation():
    """Release the shard to a third owner without having reached the host."""
    world = settled()
    agent, owner = start_endless(world)
    cut_from_others(world, agent, owner)
    second = isolate_until_takeover(world, owner)
    second.release()
    world.advance(LIMIT_SECONDS)
    return world


def cancelled_and_evicted():
    """Cancel a job while its eviction is under way and its owner changes."""
    world = settled()
    job_id = world.submit(tasks=2)
    until(world, lambda: running_on(world) is not None)
    world.agents[0].host.drain()
    world.agents[0].poll()
    world.cancel(job_id)
    world.advance(0.5)
    world.owner().restart()
    world.advance(10.0)
    world.agents[0].host.end_drain()
    return world


def freeze_owner(world):
    """Freeze the owner of the shard."""
    if world.owner() is not None:
        world.owner().frozen = True


def crash_owner(world):
    """Replace the owner's process."""
    if world.owner() is not None:
        world.owner().restart()


def isolate_owner(world):
    """Cut the owner off from the store."""
    if world.owner() is not None:
        world.owner().store.isolated = True


def release_shard(world):
    """Release the shard gracefully."""
    if world.owner() is not None and not world.owner().frozen:
        world.owner().release()


def begin_outage(world):
    """Make the store unavailable."""
    world.faults.outage = True


def lose_store_answers(world):
    """Lose the answers to the next store calls."""
    world.faults.add(FaultKind.LOSE_ANSWER, calls=4)


def freeze_agent(world):
    """Freeze the agent that runs a task."""
    (running_on(world) or world.agents[0]).frozen = True


def restart_agent(world):
    """Replace the process of the agent that runs a task."""
    (running_on(world) or world.agents[0]).restart()


def replace_worker(world):
    """Replace the worker that runs a task, and its agent."""
    agent = running_on(world) or world.agents[0]
    agent.worker.replace()
    agent.restart()


def cut_host(world):
    """Cut the host that runs a task off from all owners."""
    agent = running_on(world) or world.agents[0]
    for owner in world.owners:
        world.cut_link(agent, owner)


def lose_replies(world):
    """Lose everything that owners send to the host that runs a task."""
    agent = running_on(world) or world.agents[0]
    world.deaf.update(("agent", agent.name, owner.name) for owner in world.owners)


def evict(world):
    """Evict everything from the host that runs a task."""
    agent = running_on(world) or world.agents[0]
    agent.host.drain()
    agent.poll()
    agent.host.end_drain()


def cancel_first_job(world):
    """Cancel the first job."""
    world.cancel("j0-000000000001")


FAULTS = {
    "owner freezes": freeze_owner,
    "owner crashes": crash_owner,
    "owner is cut off from the store": isolate_owner,
    "owner releases": release_shard,
    "store outage begins": begin_outage,
    "store answers are lost": lose_store_answers,
    "agent freezes": freeze_agent,
    "agent restarts": restart_agent,
    "worker is replaced": replace_worker,
    "host is cut off": cut_host,
    "replies to the host are lost": lose_replies,
    "task is evicted": evict,
    "job is cancelled": cancel_first_job,
}


def run_pair(first, second, gap_seconds):
    """Run two jobs, let two faults happen, and check everything after both."""
    world = settled(buckets=True)
    world.submit(tasks=2)
    world.advance(2.5)
    world.submit(urgent=True)
    FAULTS[first](world)
    world.advance(gap_seconds)
    FAULTS[second](world)
    world.advance(12.0)
    world.finale()


def joining_agent():
    """Let an agent join after the other one became the home of all buckets."""
    world = World(buckets=True)
    first, second = world.agents
    for owner in world.owners:
        world.cut_link(second, owner)
    until(world, lambda: len(first.homes()) == BUCKETS_PER_SERVICE)
    world.cut.clear()
    # A stop is under way for so long that the next attempt could start before it arrives.
    for owner in world.owners:
        world.delays[(first.name, owner.name)] = 1.0
    until(world, lambda: len(second.homes()) >= 4)
    world.delays.clear()
    world.advance(BUCKETS_PER_SERVICE * 1.5)
    bucket_counts = [len(agent.homes()) for agent in world.agents]
    assert (
        bucket_counts == [BUCKETS_PER_SERVICE // 2] * 2
    ), f"buckets are not spread: {bucket_counts}"
    return world


SCRIPTS = {
    "takeover while host and new owner are cut off": takeover_out_of_reach,
    "silent host that comes back": unresponsive_agent,
    "lost reply to a grant": lost_grant_reply,
    "agent that joins and gets buckets": joining_agent,
    "agent that has not seen the new epoch": epoch_not_seen,
    "restarted agent that reaches only the former owner": restarted_agent,
    "start that its owner cannot commit": uncommitted_start,
    "report twice in a row": repeated_report,
    "eviction twice in a row with lost reports": evicted_twice,
    "release by an owner that never reached the host": release_after_isolation,
    "cancellation during eviction and takeover": cancelled_and_evicted,
}
