"""Steps on the bounds and scheduling rules of a shard and on size estimates."""

import cbor2
from behave import given, then, when

from acaciastand.coordination.entries import MAX_ENTRY_BYTES, MAX_SNAPSHOT_BYTES
from acaciastand.errors import AcaciastandError, NotFound
from acaciastand.placement import estimates
from acaciastand.placement.estimates import SizeEstimator
from acaciastand.placement.placer import BestFit
from acaciastand.placement.worker import WorkerView
from acaciastand.resources import Resources
from acaciastand.shard import limits
from acaciastand.shard.contacts import ContactProcessor
from acaciastand.shard.job import JobSpec, parse_job
from acaciastand.shard.outbox import Grant, StopRequest
from acaciastand.shard.runtime_state import AgentContact, AttemptEndReport, LeaseDeadlines
from acaciastand.shard.scheduling import Scheduler
from acaciastand.shard.shard import Shard
from acaciastand.shard.state import ShardState, TaskState

CORE = Resources(1.0, 1, 0)
LONGEST_NAME = "x" * limits.MAX_NAME_BYTES
UNLIMITED = LeaseDeadlines(float("inf"), float("inf"))


def new_shard():
    shard = Shard(ShardState(0), limits.Timings())
    shard.apply_takeover(shard.takeover_event("owner"), 0.0)
    return shard


def commit_pending(shard):
    shard.mark_committed(len(shard.pending))
    return shard.pop_ready_messages()


def job_spec(tasks=1, name=LONGEST_NAME, team="team", urgent=False, service=""):
    return JobSpec(name, team, LONGEST_NAME, urgent, tasks, CORE, 1.0, service)


def submit(shard, number, *arguments, key="", **fields):
    shard.submit(job_spec(*arguments, **fields), key, f"j0-{number:012x}")
    return f"j0-{number:012x}"


def report_end(shard, task, result, checkpoint=""):
    shard.process_report(
        AttemptEndReport(task.agent_id, task.task_id, task.attempt, result, checkpoint), 0.0
    )


def new_scheduler(shard):
    return Scheduler(shard, 1, BestFit(), SizeEstimator())


def new_worker(name, zone="z", services=(), cores=100.0):
    size = Resources(cores, 10000, 0)
    return WorkerView(name, f"{name}-1", zone, name, size, size, services)


def fill_jobs(context):
    for number in range(limits.MAX_JOBS):
        submit(context.shard, number)
        commit_pending(context.shard)


def fill_tasks(context):
    for number in range(limits.MAX_TASKS // limits.MAX_TASKS_PER_JOB):
        submit(context.shard, number, limits.MAX_TASKS_PER_JOB)
        commit_pending(context.shard)


def fill_pending_events(context):
    for number in range(limits.MAX_PENDING_EVENTS):
        context.shard.change_timings(limits.Timings(grant_seconds=number + 20.0))


def fill_finished_jobs(context):
    for number in range(limits.MAX_FINISHED_JOBS + 1):
        job_id = submit(context.shard, number, key=f"k{number}")
        commit_pending(context.shard)
        context.shard.cancel(job_id)
        commit_pending(context.shard)


def fill_commit(context):
    for number in range(limits.MAX_EVENTS_PER_COMMIT + 1):
        context.shard.change_timings(limits.Timings(grant_seconds=number + 20.0))


def fill_snapshot(context):
    shard = context.shard
    fill_finished_jobs_with_long_keys(shard)
    per_job = limits.MAX_TASKS // limits.MAX_JOBS
    for number in range(limits.MAX_JOBS):
        submit(
            shard, number, per_job, key=longest_key(number), team=LONGEST_NAME, service=LONGEST_NAME
        )
    commit_pending(shard)
    checkpoint = "c" * limits.MAX_CHECKPOINT_BYTES
    for job in list(shard.state.jobs.values()):
        for task in job.tasks:
            shard.start_attempt(task, LONGEST_NAME, LONGEST_NAME, CORE)
            report_end(shard, task, "evicted", checkpoint)
            shard.start_attempt(task, LONGEST_NAME, LONGEST_NAME, CORE)
    new_scheduler(shard).start_buckets([new_worker(LONGEST_NAME, services=service_names(8))], 0.0)
    new_scheduler(shard).start_buckets([new_worker(LONGEST_NAME, services=service_names(8))], 3.0)
    commit_pending(shard)


def service_names(count):
    return [f"{number}{LONGEST_NAME}"[: limits.MAX_NAME_BYTES] for number in range(count)]


def longest_key(number):
    return f"{LONGEST_NAME}/{number:0{limits.MAX_KEY_BYTES}}"


def fill_finished_jobs_with_long_keys(shard):
    for number in range(limits.MAX_FINISHED_JOBS):
        job_id = submit(shard, 1000 + number, key=longest_key(1000 + number))
        commit_pending(shard)
        shard.cancel(job_id)
        commit_pending(shard)


def fill_entry(context):
    for number in range(limits.MAX_EVENTS_PER_COMMIT):
        submit(
            context.shard, number, team=LONGEST_NAME, service=LONGEST_NAME, key=longest_key(number)
        )


def fill_buckets(context):
    count = limits.MAX_BUCKETS // limits.BUCKETS_PER_SERVICE
    workers = [new_worker("w", services=service_names(count + 1))]
    scheduler = new_scheduler(context.shard)
    scheduler.start_buckets(workers, 0.0)
    scheduler.start_buckets(workers, limits.BUCKET_ASSIGNMENT_DELAY_SECONDS)


def fail_task_repeatedly(context):
    shard = context.shard
    context.job_id = submit(shard, 1)
    task = shard.state.jobs[context.job_id].tasks[0]
    context.backoffs = []
    for _ in range(limits.MAX_TASK_FAILURES):
        shard.start_attempt(task, "w", "w-1", CORE)
        report_end(shard, task, "failed")
        context.backoffs.append(shard.not_before.get(task.task_id, 0.0))
    commit_pending(shard)


def fill_classes(context):
    context.estimator = SizeEstimator()
    for number in range(estimates.MAX_CLASSES + 1):
        for _ in range(estimates.MIN_REPORTS):
            context.estimator.learn("team", f"class-{number}", Resources(9.0, 0, 0), 1.0)


FILL_FUNCTIONS = {
    "jobs": fill_jobs,
    "tasks": fill_tasks,
    "pending events": fill_pending_events,
    "finished jobs": fill_finished_jobs,
    "events per commit": fill_commit,
    "snapshot": fill_snapshot,
    "entry": fill_entry,
    "buckets": fill_buckets,
    "task failures": fail_task_repeatedly,
    "classes": fill_classes,
}


@when("a shard is filled to its bound of {bound}")
def step_fill(context, bound):
    context.shard = new_shard()
    FILL_FUNCTIONS[bound](context)


@then('it refuses a job with "{code}"')
def step_refuses(context, code):
    try:
        submit(context.shard, 99999)
    except AcaciastandError as error:
        assert error.code == code and error.outcome.value == "not_run", error
    else:
        raise AssertionError("the job was accepted")


@then("it drops the oldest finished job and its key")
def step_drops(context):
    assert len(context.shard.state.finished_jobs) == limits.MAX_FINISHED_JOBS
    assert "k0" not in context.shard.state.job_ids_by_key
    try:
        context.shard.describe_job("j0-000000000000")
    except NotFound:
        return
    raise AssertionError("the oldest job is still there")


@then("it commits the remaining events in the next entry")
def step_remaining_events(context):
    first = context.shard.next_batch()
    assert len(first) == limits.MAX_EVENTS_PER_COMMIT
    context.shard.mark_committed(len(first))
    assert len(context.shard.next_batch()) == 1


@then("it fits its largest state in 900 KiB")
def step_snapshot_fits(context):
    snapshot = context.shard.committed_state.snapshot()
    size = len(cbor2.dumps(snapshot))
    assert 0.5 * MAX_SNAPSHOT_BYTES < size < MAX_SNAPSHOT_BYTES, size
    assert ShardState.from_snapshot(0, snapshot).snapshot() == snapshot


@then("it fits its largest entry in 256 KiB")
def step_entry_fits(context):
    size = len(cbor2.dumps([event.plain() for event in context.shard.next_batch()]))
    assert 0.5 * MAX_ENTRY_BYTES < size < MAX_ENTRY_BYTES, size


@then("it starts no further bucket")
def step_no_bucket(context):
    assert len(context.shard.state.buckets) == limits.MAX_BUCKETS


@then('it gives up the task and reports the job as "{state}"')
def step_failed(context, state):
    assert context.shard.describe_job(context.job_id)["state"] == state
    assert context.backoffs == [1.0, 2.0, 4.0, 8.0, 0.0], context.backoffs


@then("it drops the class reported longest ago")
def step_class_dropped(context):
    assert len(context.estimator) == estimates.MAX_CLASSES
    assert context.estimator.size("team", "class-0", CORE) == CORE
    assert context.estimator.size("team", "class-1", CORE) != CORE


@when('a job with "{field}" set to "{value}" is validated')
@when('a job with "{field}" set to "" is validated')
def step_validate(context, field, value=""):
    values = {"x*65": "x" * 65, "801": 801, "1.5": 1.5, "nan": float("nan")}
    payload = {"team": "t", "batch_class": "b", field: values.get(value, value)}
    context.error = None
    try:
        parse_job(payload)
    except AcaciastandError as error:
        context.error = error


@then('the error says "{problem}"')
def step_problem(context, problem):
    assert context.error is not None and problem in str(context.error), context.error


@given("a shard with two workers in each of three availability zones")
def step_zones(context):
    context.shard = new_shard()
    context.workers = [new_worker(f"{zone}{n}", zone) for zone in "abc" for n in range(2)]


@when("a normal job, an urgent job and a job over the quota of its team wait")
def step_schedule_jobs(context):
    context.normal = submit(context.shard, 1, 3)
    context.urgent = submit(context.shard, 2, urgent=True)
    context.limited = submit(context.shard, 3, 5, team="limited")
    commit_pending(context.shard)
    new_scheduler(context.shard).start_tasks(context.workers, {"limited": 2.0}, 0.0)
    context.grants = [
        message for message in commit_pending(context.shard) if isinstance(message, Grant)
    ]


@then("the urgent job starts first and the quota is kept")
def step_order(context):
    jobs = [grant.task_id.partition("/")[0] for grant in context.grants]
    assert jobs[0] == context.urgent, jobs
    assert jobs.count(context.limited) == 2, jobs


@then("the normal job of 3 tasks is spread over three availability zones")
def step_spread(context):
    zones = {g.agent_id[0] for g in context.grants if g.task_id.startswith(context.normal)}
    assert zones == {"a", "b", "c"}, zones


@given("a shard with a task and a bucket on one worker")
def step_task_and_bucket(context):
    shard = context.shard = new_shard()
    job_id = submit(shard, 1)
    commit_pending(shard)
    view = new_worker("w", services=["desk"])
    context.task = shard.state.jobs[job_id].tasks[0]
    ContactProcessor(shard).process(AgentContact("w", "w-1", 1, 1, []), 0.0, UNLIMITED)
    new_scheduler(shard).start_tasks([view], {}, 0.0)
    new_scheduler(shard).start_buckets([view], 0.0)
    new_scheduler(shard).start_buckets([view], limits.BUCKET_ASSIGNMENT_DELAY_SECONDS)
    for grant in commit_pending(shard):
        shard.begin_sending_grant(grant.task_id, grant.attempt, 2.0)
        shard.record_grant_reply(grant.task_id, grant.attempt, True, 2.0)


@when("a newer incarnation of the worker sends a hello without attempts")
def step_newer(context):
    ContactProcessor(context.shard).process(AgentContact("w", "w-2", 2, 0, []), 3.0, UNLIMITED)
    context.messages = commit_pending(context.shard)


@then("the task waits again and the stop of the bucket is requested")
def step_waits(context):
    assert context.task.state == TaskState.WAITING and context.task.last_end == "absent"
    stops = {message.task_id for message in context.messages if isinstance(message, StopRequest)}
    assert "bucket/desk/0" in stops
    assert context.shard.state.find_task("bucket/desk/0").state == TaskState.RUNNING


@when("a late hello of the earlier incarnation arrives")
def step_late_hello(context):
    context.shard.start_attempt(context.task, "w", "w-2", CORE)
    commit_pending(context.shard)
    ContactProcessor(context.shard).process(AgentContact("w", "w-1", 3, 0, []), 4.0, UNLIMITED)


@then("the new attempt of the task is still running")
def step_running(context):
    assert context.task.state == TaskState.RUNNING and context.task.attempt == 2


@when("five reports show the use of 4 cores where 1 is declared and of 1.04 where 1 is declared")
def step_reports(context):
    context.estimator = SizeEstimator()
    for _ in range(estimates.MIN_REPORTS):
        context.estimator.learn("team", "far", Resources(4.0, 1, 0), 1.0)
        context.estimator.learn("team", "near", Resources(1.04, 1, 0), 1.0)


@then("the estimated sizes are {far:g} and {near:g} cores")
def step_sizes(context, far, near):
    assert abs(context.estimator.size("team", "far", CORE).cores - far) < 1e-9
    assert context.estimator.size("team", "near", CORE).cores == near
