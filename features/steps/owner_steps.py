"""Steps on the owner service over an in-process store and scripted agents."""

import time
from collections import Counter

import gevent
from behave import given, then, when
from gevent.event import Event
from gevent.pool import Pool
from waiting import wait_for

from acaciastand.coordination.faults import CallKind, FaultKind, FaultPlan
from acaciastand.coordination.lease import LeaseSession
from acaciastand.coordination.memory import MemoryStore
from acaciastand.entry.owned_shard import MAX_SENDING
from acaciastand.entry.owner import OwnerService
from acaciastand.errors import AcaciastandError
from acaciastand.resources import Resources
from acaciastand.settings.schema import EffectiveSettings
from acaciastand.telemetry.counters import Counters
from acaciastand.wire.messages import (
    AttemptReport,
    GrantAttempt,
    GrantReply,
    Heartbeat,
    HeldAttempt,
    Hello,
    StopAttempt,
)

WAIT_SECONDS = 10.0
LEASE_SECONDS = 60.0
DOCUMENT = {"team": "sheets", "batch_class": "print", "cores": 1.0}


class ScriptedAgent:
    """Takes each grant and records what it receives; the interface of an agent session."""

    def __init__(self, agent_id, cores):
        self.agent_id = agent_id
        self.incarnation = f"{agent_id}-1"
        self.availability_zone = "gent"
        self.rack = "r1"
        self.capacity = self.free = Resources(cores, 1000, 0)
        self.services = ("desk",)
        self.draining = False
        self.connected = True
        self.last_heartbeat_sequence = 0
        self.grants = []
        self.stops = []

    @property
    def attempts(self):
        """What the agent lists in its heartbeats."""
        return [HeldAttempt(g.shard, g.epoch, g.task_id, g.attempt, "running") for g in self.grants]

    def tasks(self):
        """Return the grants that are no buckets."""
        return [grant for grant in self.grants if not grant.task_id.startswith("bucket/")]

    def request(self, message, timeout_seconds):
        """Accept a grant."""
        assert isinstance(message, GrantAttempt)
        self.grants.append(message)
        return GrantReply(message.shard, message.task_id, message.attempt, True)

    def send(self, message):
        """Record a stop."""
        assert isinstance(message, StopAttempt)
        self.stops.append(message)


class ScriptedRegistry:
    """Connected agents by id."""

    def __init__(self):
        self.agents = {}

    def sessions(self):
        """Return all agents."""
        return list(self.agents.values())

    def get(self, agent_id):
        """Return one agent or None."""
        return self.agents.get(agent_id)


class FixedSettings:
    """Default settings everywhere."""

    def effective(self, path):
        """Return the defaults with a short commit interval."""
        return EffectiveSettings({"commit_interval_ms": 1})


def later(seconds=WAIT_SECONDS):
    return time.monotonic() + seconds


def start_service(context, entry_id):
    session = LeaseSession(context.store, LEASE_SECONDS)
    session.start(time.monotonic())
    service = OwnerService(
        context.store, entry_id, session, 2, context.registry, FixedSettings(), Counters()
    )
    service.start()
    context.stack.callback(service.stop)
    wait_for(lambda: len(service.owned) == 2)
    return service


@given('a store and the owner service of entry "{entry_id}" with 2 shards')
def step_service(context, entry_id):
    context.plan = FaultPlan()
    context.store = MemoryStore(time.monotonic, context.plan)
    context.registry = ScriptedRegistry()
    context.service = start_service(context, entry_id)


@given('a connected agent "{agent_id}" with {cores:d} cores')
def step_agent(context, agent_id, cores):
    agent = ScriptedAgent(agent_id, float(cores))
    context.registry.agents[agent_id] = agent
    context.service.on_hello(agent, Hello(agent_id))
    agent.last_heartbeat_sequence = 1
    context.service.on_heartbeat(agent, Heartbeat(1))


@when('a job of {tasks:d} tasks is submitted with key "{key}"')
def step_submit(context, tasks, key):
    context.payload = {**DOCUMENT, "tasks": tasks}
    context.key = key
    context.answer = context.service.submit_job(context.payload, key, later())


@then("the agent is granted {count:d} attempts")
def step_granted(context, count):
    agent = context.registry.get("w1")
    wait_for(lambda: len(agent.tasks()) == count)


@when("the agent reports each attempt as completed")
def step_complete(context):
    agent = context.registry.get("w1")
    for grant in agent.tasks():
        report = AttemptReport(grant.shard, grant.task_id, grant.attempt, "completed")
        for _ in range(2):  # an agent repeats a report until it is confirmed
            confirmed = context.service.on_report(agent, report)
            assert (confirmed.task_id, confirmed.attempt) == (grant.task_id, grant.attempt)


@then('the job is "{state}"')
def step_state(context, state):
    answer = context.service.query_job(context.answer["job_id"])
    assert answer["state"] == state, answer


@when("the same submission is sent again")
def step_again(context):
    context.second = context.service.submit_job(context.payload, context.key, later())


@then("it is answered with the same job")
def step_same(context):
    assert context.second["job_id"] == context.answer["job_id"]


@when("the store is unavailable")
def step_store_down(context):
    context.plan.outage = True


@when("the store is available again")
def step_store_up(context):
    context.plan.clear()


@then('a submission is refused with "{code}" and outcome "{outcome}"')
def step_refused(context, code, outcome):
    try:
        context.service.submit_job(DOCUMENT, "", later())
    except AcaciastandError as error:
        assert (error.code, error.outcome.value) == (code, outcome), error
    else:
        raise AssertionError("the submission was accepted")


@then("a submission is accepted")
def step_accepted(context):
    wait_for(lambda: not any(owned.store_down for owned in context.service.owned.values()))
    assert context.service.submit_job(DOCUMENT, "", later())["state"] == "waiting"


@when('the next answers of the store are lost until the deadline of a submission with key "{key}"')
def step_answers_lost(context, key):
    context.key = key
    context.plan.add(FaultKind.LOSE_ANSWER, frozenset({CallKind.PUT}), "shards/", 1)
    context.plan.add(FaultKind.UNAVAILABLE, key_prefix="shards/", calls=1_000_000)
    try:
        context.service.submit_job(DOCUMENT, key, later(0.1))
    except AcaciastandError as error:
        context.error = error


@then('the submission ended with outcome "{outcome}"')
def step_outcome(context, outcome):
    assert context.error.outcome.value == outcome, context.error


@then("the same submission is accepted and there is one job")
def step_one_job(context):
    wait_for(lambda: not any(owned.store_down for owned in context.service.owned.values()))
    context.service.submit_job(DOCUMENT, context.key, later())
    jobs = [
        job for owned in context.service.owned.values() for job in owned.shard.committed_state.jobs
    ]
    assert len(jobs) == 1, jobs


@when('the service stops and entry "{entry_id}" starts')
def step_restart(context, entry_id):
    context.service.stop()
    assert not context.service.owned_shards()
    context.service = start_service(context, entry_id)


@then('entry "{entry_id}" owns both shards and knows the job')
def step_knows(context, entry_id):
    assert [owned.epoch for owned in context.service.owned_shards()] == [2, 2]
    assert context.service.query_job(context.answer["job_id"])["state"] == "waiting"


@when("a job that needs {cores:g} cores is submitted")
def step_submit_large(context, cores):
    context.answer = context.service.submit_job({**DOCUMENT, "cores": cores}, "", later())


@then('its answer has the reason "{reason}"')
def step_reason(context, reason):
    assert context.answer["reason"] == reason, context.answer


@then("each agent holds {count:d} buckets of its service within 5 s")
def step_buckets(context, count):
    agents = context.registry.sessions()
    wait_for(lambda: all(len(agent.grants) == count for agent in agents))
    names = {grant.task_id for agent in agents for grant in agent.grants}
    assert names == {f"bucket/desk/{number}" for number in range(32)}


@when("the running job is cancelled")
def step_cancel(context):
    agents = context.registry.sessions()
    wait_for(lambda: any(agent.tasks() for agent in agents))
    answer = context.service.cancel_job(context.answer["job_id"])
    assert answer["state"] == "cancelling", answer


@then("an agent is asked to stop its attempt")
def step_stopped(context):
    agents = context.registry.sessions()
    wait_for(lambda: any(agent.stops for agent in agents))


class BucketLog:
    """Homes of buckets as their agents see them; agents report a stopped bucket at once."""

    def __init__(self, service):
        self.service = service
        self.ended_at = {}
        self.gaps = []
        self.most_without_home = 0
        self.double_homes = []

    def stop(self, agent, message):
        """End the bucket at its home and report it."""
        granted = [grant for grant in agent.grants if grant.task_id == message.task_id]
        if not granted or granted[-1].attempt != message.attempt:
            return  # the stop was repeated
        agent.grants.remove(granted[-1])
        self.ended_at[message.task_id] = time.monotonic()
        shards = Counter(int(name.rpartition("/")[2]) % 2 for name in self.ended_at)
        self.most_without_home = max(self.most_without_home, *shards.values())
        gevent.spawn(self.report, agent, message)

    def report(self, agent, message):
        """Report the stopped bucket as its agent does."""
        report = AttemptReport(message.shard, message.task_id, message.attempt, "stopped")
        self.service.on_report(agent, report)

    def granted(self, agent, message, others):
        """Note a grant of a bucket."""
        name = message.task_id
        if any(name in {grant.task_id for grant in other.grants} for other in others):
            self.double_homes.append(name)
        if name in self.ended_at:
            self.gaps.append(time.monotonic() - self.ended_at.pop(name))


@when('agent "{agent_id}" joins')
def step_join(context, agent_id):
    context.log = log = BucketLog(context.service)
    step_agent(context, agent_id, 8)
    for agent in context.registry.sessions():
        others = [other for other in context.registry.sessions() if other is not agent]
        original = agent.request

        def request(message, seconds, agent=agent, others=others, original=original):
            log.granted(agent, message, others)
            return original(message, seconds)

        agent.request = request
        agent.send = lambda message, agent=agent: log.stop(agent, message)


@then("each agent holds at least {count:d} buckets within 20 s")
def step_rebalanced(context, count):
    agents = context.registry.sessions()
    deadline = time.monotonic() + 20.0
    while not all(len(agent.grants) >= count for agent in agents) or context.log.ended_at:
        bucket_counts = {agent.agent_id: len(agent.grants) for agent in agents}
        assert time.monotonic() < deadline, bucket_counts
        for agent in agents:
            agent.last_heartbeat_sequence += 1
            context.service.on_heartbeat(
                agent, Heartbeat(agent.last_heartbeat_sequence, attempts=agent.attempts)
            )
        gevent.sleep(0.05)


@then("each moved bucket had ended at its former home before, and was without one for under 1 s")
def step_gaps(context):
    assert context.log.gaps and max(context.log.gaps) < 1.0, context.log.gaps
    assert not context.log.double_homes, context.log.double_homes


@then("no shard had more than one bucket of the service without a home")
def step_one_at_a_time(context):
    assert context.log.most_without_home == 1, context.log.most_without_home


@given('an agent "{agent_id}" with {cores:d} cores that keeps {count:d} grants of a shard waiting')
def step_waiting_agent(context, agent_id, cores, count):
    for owned in context.service.owned.values():
        assert owned._sending.size == MAX_SENDING
        owned._sending = Pool(count)  # the real bound needs more tasks than a short test can send
    step_agent(context, agent_id, cores)
    context.begun, context.release = [], Event()
    agent = context.registry.get(agent_id)
    original = agent.request

    def request(message, seconds):
        context.begun.append(message.task_id)
        context.release.wait()
        return original(message, seconds)

    agent.request = request


@then("{count:d} grants wait, and the third follows when they are answered")
def step_grants_wait(context, count):
    wait_for(lambda: len(context.begun) == count)
    gevent.sleep(0.1)  # a third one would be sent within this time
    assert len(context.begun) == count, context.begun
    context.release.set()
    wait_for(lambda: len(context.registry.get("w1").tasks()) == count + 1)


@when("its attempt ends as evicted with a checkpoint of {length:d} bytes")
def step_evicted(context, length):
    agent = context.registry.get("w1")
    wait_for(agent.tasks)
    (grant,) = agent.tasks()
    context.service.on_report(
        agent, AttemptReport(grant.shard, grant.task_id, grant.attempt, "evicted", "c" * length)
    )


@then("the next attempt is granted with a checkpoint of {length:d} bytes")
def step_next_checkpoint(context, length):
    agent = context.registry.get("w1")
    wait_for(lambda: len(agent.tasks()) == 2)
    assert len(agent.tasks()[1].checkpoint) == length, agent.tasks()[1]
