"""Steps for attempts of tasks whose queue is removed from the configuration and added again."""

from behave import given, then, when
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
