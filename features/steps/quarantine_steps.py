"""Steps for workers that fail what they start, and for the use that is made of them."""

from behave import given, then, when
from machines.failure_attribution_machine import JobSchedulerRulesMachine
from machines.running import violation_of
from quarantine_support import JOB, add_workers, fail_jobs, fill_others
from workflow_support import QUEUES, step

from acaciastand.workflow.advice import Advice
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.crashes import TaskCrash
from acaciastand.workflow.job import TaskState
from acaciastand.workflow.worker import Standing

TASK = f"{JOB}.0.0.0"
ADVISED = Queue("advised", "h", "/advised/", "desk", 0, 3, 2.0, 1.0, True, 0.02, 0.002)
EXAMPLES, STEPS = 60, 40


def batch(count=1, cores=2.0, **fields):
    return step(count, cores, uses_leftover=True, **fields)


KINDS = {
    "task that lasts": ("watchers", step(1, 4.0, continuous=True)),
    "task": ("checks", step(1, 4.0)),
    "batch task": ("plans", batch(1, 4.0)),
    "gang": ("checks", step(3, 4.0, gang=True)),
    "task that has failed": ("checks", step(1, 4.0)),
    "suspect of a crash": ("watchers", step(1, 4.0, continuous=True)),
}


@given("worker 1 of {count:d} has failed 6 runs of different jobs at once and is sound again")
def given_sound_again(context, count):
    add_workers(context, count)
    fail_jobs(context.world, "1")


@given("the others are {other}")
def given_others(context, other):
    if other == "full":
        return fill_others(context.world)
    for view in context.world.others():
        view.reachable = False


@when("a {kind} is submitted")
def when_submitted(context, kind):
    queue, step_spec = KINDS[kind]
    context.job = context.world.submit(JOB, queue, step_spec)
    task = context.job.tasks[TASK]
    if kind == "task that has failed":
        task.failures = 1
        task.avoided_agent_id = "1"
    if kind == "suspect of a crash":
        task.crashes = [TaskCrash(1, 0.1, suspected=True)]


@then("it starts within {seconds:d} seconds")
def then_starts(context, seconds):
    context.world.advance(seconds)
    assert context.job.tasks[TASK].has_begun, context.world.started


@when("{count:d} tasks that last are submitted")
def when_lasting(context, count):
    context.job = context.world.submit(JOB, "watchers", step(count, 1.0, continuous=True))


@then("all of them run within {seconds:d} seconds")
def then_all_run(context, seconds):
    context.world.advance(seconds)
    states = {task.state for task in context.job.tasks.values()}
    assert states == {TaskState.RUNNING}, states


@when("batch tasks are submitted for {seconds:d} seconds")
def when_batch_tasks(context, seconds):
    for number in range(10 * seconds):
        context.world.submit(f"{number + 100:016x}", "plans", batch(seconds=0.8))
        context.world.advance(0.1)


@then("worker {number} is {standing:w}")
def then_standing(context, number, standing):
    assert context.world.standing(number) is Standing(standing)


@then("worker {number} is trusted again")
def then_trusted(context, number):
    context.world.advance(0.2)
    assert context.world.standing(number) is Standing.TRUSTED


@then("one task had been started there before it was trusted")
def then_one_probe(context):
    world = context.world
    (trusted,) = [d for d in world.scheduler.decisions if d.what == "worker trusted again"]
    starts = [
        d
        for d in world.scheduler.decisions[: world.scheduler.decisions.index(trusted)]
        if d.what == "start" and d.inputs["agent"] == "1" and d.subject >= f"{100:016x}"
    ]
    assert len(starts) == 1, starts


@given("worker 1 of 3 fails all that it starts")
def given_broken(context):
    add_workers(context, 3)
    context.world.failing.add("1")


@when("batch jobs are submitted for {seconds:d} seconds")
def when_batch_jobs(context, seconds):
    context.jobs = []
    for number in range(2 * seconds):
        job = context.world.submit(f"{number + 100:016x}", "plans", batch(2, seconds=0.5))
        context.jobs.append(job)
        context.world.advance(0.5)


@then("no job has failed")
def then_none_failed(context):
    assert not any(job.failed for job in context.jobs)


@then("at most {count:d} runs have failed on worker 1")
def then_few_failed(context, count):
    assert len(context.world.failed_runs) <= count, context.world.failed_runs


@then("no task has failed twice")
def then_not_twice(context):
    keys = [key for key, _ in context.world.failed_runs]
    assert len(keys) == len(set(keys)), keys


@given("worker 1 of 1 fails all that it starts for 2 seconds")
def given_broken_for_a_moment(context):
    add_workers(context, 1)
    context.world.failing.add("1")


@when("a task with 3 attempts is submitted after jobs that have failed there")
def when_after_failures(context):
    world = context.world
    for number in range(3):
        world.submit(f"{number + 100:016x}", "checks", step(1, 1.0))
    world.advance(0.4)
    context.job = world.submit(JOB, "checks", step(1, 1.0, seconds=0.5))
    world.advance(1.6)
    world.failing.clear()


@then("the task is done in the end")
def then_done(context):
    context.world.advance(4.0)
    assert context.job.is_complete and not context.job.failed


@given("6 workers on which all runs of a job fail, and a run of another job")
def given_failing_job(context):
    add_workers(context, 6)
    world = context.world
    world.submit(JOB, "checks", step(6, 10.0))
    world.submit("00000000000000bb", "checks", step(1, 2.0))
    world.plan()
    assert len(world.running()) == 7
    for key, agent_id in world.running().items():
        world.workers[agent_id].end(key, "failed")
    world.report_all()
    world.plan()


@then("all workers are trusted")
def then_all_trusted(context):
    standings = {view.standing for view in context.world.scheduler.workers.values()}
    assert standings == {Standing.TRUSTED}, standings


@given("9 workers in three zones that fail all that they start")
def given_zones(context):
    add_workers(context, 9)
    world = context.world
    for number, worker in enumerate(world.workers.values()):
        worker.zone = f"zone-{number % 3}"
    world.report_all()
    world.failing.update(world.workers)
    for number in range(3):
        world.submit(f"{number + 100:016x}", "plans", step(9, 5.0))
    world.plan()
    world.report_all()
    world.plan()


@then("1 worker of each zone is in quarantine and the others are suspected")
def then_capped(context):
    views = context.world.scheduler.workers.values()
    quarantined = [v.availability_zone for v in views if v.standing is Standing.QUARANTINED]
    assert sorted(quarantined) == ["zone-0", "zone-1", "zone-2"], quarantined
    assert sum(v.standing is Standing.SUSPECTED for v in views) == 6


@given("a step of an advised queue that the others may not run")
def given_advised(context):
    world = context.world
    world.scheduler.catalog = Catalog(2, [*QUEUES, ADVISED], ["desk"])
    context.job = world.submit(JOB, "advised", step(1, 4.0))
    request = world.scheduler.next_advice_request(world.now, world.now_unix)
    assert sorted(request.worker_ids) == ["w-2", "w-3"]
    world.scheduler.record_advice(request, Advice({}, 3.0), world.now)


@then("the next request for advice names worker 1 only")
def then_asked(context):
    world = context.world
    request = world.scheduler.next_advice_request(world.now, world.now_unix)
    assert request.worker_ids == ["w-1"]


@when("worker 1 restarts")
def when_restarts(context):
    context.world.workers["1"].restart()


@when("the failure attribution machine runs by the rules of the job scheduler with seed {seed:d}")
def when_machine(context, seed):
    context.violation = violation_of(JobSchedulerRulesMachine, seed, EXAMPLES, STEPS)
