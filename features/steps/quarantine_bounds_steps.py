"""Steps for bounds of the time for which quarantine and isolation hold tasks back."""

from behave import given, then, when
from quarantine_support import CORES, add_workers, fill_others
from workflow_support import step

from acaciastand.workflow.crashes import TaskCrash
from acaciastand.workflow.worker import Standing

LASTING = f"{0xAA:016x}.0.0.0"


def start_batch(world, count, seconds):
    world.withhold_others(True)
    for number in range(count):
        world.submit(f"{0x50 + number:016x}", "plans", step(1, 1.0, seconds=500.0))
    world.advance(seconds)
    world.withhold_others(False)
    return [key for key in world.workers["1"].running if key[:16] >= f"{0x50:016x}"]


def fail_runs(context, keys):
    for key in keys:
        context.world.workers["1"].end(key, "failed")
    context.world.advance(0.1)
    assert context.world.scheduler.workers["1"].standing is Standing.QUARANTINED


def submit_lasting(context, cores=2.0):
    job = context.world.submit(f"{0xAA:016x}", "watchers", step(1, cores, continuous=True))
    context.submitted_at, context.begun_at = context.world.now, None
    return job


def advance_watching(context, seconds):
    for _ in range(round(seconds * 10)):
        context.world.advance(0.1)
        if context.begun_at is None and LASTING in context.world.running():
            context.begun_at = context.world.now


@given("worker 1 of 3 is in quarantine with 10 runs that began before, and the others are full")
def given_runs_before(context):
    world = add_workers(context, 3)
    keys = start_batch(world, 12, 5.0)
    fill_others(world)
    fail_runs(context, keys[:2])
    context.keys = keys[2:]


@when("a task that lasts and has lost its worker waits while a run fails every 0.8 seconds")
def when_runs_fail(context):
    job = submit_lasting(context)
    job.tasks[LASTING].crashes = [TaskCrash(1, 20.0)]
    for key in context.keys:
        context.world.workers["1"].end(key, "failed")
        advance_watching(context, 0.8)
    advance_watching(context, 3.0)


@then("the task that lasts runs within {seconds:d} seconds")
def then_lasting_runs(context, seconds):
    assert context.begun_at is not None, "it never ran"
    waited = context.begun_at - context.submitted_at
    assert waited <= seconds, waited


@given("worker 1 of 3 is in quarantine, it alone holds large tasks, and the others are full")
def given_large(context):
    world = add_workers(context, 3, memory_mb=8_000)
    keys = start_batch(world, 2, 0.3)
    fill_others(world)
    fail_runs(context, keys)
    for key in keys:
        world.scheduler.cancel_job(key[:16], world.now, world.now_unix)


@when("a task that lasts waits while a large task is submitted and fails every 0.5 seconds")
def when_stream(context):
    submit_lasting(context)
    for number in range(40):
        job_id = f"{0x100 + number:016x}"
        context.world.hopeless.add(job_id)
        context.world.submit(job_id, "checks", step(1, 1.0, memory_mb=10_000))
        advance_watching(context, 0.5)


@given("worker 1 of 3 fails all that it starts for 6 seconds, and the others are away")
def given_broken(context):
    world = add_workers(context, 3)
    world.failing = {"1"}
    for view in world.others():
        view.reachable = False


@when("12 jobs of tasks with 3 attempts are submitted")
def when_jobs(context):
    context.jobs = [
        context.world.submit(f"{0x20 + number:016x}", "checks", step(1, 1.0))
        for number in range(12)
    ]
    context.world.advance(6.0)
    context.world.failing = set()
    context.world.advance(14.0)


@then("none of the 12 jobs has failed after 20 seconds")
def then_none_failed(context):
    states = [job.state.value for job in context.jobs]
    assert "failed" not in states, states


@given("runs of two jobs have failed on worker 1 of 3 after 8 seconds, and the others are full")
def given_late_failures(context):
    world = add_workers(context, 3)
    keys = start_batch(world, 2, 8.0)
    fill_others(world)
    fail_runs(context, keys)
    for key in keys:
        world.scheduler.cancel_job(key[:16], world.now, world.now_unix)


@when("a task that lasts is its probe and 5 other jobs are submitted")
def when_long_probe(context):
    submit_lasting(context)
    advance_watching(context, 2.0)
    assert context.begun_at is not None
    context.jobs = [
        context.world.submit(f"{0x200 + number:016x}", "checks", step(1, 1.0))
        for number in range(5)
    ]


@then("the 5 jobs have begun within {seconds:d} seconds")
def then_begun(context, seconds):
    context.world.advance(seconds)
    begun = sum(task.has_begun for job in context.jobs for task in job.tasks.values())
    assert begun == len(context.jobs), begun


@given("6 workers on which all runs of two jobs fail")
def given_hopeless(context):
    world = add_workers(context, 6)
    for number in (0x30, 0x31):
        job_id = f"{number:016x}"
        world.hopeless.add(job_id)
        world.submit(job_id, "plans", step(48, 1.0))
    world.advance(0.3)


@when("other tasks are submitted for {seconds:d} seconds")
def when_others(context, seconds):
    for number in range(5 * seconds):
        job_id = f"{0x300 + number:016x}"
        context.world.submit(job_id, "plans", step(6, 1.0, seconds=0.5))
        context.world.advance(0.2)


@then("all of these workers are trusted and ran other tasks")
def then_all_trusted(context):
    standings = {view.standing for view in context.world.scheduler.workers.values()}
    assert standings == {Standing.TRUSTED}, standings
    agents = {agent for key, _, agent in context.world.started if key[:16] >= f"{0x300:016x}"}
    assert agents == set(context.world.workers), agents


@given("8 tasks that last have just started on a worker, and one other has room for them")
def given_just_started(context):
    world = add_workers(context, 1)
    for number in range(8):
        world.submit(f"{0x40 + number:016x}", "watchers", step(1, 1.0, continuous=True))
    world.advance(0.8)
    assert len(world.workers["1"].running) == 8
    world.add_worker("2", CORES)


@when("the worker crashes for good")
def when_crash(context):
    context.world.crash("1", 0.1)
    context.world.scheduler.workers["1"].reachable = True
    while context.world.scheduler.workers["1"].tasks:
        context.world.advance(0.1)
    context.world.scheduler.workers["1"].starts_withheld = True


@then("all of them run on the other within {seconds:d} seconds of the report of the crash")
def then_run_on_other(context, seconds):
    context.world.advance(seconds)
    assert len(context.world.workers["2"].running) == 8, len(context.world.workers["2"].running)
