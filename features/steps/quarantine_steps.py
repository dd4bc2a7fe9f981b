"""Steps for workers that fail what they start, and for the use that is made of them."""

from behave import given, then, when
from workflow_support import WorkflowWorld, step

from acaciastand.workflow.job import TaskState

JOB = "00000000000000aa"
CORES = 16.0


def add_workers(context, count):
    context.world = WorkflowWorld()
    for number in range(count):
        context.world.add_worker(str(number + 1), CORES)


def fail_jobs(world, agent_id, jobs=6):
    """Have runs of some jobs on a worker fail within one report."""
    others = [view for view in world.scheduler.workers.values() if view.agent_id != agent_id]
    for view in others:
        view.starts_withheld = True
    for number in range(jobs):
        world.submit(f"{number:016x}", "checks", step(1, 1.0))
    world.plan()
    assert len(world.workers[agent_id].running) == jobs
    for key in list(world.workers[agent_id].running):
        world.workers[agent_id].end(key, "failed")
    world.report(agent_id)
    for number in range(jobs):
        world.scheduler.cancel_job(f"{number:016x}", world.now, world.now_unix)
    for view in others:
        view.starts_withheld = False
    world.plan()


@given("worker 1 of {count:d} has failed 6 runs of different jobs at once and is sound again")
def given_sound_again(context, count):
    add_workers(context, count)
    fail_jobs(context.world, "1")


@given("the others are away")
def given_others(context):
    for view in context.world.scheduler.workers.values():
        view.reachable = view.agent_id == "1"


@when("{count:d} tasks that last are submitted")
def when_lasting(context, count):
    context.job = context.world.submit(JOB, "watchers", step(count, 1.0, continuous=True))


@then("all of them run within {seconds:d} seconds")
def then_all_run(context, seconds):
    context.world.advance(seconds)
    states = {task.state for task in context.job.tasks.values()}
    assert states == {TaskState.RUNNING}, states
