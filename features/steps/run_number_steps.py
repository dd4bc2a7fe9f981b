"""Steps for the numbers of runs that owners in a row give to one task."""

from behave import given, then, when
from takeover_support import JOB, TakeoverWorld
from workflow_support import step

from acaciastand.workflow.reports import StartOutcome

TASK = f"{JOB}.0.0.0"
GRANT_SECONDS = 6.0  # Time after which the grant of a silent agent is over.


@given("an owner that starts a task on worker 1 and is lost before it stores that")
def given_first_owner(context):
    world = context.world = TakeoverWorld()
    world.take_over()
    world.add_worker("1")
    world.add_worker("2", unresponsive=True)
    world.submit_stored("checks", step(seconds=60.0))
    world.advance(0.3)
    assert world.running() == {TASK: "1"}


@given("a second owner that waits for worker 1, which is cut off, and starts the task on worker 2")
def given_second_owner(context):
    world = context.world
    world.cut_off = {"1"}
    world.take_over()
    world.advance(GRANT_SECONDS)
    assert world.started[-1][2] == "2", world.started
    world.store_progress()


@when("worker 1 reports that its run has lapsed, and a third owner follows")
def when_third_owner(context):
    world = context.world
    world.workers["1"].end(TASK, "lapsed")
    world.cut_off = set()
    world.reconnect()
    world.advance(0.5)
    world.store_progress()
    world.take_over()


@then("the run on worker 2 goes on and nothing else starts")
def then_goes_on(context):
    world = context.world
    starts = len(world.started)
    world.advance(3.0)
    assert world.running() == {TASK: "2"}, world.running()
    assert len(world.started) == starts and not world.stopped, (world.started, world.stopped)


@when("both runs {event}, and a third owner hears of the second one only")
def when_both(context, event):
    world = context.world
    world.cut_off = set()
    world.reconnect()
    for agent_id, follows in (("1", True), ("2", False)):
        worker = world.workers[agent_id]
        if event == "fail":
            worker.end(TASK, "failed")
            world.report(agent_id)
        else:
            world.crash(agent_id)
            world.report(agent_id, crashes=[worker.crash_report])
        world.store_progress()
        if follows:
            world.take_over()


@then("the task has 2 {entries}")
def then_two(context, entries):
    task = context.world.job.tasks[TASK]
    counts = {"failures": task.failures, "crashes": len(task.crashes)}
    assert counts[entries] == 2, counts


@given("{owners:d} owners in a row, each of which starts a task and is lost before it stores that")
def given_owners(context, owners):
    world = context.world = TakeoverWorld()
    world.take_over()
    for number in range(owners):
        world.add_worker(str(number), unresponsive=True)
    world.submit_stored("checks", step(seconds=60.0))
    for number in range(owners):
        if number:
            world.take_over()
        world.cut_off = set(world.workers) - {str(number)}
        world.reconnect()
        world.advance(GRANT_SECONDS)
    assert len(world.started) == owners, world.started


@then("each start had a higher number than those before")
def then_rising(context):
    numbers = [run for _, run, _ in context.world.started]
    assert numbers == sorted(set(numbers)), numbers


@given("an owner whose starts are all refused while it stores nothing for {seconds:d} seconds")
def given_refusals(context, seconds):
    world = context.world = TakeoverWorld()
    world.take_over()
    world.add_worker("1")
    world.refusals["1"] = StartOutcome.REFUSED
    world.submit_stored("checks", step(seconds=60.0))
    world.advance(float(seconds))
    assert world.started


@when("the next owner starts the task")
def when_next_owner(context):
    world = context.world
    world.refusals.clear()
    world.take_over()
    world.advance(1.0)
    assert world.running() == {TASK: "1"}, world.started


@then("the first start had number 1")
def then_first(context):
    assert context.world.started[0][1] == 1, context.world.started
