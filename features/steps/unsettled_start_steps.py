"""Steps for statements on starts of a former owner that may still take effect."""

import cbor2
import gevent
from behave import given, then, when
from copies_support import CopyWorld
from lease_support import poll
from machines.copies_machine import CopyAllRuns
from waiting import raise_error
from workflow_support import WorkflowWorld, step

from acaciastand.cluster.clock import now
from acaciastand.cluster.run_reports import MAX_UNSETTLED_STARTS, decode_report, encode_report
from acaciastand.platform.http import CallTimedOut
from acaciastand.wire.codec import decode, encode
from acaciastand.workflow.job import TaskState
from acaciastand.workflow.reports import (
    AgentReport,
    PollPosition,
    StartCommand,
    WorkerIdentity,
)
from acaciastand.workflow.worker import LeavingRun

FIRST = "00000000000000aa.0.0.0"  # The task that the agent of `lease_support` starts.
OTHER = "00000000000000bb.0.0.0"
UNSETTLED = AgentReport(None, settled=False, unsettled_starts=[(FIRST, 1)])


def frame_of(report):
    return cbor2.loads(encode(encode_report(report, 1.0)))


def receive(frame, on_ignored=raise_error):
    return decode_report(decode(cbor2.dumps(frame)).message, on_ignored)


def report_as(context, report):
    """Let the reports of worker 1 tell the same as `report` of the starts of former owners."""
    context.world.workers["1"].report_changes = {
        "settled": report.settled,
        "unsettled_starts": report.unsettled_starts,
    }
    context.world.advance(0.5)


def started(context):
    return sorted(task for task, _, _ in context.world.started)


def new_owner(context):
    context.world = world = WorkflowWorld(has_reported=False)
    for agent_id, cores in (("1", 0.5), ("2", 16.0)):  # Nothing new fits on worker 1.
        world.add_worker(agent_id, cores)
        world.scheduler.workers[agent_id].has_reported = agent_id != "1"
    return world


@given("two jobs that a former owner may have started")
def given_two_jobs(context):
    world = new_owner(context)
    for key in (FIRST, OTHER):
        world.submit(key.partition(".")[0], "checks", step(seconds=60.0), certain=False)


@given("a gang that a former owner may have started")
def given_gang(context):
    world = new_owner(context)
    world.submit(FIRST.partition(".")[0], "plans", step(3, seconds=60.0, gang=True), certain=False)


@when("the agent reports to the new owner after its next poll")
def when_agent_reports(context):
    poll(context)
    when_agent_reports_early(context)


@when("the agent reports to the new owner before its next poll")
def when_agent_reports_early(context):
    identity = WorkerIdentity("w-1", context.worker.born_ms, "desk", "10.0.0.1:1")
    context.controller.apply_announcement(identity, 1)
    report_as(context, receive(frame_of(context.controller.report())))


@when("that owner starts the other task without an answer and is succeeded")
def when_succeeded(context):
    context.starting.join(2.0)
    poll(context)
    context.worker.errors.append(CallTimedOut("no answer", "repeat the call"))
    command = StartCommand(OTHER, 1)
    starting = gevent.spawn(context.controller.start, command, now() + 1.0, 2)
    context.stack.callback(starting.kill)
    gevent.sleep(0.02)
    assert context.worker.starts == 2
    context.controller.begin_epoch(3)


@when("the worker accepts the stop")
def when_accepts(context):
    context.worker.answers_stops = True
    context.starting.join(2.0)
    context.controller.stop(FIRST, 1, float("inf"))


@when("the agent of {version} version {reports} starts")
def when_not_named(context, version, reports):
    report, frame = UNSETTLED, frame_of(UNSETTLED)
    if version == "the former":
        frame.pop()
    elif "odd row" in reports:
        frame[-1].append(["no task", 1])
    elif "more than" in reports:
        starts = [(FIRST, run) for run in range(MAX_UNSETTLED_STARTS + 1)]
        frame = frame_of(report.replace(unsettled_starts=starts))
        assert not frame[-1], frame
    else:
        worker = context.world.workers["1"]
        worker.max_listed_ends = 0
    report_as(context, receive(frame, lambda _: None))


@when("the agent names the start of the first task as unsettled")
def when_named(context):
    report_as(context, receive(frame_of(UNSETTLED)))


@when("the worker carries the start out")
def when_carried_out(context):
    context.world.workers["1"].running[FIRST] = 1
    context.world.advance(0.5)


@when("the start has settled")
def when_settled(context):
    report_as(context, receive(frame_of(AgentReport(None))))


@when("the start is lost with the lease of the worker")
def when_lapsed(context):
    worker = context.world.workers["1"]
    worker.report_changes = {"position": PollPosition(), "lapsed": True, "silent": True}
    context.world.advance(0.5)


@when("the start is lost with the grant of a silent agent")
def when_grant_expired(context):
    context.world.scheduler.workers["1"].reachable = False
    context.world.advance(3.0)
    assert started(context) == [OTHER]
    context.world.advance(2.0)


@given("a running task that may have copies, and a start of it that has not settled")
def given_copied(context):
    world = context.world = CopyWorld(CopyAllRuns(), has_reported=False)
    steps = step(seconds=60.0, speculative=True)
    world.submit(FIRST.partition(".")[0], "checks", steps, certain=False)
    for agent_id in ("1", "2", "3"):
        world.add_worker(agent_id)
        world.scheduler.workers[agent_id].has_reported = agent_id != "1"
    world.workers["2"].running[FIRST] = 2
    world.workers["2"].started_at[FIRST] = world.now
    when_named(context)


@when("its run fails")
def when_fails(context):
    context.world.workers["2"].end(FIRST, "failed")
    context.world.advance(0.5)


@then("only the task of the other job starts")
def then_only_other(context):
    assert started(context) == [OTHER], started(context)


@then("nothing starts")
def then_nothing(context):
    context.world.advance(0.5)
    assert not context.world.started, context.world.started


@then("both tasks have started once")
def then_both(context):
    assert started(context) == [FIRST, OTHER], started(context)


@then("all members of the gang have started together and nothing else runs")
def then_gang(context):
    world = context.world
    assert len({run for _, run, _ in world.started}) == 1 and len(world.started) == 3, world.started
    assert set(world.running().values()) == {"2"}, world.running()


@then("the task runs again")
def then_runs_again(context):
    assert started(context)[:1] == [FIRST]


@then("the late run is the run of the first task")
def then_late_run(context):
    task = context.world.scheduler.find_task(FIRST)
    assert (task.run, task.agent_id) == (1, "1")


@then("the report without its last field is not settled")
def then_former_owner(context):
    report = receive(frame_of(UNSETTLED)[:-1])
    assert not report.settled and not report.unsettled_starts


@given("a worker on which a task has {what}, and a sibling that may not run beside it")
def given_sibling(context, what):
    context.world = world = WorkflowWorld()
    world.add_worker("1")
    job = world.submit(FIRST.partition(".")[0], "checks", step(2, max_per_worker=1))
    view, task = world.scheduler.workers["1"], job.tasks[FIRST]
    if "being stopped" in what:
        view.leaving_runs[(FIRST, 1)] = LeavingRun(task.step.reserved, world.now + 60.0)
        return
    view.unsettled_starts.add((FIRST, 1))
    world.scheduler.forget_waiting(task)
    task.state = TaskState.UNCERTAIN
    world.scheduler.uncertain[FIRST] = task


@when("the sibling could start")
def when_sibling(context):
    context.world.plan()


@then("it does not start on that worker")
def then_no_sibling(context):
    assert not context.world.started, context.world.started
