"""Steps for runs that the owner did not start or no longer tracks."""

from behave import given, then, when
from takeover_support import JOB, TakeoverWorld
from workflow_support import WorkflowWorld, step

from acaciastand.cluster.keys import JOBS_PREFIX, PROGRESS_PREFIX, encode_job, encode_progress
from acaciastand.workflow.job import Job
from acaciastand.workflow.spec import WorkflowSpec

TASK = f"{JOB}.0.0.0"


@given("workers of 5 and 16 cores that ignore stops")
def given_workers(context):
    world = context.world = WorkflowWorld()
    world.add_worker("1", cores=5.0)
    world.add_worker("2", cores=16.0)
    world.ignored_stops = {"1", "2"}


def place_run(context, task, agent_id, run):
    worker = context.world.workers[agent_id]
    worker.running[task] = run
    worker.started_at[task] = context.world.now


def run_of_waiting_task(context):
    context.world.submit(JOB, "checks", step(cores=5.0, seconds=60.0))
    place_run(context, TASK, "1", 1)


def run_of_waiting_gang(context):
    context.world.submit(JOB, "checks", step(3, cores=5.0, seconds=60.0, gang=True))
    place_run(context, TASK, "1", 1)


def run_of_scheduled_job(context):
    due = {"repeats": 1, "first_due_unix": context.world.now_unix + 1.0}
    context.world.submit(JOB, "checks", step(cores=5.0, seconds=60.0), **due)
    place_run(context, TASK, "1", 1)


def second_of_two_runs(context):
    world = context.world
    world.submit(JOB, "checks", step(cores=5.0, seconds=60.0))
    world.scheduler.workers["1"].reachable = False
    world.advance(0.3)
    place_run(context, TASK, "1", 2)
    world.scheduler.workers["1"].reachable = True
    world.advance(0.3)
    world.workers["2"].running.clear()
    world.workers["2"].restart()


PLACED = {
    "a run of a task that waits": run_of_waiting_task,
    "a run of one member of a gang that waits": run_of_waiting_gang,
    "a run of a scheduled job that is not yet due": run_of_scheduled_job,
    "the second of two runs, while the first is lost": second_of_two_runs,
}


@given("worker 1 has {what}")
def given_run(context, what):
    PLACED[what](context)


@when("{seconds:d} seconds pass")
def when_pass(context, seconds):
    context.twice = set()
    for _ in range(seconds * 10):
        context.world.advance(0.1)
        context.twice |= tasks_with_two_runs(context.world)


def tasks_with_two_runs(world):
    keys = [key for worker in world.workers.values() for key in worker.running]
    return {key for key in keys if keys.count(key) > 1}


@when("worker 1 takes stops again and {seconds:d} seconds pass")
def when_stops(context, seconds):
    context.world.ignored_stops = set()
    when_pass(context, seconds)


@when("worker 1 is cut off and {seconds:d} seconds pass")
def when_cut_off(context, seconds):
    context.world.report_all()
    context.world.scheduler.workers["1"].reachable = False
    context.world.advance(float(seconds))


@then("no task has two runs")
def then_not_twice(context):
    assert not context.twice, (context.twice, context.world.started)


@then("each task runs once")
def then_once(context):
    assert not context.twice, (context.twice, context.world.started)
    tasks = context.world.scheduler.jobs[JOB].tasks
    assert context.world.running().keys() == tasks.keys(), context.world.running()


@then("its task runs on worker 2")
def then_elsewhere(context):
    assert TASK in context.world.workers["2"].running, context.world.started


@given("a stored job whose run 1 is stored as ended and is at work on worker 1")
def given_stored(context):
    world = context.world = TakeoverWorld()
    job = Job(JOB, "checks", WorkflowSpec("text", [step(seconds=60.0)]), world.now_unix)
    job.tasks[TASK].run = 1
    job.tasks[TASK].ended_runs = {1}
    puts = {
        JOBS_PREFIX + JOB: encode_job(job),
        PROGRESS_PREFIX + JOB: encode_progress(job.progress()),
    }
    world.store.commit({}, puts)


@when("a new owner takes over and {seconds:d} seconds pass")
def when_takes_over(context, seconds):
    world = context.world
    world.take_over()
    for agent_id in ("1", "2"):
        world.add_worker(agent_id, unresponsive=True)
    place_run(context, TASK, "1", 1)
    world.reconnect()
    world.advance(float(seconds))


@then("the run goes on and nothing else starts")
def then_goes_on(context):
    world = context.world
    assert world.running() == {TASK: "1"}, world.running()
    assert not world.started and not world.stopped, (world.started, world.stopped)
