"""Steps for leases of runs at workers that restart."""

from unittest import mock

import gevent
from behave import given, then, when
from lease_support import ClockedWorker, poll, start
from machines.lease_machine import LeaseMachine
from machines.running import violation_of
from waiting import wait_for
from workflow_support import WorkflowWorld, step

from acaciastand.cluster import owner as owner_module
from acaciastand.cluster.clock import now
from acaciastand.cluster.keys import OwnerRecord
from acaciastand.cluster.owner import Owner
from acaciastand.cluster.worker_controller import WorkerController
from acaciastand.coordination.transactions import MemoryTransactionalStore
from acaciastand.platform.http import CallNotSent, CallTimedOut
from acaciastand.platform.tasks import WorkerChanged
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.reports import WorkerIdentity

MAX_LEASE_SECONDS = 10.0
ERRORS = {
    "is not answered": CallTimedOut("no answer", "poll again"),
    "is refused": CallNotSent("refused", "check that it is running"),
    "meets another id of the worker": WorkerChanged("restarted", "wait"),
}


@given("an agent whose worker's clock shows {seconds:d} seconds")
def given_agent(context, seconds):
    context.worker = ClockedWorker(float(seconds))
    context.controller = WorkerController(
        "10.0.0.1:1", 1, lambda: None, Metrics(), MAX_LEASE_SECONDS
    )
    context.controller.client = context.worker
    context.controller.grant_until = now() + 30.0
    for _ in range(2):
        poll(context)


@when("its worker announces a new incarnation whose clock shows 0 seconds")
def when_announced(context):
    context.worker.restart()
    identity = WorkerIdentity("w-1", context.worker.born_ms, "desk", "10.0.0.1:1")
    context.controller.apply_announcement(identity, 1)


@when("a start for the new incarnation is commanded")
def when_start(context):
    context.starting = start(context)
    gevent.sleep(0.2)


@when("a start is not answered and the worker restarts silently")
def when_start_lost(context):
    context.worker.errors.append(CallTimedOut("no answer", "repeat the call"))
    context.starting = start(context)
    gevent.sleep(0.01)
    context.worker.restart()


@when("a poll {failed} and the worker restarts silently")
def when_poll_failed(context, failed):
    context.worker.errors.append(ERRORS[failed])
    poll(context)
    context.worker.restart()
    poll(context)
    poll(context)


@when("a poll is answered")
def when_poll(context):
    assert poll(context) is None


@when("the worker restarts silently between two polls")
def when_restarts_between(context):
    context.worker.restart()
    poll(context)


@when("the worker refuses connections for {seconds:f} seconds and comes back in a new incarnation")
def when_refuses(context, seconds):
    end = now() + seconds
    while now() < end:
        context.worker.errors.append(ERRORS["is refused"])
        poll(context)
        gevent.sleep(0.1)
    context.worker.restart()
    poll(context)


@when("a new incarnation is announced while a poll is on its way")
def when_announced_meanwhile(context):
    context.worker.during_poll = lambda: when_announced(context)
    context.error = poll(context)
    context.worker.during_poll = lambda: None


@then("the poll fails and the agent follows the new incarnation")
def then_poll_fails(context):
    assert context.error is not None
    assert context.controller.born_ms == context.worker.born_ms


@then("no call has carried a lease of more than {seconds:f} seconds")
def then_no_long_lease(context, seconds):
    assert all(lease <= seconds for lease in context.worker.leases), context.worker.leases


@then("the start is sent with a lease of at most {seconds:f} seconds")
def then_start_sent(context, seconds):
    wait_for(lambda: context.worker.starts, "the start", 1.0)
    then_no_long_lease(context, seconds)


@then('the start has been sent once and its outcome is "{outcome}"')
def then_sent_once(context, outcome):
    assert context.starting.get(timeout=2.0).value == outcome
    assert context.worker.starts == 1, context.worker.starts


@then("the start has been sent once within {seconds:f} seconds")
def then_sent_once_within(context, seconds):
    gevent.sleep(seconds)
    assert context.worker.starts == 1, context.worker.starts


@then("the agent reports that runs can be alive for {least:f} to {most:f} seconds")
def then_reports(context, least, most):
    context.report = context.controller.report()
    assert least <= context.report.alive_seconds <= most, context.report.alive_seconds


@then("an owner that gets this report waits as long before it takes the runs for lost")
def then_owner_waits(context):
    record = OwnerRecord("entry-1", "10.0.0.1:1", 1, b"nonce")
    owner = Owner(
        MemoryTransactionalStore(),
        record,
        1,
        now(),
        now(),
        Catalog(),
        0.4,
        Metrics(),
        lambda _: None,
    )
    world = WorkflowWorld()
    owner.scheduler = world.scheduler
    world.add_worker("1")
    world.submit("00000000000000aa", "checks", step(seconds=60.0))
    world.plan()
    (task,) = world.scheduler.workers["1"].tasks.values()
    link = mock.Mock(agent_id="1")
    report = context.report.replace(identity=world.workers["1"].identity())
    with mock.patch.object(owner_module, "now", lambda: world.now):
        owner.confirmed_at = world.now
        owner._handle_report(link, report)
    world.scheduler.workers["1"].reachable = False
    for after, is_lost in ((report.alive_seconds, False), (report.alive_seconds + 0.4, True)):
        world.scheduler._check_grants(world.now + after, world.now + after)
        assert (not task.agent_id) == is_lost, (after, task.agent_id)


@given("workers that restart, lose calls and carry out calls late by seed {seed:d}")
def given_machine(context, seed):
    context.seed = seed


@when("their agents poll them and start runs for {examples:d} runs of {steps:d} steps")
def when_machine(context, examples, steps):
    context.violation = violation_of(LeaseMachine, context.seed, examples, steps)


@then("no lease at a worker ends after the time that its agent reports")
def then_no_violation(context):
    assert context.violation is None, context.violation
