"""Steps for workers that crash before they have answered the start of a task."""

from behave import given, then, when
from takeover_support import JOB, TakeoverWorld
from workflow_support import step

from acaciastand.workflow.job import TaskState
from acaciastand.workflow.reports import CrashedRun, PollPosition, StartOutcome, WorkerCrash

TASK = f"{JOB}.0.0.0"


@given("6 workers that leave starts unanswered")
def given_workers(context):
    world = context.world = TakeoverWorld()
    world.take_over()
    for number in range(6):
        world.add_worker(str(number))
        world.refusals[str(number)] = StartOutcome.UNKNOWN
    world.submit_stored("plans", step(seconds=60.0))


def crash_next(world, seconds, confirmed):
    """Let the worker of the next start crash, and restart with its lease over."""
    starts = len(world.started)
    while len(world.started) == starts and not world.job.failed:
        world.advance(0.1)
    if world.job.failed:
        return
    _, run, agent_id = world.started[-1]
    worker = world.workers[agent_id]
    crash = WorkerCrash(worker.born_ms, [CrashedRun(TASK, run, seconds, confirmed)])
    worker.restart()
    world.report(
        agent_id, position=PollPosition(), running=[], lapsed=True, silent=True, crashes=[crash]
    )
    world.store_progress()


@when("{count:d} of them crash {seconds:f} seconds after they got the start of a task, {owner}")
def when_crash(context, count, seconds, owner):
    for _ in range(count):
        crash_next(context.world, seconds, confirmed=False)
        if "another" in owner:
            context.world.take_over()


@when("the other workers answer starts")
def when_answered(context):
    context.world.refusals.clear()


@when("{count:d} of them crash {seconds:f} seconds after they began the task")
def when_crash_after_begin(context, count, seconds):
    for _ in range(count):
        crash_next(context.world, seconds, confirmed=True)


@then("the task is running")
def then_running(context):
    context.world.advance(6.0)
    task = context.world.job.tasks[TASK]
    assert task.state is TaskState.RUNNING, (task.state, context.world.job.state)


@then("the task is given up")
def then_given_up(context):
    assert context.world.job.failed, context.world.job.tasks[TASK].state
