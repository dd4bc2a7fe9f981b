"""Steps for attempts of tasks whose queue is removed from the configuration and added again."""

from behave import given, then, when
from takeover_support import TakeoverWorld
from workflow_support import QUEUES, step

from acaciastand.cluster.clock import now
from acaciastand.cluster.keys import (
    JOBS_PREFIX,
    OWNER_KEY,
    PROGRESS_PREFIX,
    OwnerRecord,
    encode_job,
    encode_progress,
)
from acaciastand.cluster.owner import Owner
from acaciastand.coordination.transactions import MemoryTransactionalStore
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.job import Job, JobState
from acaciastand.workflow.spec import WorkflowSpec

JOB = "00000000000000aa"


def apply_queues(context, queues):
    world = context.world
    context.version = getattr(context, "version", 1) + 1
    catalog = Catalog(context.version, queues, ["desk"])
    world.scheduler.apply_catalog(catalog, world.now, world.now_unix)
    world.advance(0.3)


@when("the queue is removed from the configuration")
def when_removed(context):
    apply_queues(context, [queue for queue in QUEUES if queue.name != context.job.queue])


@when("the queue is added to the configuration with max_attempts 3")
def when_added(context):
    apply_queues(context, list(QUEUES))


@then("the job has not failed")
def then_not_failed(context):
    assert not context.job.failed


@given("an owner that knows the queue of a stored job whose task has failed 3 times")
def given_stored(context):
    store = MemoryTransactionalStore()
    job = Job(JOB, "checks", WorkflowSpec("", [step()]), 1.0)
    (task,) = job.tasks.values()
    task.run = task.failures = 3
    task.ended_runs = {1, 2, 3}
    store.commit(
        {},
        {
            JOBS_PREFIX + JOB: encode_job(job),
            PROGRESS_PREFIX + JOB: encode_progress(job.progress()),
        },
    )
    record = OwnerRecord("entry-1", "10.0.0.1:1", 1, b"nonce")
    fence = store.commit({OWNER_KEY: 0}, {OWNER_KEY: record.encode()})
    context.owner = Owner(
        store,
        record,
        fence,
        now(),
        now(),
        Catalog(1, list(QUEUES), ["desk"]),
        0.4,
        Metrics(),
        lambda _: None,
    )


@when("it takes over")
def when_takes_over(context):
    assert context.owner._load()


@then("the job is shown as failed and nothing of it starts")
def then_failed(context):
    job = context.owner.scheduler.jobs[JOB]
    assert job.state == JobState.FAILED, job.state
    assert not context.owner.scheduler.waiting


@given("an owner that has a gang of 4 tasks in a queue with max_attempts 4")
def given_gang(context):
    world = context.world = TakeoverWorld()
    world.take_over()
    for agent_id in ("1", "2"):
        world.add_worker(agent_id)
    world.submit_stored("plans", step(4, cores=5.0, seconds=60.0, gang=True))


FAILING_MEMBERS = {
    "all members fail in each run": lambda run: {0, 1, 2, 3},
    "one member fails in each run, each in turn": lambda run: {run % 4},
    "one member fails in each run, always the same": lambda run: {2},
    "all members fail, also under the next owner": lambda run: {0, 1, 2, 3},
    "one end is reported a second late, by the next owner": lambda run: {0, 1, 2, 3},
}


def fail_gang_run(world, failing, takes_over, is_late):
    """Let the present run of the gang fail; a new owner may follow, before its last end."""
    keys = sorted(world.running())
    late = keys.pop() if is_late else None
    for index, key in enumerate(keys):
        world.end(key, "failed" if index in failing else "broken")
    world.store_progress()
    if takes_over:
        world.take_over()
    if late:
        world.end(late, "failed")
    world.advance(2.0)


@when("its runs fail since {members}")
def when_runs_fail(context, members):
    world = context.world
    context.gang_runs = 0
    while context.gang_runs < 10 and not world.job.failed:
        world.advance(1.0)
        assert len(world.running()) == 4, (world.running(), context.gang_runs)
        failing = FAILING_MEMBERS[members](context.gang_runs)
        fail_gang_run(world, failing, "next owner" in members, "late" in members)
        context.gang_runs += 1


@then("the job is shown as failed after 4 runs of the gang")
def then_gang_failed(context):
    context.world.store_progress()
    assert context.gang_runs == 4, context.gang_runs
    assert context.world.owner.job_state(JOB) is JobState.FAILED
