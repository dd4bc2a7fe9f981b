"""Steps for restarts of workers and agents."""

from unittest import mock

import gevent
from behave import given, then, when
from waiting import wait_for
from workflow_support import step

from acaciastand.cluster.agent import Agent
from acaciastand.cluster.agent_link import AgentLink
from acaciastand.cluster.clock import now
from acaciastand.cluster.keys import OWNER_KEY, OwnerRecord
from acaciastand.cluster.settings import JobAgentSettings
from acaciastand.coordination.store import StoreUnavailable
from acaciastand.coordination.transactions import MemoryTransactionalStore
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.wire.connection import Listener, dial
from acaciastand.wire.messages import (
    OwnerHello,
    OwnerHelloReply,
    RunGrant,
    RunReply,
    StartRun,
)
from acaciastand.workflow.reports import StartCommand, StartOutcome

SERVICE = "00000000000000b1"


@given("a service of {count:d} tasks that is started after {seconds:d} seconds")
def given_service(context, count, seconds):
    context.world.advance(float(seconds))
    context.world.submit(
        SERVICE, "watchers", step(count, cores=2.0, continuous=True, max_per_worker=4)
    )
    context.world.advance(0.5)
    assert len(context.world.running()) == count


@when("one worker restarts together with its agent")
def when_both_restart(context):
    worker = context.world.workers["1"]
    worker.restart()
    worker.restart_agent()


@when("one worker restarts 1 second after its agent")
def when_worker_restarts_later(context):
    worker = context.world.workers["1"]
    worker.restart_agent()
    context.world.advance(1.0)
    worker.restart()


@when("a run is stopped before it began and the agent of its worker restarts")
def when_stopped_before(context):
    world = context.world
    task = next(iter(world.scheduler.workers["1"].tasks.values()))
    world.scheduler.request_stop(task, world.now)
    del world.workers["1"].running[task.key]
    world.plan()
    assert task.stop_confirmed_at
    world.workers["1"].restart_agent()


@then("all {count:d} tasks run within {seconds:f} seconds")
def then_all_run(context, count, seconds):
    context.world.advance(seconds)
    assert len(context.world.running()) == count, context.world.running()


@given("the owner's connection to an agent whose clock shows {seconds:d} seconds")
def given_link(context, seconds):
    context.received = []

    def answer(_connection, message):
        if isinstance(message, OwnerHello):
            return OwnerHelloReply("agent-1", True, message.epoch)
        context.received.append(message)
        return RunReply(StartOutcome.REFUSED.value)

    listener = Listener("127.0.0.1:0", answer)
    listener.start()
    context.stack.callback(listener.close)
    context.link = AgentLink(
        "agent-1",
        listener.address,
        "entry-1",
        1,
        lambda *_: RunGrant(),
        lambda _: None,
        IgnoredValues(Metrics(), now),
    )
    context.link._connect()
    context.link.agent_clock = float(seconds)


@when("the connection is made again and the agent has not reported")
def when_connected_again(context):
    context.link._disconnect("closed")
    context.link._connect()
    context.stack.callback(lambda: context.link.connection.close())


@then("a command that is sent is refused by an agent whose clock shows {seconds:d} seconds")
def then_refused(context, seconds):
    context.link.start_run(5_000, StartCommand(f"{SERVICE}.0.0.0", 1))
    (message,) = context.received
    assert isinstance(message, StartRun)
    assert message.not_after < seconds, message.not_after


def start_agent(context, store):
    settings = JobAgentSettings(
        agent_id="agent-1",
        availability_zone="a",
        announce_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        worker_address="127.0.0.1:1",
        store_url="http://127.0.0.1:1",
    )
    agent = context.agent = Agent(settings, store, Metrics())
    running = gevent.spawn(agent.run)
    context.stack.callback(running.join, 2.0)
    context.stack.callback(agent.request_stop)
    wait_for(lambda: agent.listener.server.started)


@given("an agent that starts while the store names an owner of epoch {epoch:d}")
def given_owner_named(context, epoch):
    store = MemoryTransactionalStore()
    store.commit({}, {OWNER_KEY: OwnerRecord("entry-2", "10.0.0.2:1", epoch, b"nonce").encode()})
    start_agent(context, store)


@given("an agent that starts while the store names no owner at revision {revision:d}")
def given_no_owner(context, revision):
    store = MemoryTransactionalStore()
    for _ in range(revision):
        store.commit({}, {OWNER_KEY: b""})
    start_agent(context, store)


@given("an agent that starts while the store is away")
def given_store_away(context):
    store = mock.Mock()
    store.get.side_effect = StoreUnavailable("the store is away", "try again later")
    start_agent(context, store)


@when("an owner of epoch {epoch:d} connects to it")
def when_owner_connects(context, epoch):
    connection = dial(context.agent.listener.address, lambda *_: RunGrant())
    context.stack.callback(connection.close)
    context.reply = connection.request(OwnerHello("entry-1", epoch), 2.0)


@then("the owner is accepted")
def then_accepted(context):
    assert context.reply.accepted


@then("the owner is not accepted")
def then_not_accepted(context):
    assert not context.reply.accepted
