"""Steps for agents that are silent for long, their removal and their return."""

import time
from types import SimpleNamespace
from unittest import mock

import gevent
from behave import given, then, when
from waiting import wait_for
from workflow_support import QUEUES, WorkflowWorld, step

from acaciastand.cluster import agent_registry, clock
from acaciastand.cluster.agent_link import AgentLink
from acaciastand.cluster.agent_registry import AgentRegistry
from acaciastand.cluster.clock import now
from acaciastand.cluster.committer import OwnershipLost
from acaciastand.cluster.keys import (
    AGENTS_PREFIX,
    JOBS_PREFIX,
    OWNER_KEY,
    OwnerRecord,
    encode_fields,
    encode_job,
)
from acaciastand.cluster.members import Registration
from acaciastand.cluster.owner import Owner
from acaciastand.cluster.run_reports import encode_report
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import MemoryTransactionalStore
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.wire.connection import Listener
from acaciastand.wire.messages import OwnerHello, OwnerHelloReply, RunReport
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.job import Job
from acaciastand.workflow.reports import AgentReport, PollPosition
from acaciastand.workflow.scheduler import Scheduler
from acaciastand.workflow.spec import WorkflowSpec

CONNECTED, SILENT = "agent-1", "agent-2"
CLOSED_ADDRESS, NEW_ADDRESS = "127.0.0.1:1", "127.0.0.1:2"
JOB = "00000000000000aa"
SILENCE_SECONDS = 30.0


class ReportingAgent:
    """Accepts connections of owners after a delay, and sends reports over the last one."""

    def __init__(self, stack, delay_seconds=0.0):
        self.delay_seconds = delay_seconds
        self.helloes = 0
        self.listener = Listener("127.0.0.1:0", self._handle)
        self.listener.start()
        stack.callback(self.listener.close)

    def _handle(self, connection, message):
        if isinstance(message, OwnerHello):
            self.helloes += 1
            gevent.sleep(self.delay_seconds)
            gevent.spawn(self._report_forever, connection)
            return OwnerHelloReply(CONNECTED, True, message.epoch)

    def _report_forever(self, connection):
        worker = WorkflowWorld().add_worker(CONNECTED)
        while not connection.closed.is_set():
            connection.send(
                encode_report(AgentReport(worker.identity(), PollPosition(1, 1)), now())
            )
            gevent.sleep(0.3)


def register(context, agent_id, address):
    value = encode_fields([address, "zone-a"])
    context.store.commit({}, {AGENTS_PREFIX + agent_id: value})
    return context.store.get(AGENTS_PREFIX + agent_id)


def is_registered(context, agent_id=SILENT):
    return bool(context.store.get(AGENTS_PREFIX + agent_id).revision)


def claim_ownership(context):
    record = OwnerRecord("entry-1", "10.0.0.1:1", context.store.revision, b"nonce")
    return record, context.store.commit({}, {OWNER_KEY: record.encode()})


def start_owner(context):
    """Let an entry claim the ownership and begin its term."""
    record, fence = claim_ownership(context)
    catalog = Catalog(1, list(QUEUES), ["desk"])
    owner = Owner(
        context.store, record, fence, now(), now(), catalog, 0.4, Metrics(), lambda _: None
    )
    context.stack.callback(owner.stop)
    owner.start()
    wait_for(lambda: owner.is_ready)
    return owner


@given("an owner with a connected agent and one that is gone")
def given_owner(context):
    context.store = MemoryTransactionalStore()
    watch = context.store.watch
    context.store.watch = lambda *call: gevent.sleep(0.05) or watch(*call)
    job = Job(JOB, "checks", WorkflowSpec("", [step()]), 1.0)
    context.store.commit({}, {JOBS_PREFIX + JOB: encode_job(job)})
    context.agent = ReportingAgent(context.stack)
    context.first_item = register(context, CONNECTED, context.agent.listener.address)
    register(context, SILENT, CLOSED_ADDRESS)
    context.owner = start_owner(context)
    wait_for(lambda: context.agent.helloes)


@when("30 seconds pass and the agents are dialled again")
def when_pass(context):
    ahead = SimpleNamespace(
        CLOCK_BOOTTIME=time.CLOCK_BOOTTIME,
        clock_gettime=lambda clock_id: time.clock_gettime(clock_id) + SILENCE_SECONDS,
        time=time.time,
    )
    context.stack.enter_context(mock.patch.object(clock, "time", ahead))
    gevent.sleep(4.0)


@when("another entry takes over")
def when_takes_over(context):
    context.owner.stop()
    context.owner = start_owner(context)


@then("the jobs of the former owner may start within 2 seconds")
def then_may_start(context):
    wait_for(lambda: not context.owner.scheduler.uncertain, "the job may start", 2.0)


@then("the connected agent was never removed")
def then_never_removed(context):
    assert context.store.get(AGENTS_PREFIX + CONNECTED) == context.first_item


@when("the link to a slow agent is stopped while it is dialled")
def when_stopped(context):
    context.slow = ReportingAgent(context.stack, delay_seconds=0.3)
    link = context.owner._make_link("agent-3", context.slow.listener.address)
    wait_for(lambda: context.slow.helloes)
    link.stop()


@then("the slow agent has no connection")
def then_no_connection(context):
    wait_for(lambda: not context.slow.listener.connections, seconds=1.0)
    gevent.sleep(0.5)
    assert context.slow.helloes == 1


def make_silent(context, agent_id):
    context.registry.links[agent_id].failed_dials = 20
    worker = context.registry.scheduler.workers[agent_id]
    worker.has_reported, worker.granted_until = True, now() - SILENCE_SECONDS


@given("a registry with a connected agent and {count:d} that have been silent for long")
def given_registry(context, count):
    context.store = MemoryTransactionalStore()
    _, context.fence = claim_ownership(context)
    context.reports, context.items, context.heartbeat_age = [], {}, 0.0
    context.registry = new_registry(context)
    for number in range(1, count + 2):
        item = register(context, f"agent-{number}", CLOSED_ADDRESS)
        context.registry.add(item, now())
        make_silent(context, f"agent-{number}")
    context.registry.links[CONNECTED].connection = mock.Mock()
    context.link = context.registry.links[SILENT]
    context.commit, context.sent = context.store.commit, []


def new_registry(context):
    metrics = Metrics()
    ignored = IgnoredValues(metrics, now)

    def make_link(agent_id, address):
        return AgentLink(
            agent_id, address, "e", 1, lambda *call: context.reports.append(call), print, ignored
        )

    scheduler = Scheduler()
    return AgentRegistry(context.store, scheduler, context.fence, make_link, metrics, ignored)


@given("a registry with a connected agent and one that has been silent for long")
def given_registry_of_two(context):
    given_registry(context, 1)


@when("the owner removes silent agents")
def when_removes(context):
    context.registry.remove_silent(now() - context.heartbeat_age)


@then("the silent agent is unknown and not registered")
def then_unknown(context):
    then_not_known(context)
    assert not is_registered(context) and not context.registry.removals


@then("a late report over its former link is ignored")
def then_ignored(context):
    assert context.link._handle(mock.Mock(), RunReport()) is None
    assert not context.reports


@when("the silent agent writes its registration")
def when_writes(context):
    settings = SimpleNamespace(dialled_address=CLOSED_ADDRESS, availability_zone="zone-a")
    assert Registration(context.store, AGENTS_PREFIX + SILENT, settings).write()
    when_lists(context)


@when("the owner lists the agents again")
def when_lists(context):
    items = context.store.list(AGENTS_PREFIX).items
    for item in [*items, *context.items.values()]:  # A list may be late.
        context.registry.add(item, None)


@then("the owner knows it with no former runs")
def then_known(context):
    assert context.registry.scheduler.workers[SILENT].has_reported
    assert not context.registry.links[SILENT].is_stopped


@then("the next owner knows it")
def then_next_knows(context):
    record, fence = claim_ownership(context)
    owner = Owner(
        context.store, record, fence, now(), now(), Catalog(), 0.4, Metrics(), lambda _: None
    )
    context.stack.callback(owner.stop)
    assert owner._load() and SILENT in owner.agents.links
    assert not owner.scheduler.workers[SILENT].has_reported


@when("the commit of the removal is {outcome}")
def when_commit(context, outcome):
    context.items = {item.key: item for item in context.store.list(AGENTS_PREFIX).items}

    def fail(*call):
        context.known_when_sent = {*context.registry.links, *context.registry.scheduler.workers}
        context.sent.append(call)
        if outcome == "refused by the store":
            raise StoreUnavailable("refused", "try again")
        if outcome == "unanswered and effective":
            context.commit(*call)
        raise StoreAnswerLost("lost", "read the keys")

    with mock.patch.object(context.store, "commit", fail):
        when_removes(context)


@then("the silent agent was unknown when the commit was sent")
def then_unknown_when_sent(context):
    assert context.known_when_sent == {CONNECTED}


@then("it still does not know the silent agent")
def then_not_known(context):
    registry = context.registry
    assert SILENT not in registry.links and SILENT not in registry.scheduler.workers


@when("the silent agent registers at a new address, which the owner does not see yet")
def when_registers_unseen(context):
    register(context, SILENT, NEW_ADDRESS)


@when("the silent agent registers at a new address")
def when_registers(context):
    context.registry.add(register(context, SILENT, NEW_ADDRESS), None)


@when("the late commit arrives")
def when_late(context):
    for call in context.sent:
        try:
            context.commit(*call)
        except agent_registry.CommitConflict:
            continue
    when_removes(context)


@then("the silent agent is registered and known at its new address")
def then_at_new_address(context):
    assert is_registered(context)
    assert context.registry.links[SILENT].address == NEW_ADDRESS


@then("the silent agent is registered and nothing is left to remove")
def then_left(context):
    assert is_registered(context) and not context.registry.removals


@when("another entry has claimed the ownership")
def when_claimed(context):
    claim_ownership(context)


@then("the removal loses the ownership and the registration stays")
def then_loses(context):
    try:
        when_removes(context)
    except OwnershipLost:
        assert is_registered(context)
    else:
        raise AssertionError("the removal went on")


@when("its grant ended a moment ago")
def when_grant_ended(context):
    context.registry.scheduler.workers[SILENT].granted_until = now() - 10.0


@when("it accepted a connection a moment ago")
def when_accepted(context):
    context.link.reported_at = now() - 10.0


@when("no heartbeat was stored since")
def when_unconfirmed(context):
    context.heartbeat_age = SILENCE_SECONDS


@when("a former owner may have started runs on it")
def when_unreported(context):
    context.registry.scheduler.workers[SILENT].has_reported = False


@when("a run of it is not counted as lost")
def when_run(context):
    context.registry.scheduler.workers[SILENT].leaving_runs[("task", 1)] = mock.Mock()


@when("it was dialled once since the owner's process stood")
def when_dialled_once(context):
    context.link.failed_dials = 1


@when("no agent is connected")
def when_none_connected(context):
    context.registry.links[CONNECTED].connection = None


@then("both agents are known and registered")
def then_kept(context):
    assert set(context.registry.links) == {CONNECTED, SILENT}
    assert set(context.registry.scheduler.workers) == {CONNECTED, SILENT}
    assert is_registered(context) and is_registered(context, CONNECTED)


@when("the owner removes silent agents 3 times while the store refuses commits")
def when_refused(context):
    with mock.patch.object(context.store, "fault", lambda call: "down"):
        when_removes_repeatedly(context)


@when("the owner removes silent agents 3 times")
def when_removes_repeatedly(context):
    with mock.patch.object(context.store, "commit", wraps=context.commit) as commit:
        for _ in range(3):
            when_removes(context)
    context.sent = [call.args for call in commit.call_args_list]


@then("it has dropped {count:d} agents")
def then_dropped(context, count):
    assert len(context.registry.links) == 41 - count


@then("it has dropped 40 agents, none of them registered, with 3 commits of at most 32 keys")
def then_all_dropped(context):
    then_dropped(context, 40)
    assert [item.key for item in context.store.list(AGENTS_PREFIX).items] == [
        AGENTS_PREFIX + CONNECTED
    ]
    assert len(context.sent) == 3
    assert all(len(expected) + len(removes) <= 32 for expected, _, removes in context.sent)


@given("a worker on which two tasks have failed and another one")
def given_failures(context):
    world = context.world = WorkflowWorld()
    world.add_worker("agent-1")
    jobs = [f"{number:016x}" for number in (1, 2)]
    for job_id in jobs:
        world.submit(job_id, "checks", step())
    world.advance(0.2)
    for job_id in jobs:
        world.workers["agent-1"].end(f"{job_id}.0.0.0", "failed")
    world.advance(0.1)
    assert world.scheduler.quarantine.flagged_at
    world.add_worker("agent-2")


@when("the first worker is removed")
def when_worker_removed(context):
    world = context.world
    for task in list(world.scheduler.workers["agent-1"].tasks.values()):
        world.scheduler.mark_lost(task, "grant expired")
    world.scheduler.remove_worker("agent-1")
    world.started.clear()
    world.advance(1.0)


@then("the tasks run on the second worker and none is set aside")
def then_run_elsewhere(context):
    world = context.world
    assert {agent for _, _, agent in world.started} == {"agent-2"}, world.started
    assert len({task for task, _, _ in world.started}) == 2
    assert not world.scheduler.quarantine.flagged_at
