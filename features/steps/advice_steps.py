"""Steps for advised queues, for which the placement service decides on the workers."""

from behave import given, then, when
from workflow_support import WorkflowWorld, step

from acaciastand.workflow.advice import Advice
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.reports import PollPosition, StartOutcome

VALID_SECONDS = 3.0
SECOND_AGENT = "a-2"
QUEUES = [
    Queue("advised", "h", "/advised/", "desk", 0, 3, 2.0, 1.0, True, 0.02, 0.002),
    Queue("plain", "h", "/plain/", "desk", 0, 3, 2.0, 1.0),
]


@given("an advised queue and 3 workers, of which the second is allowed")
def given_world(context):
    context.world = WorkflowWorld()
    context.world.scheduler.catalog = Catalog(1, QUEUES, ["desk"])
    context.job_count = 0
    for number in (1, 2, 3):
        context.world.add_worker(f"a-{number}")


@given("a job of {tasks:d} tasks on the {queue} queue")
def given_job(context, tasks, queue):
    name = "advised" if "advised" in queue else "plain"
    context.job_count += 1
    context.job = context.world.submit(f"{context.job_count:016x}", name, step(tasks))


def advice_request(context):
    return context.world.scheduler.next_advice_request(context.world.now, context.world.now_unix)


def respond(context, request, allowed):
    tickets = {worker: f"ticket-{worker}" for worker in request.worker_ids if worker in allowed}
    advice = Advice(tickets, VALID_SECONDS)
    context.world.scheduler.record_advice(request, advice, context.world.now)


def worker_id(context, agent_id=SECOND_AGENT):
    return context.world.workers[agent_id].identity().worker_id


@given("the service has responded")
def given_requested(context):
    respond(context, advice_request(context), {worker_id(context)})


@given("the service has responded and allows no worker")
def given_none_allowed(context):
    respond(context, advice_request(context), set())


@given("the service has responded to a request that named the second worker only")
def given_requested_one(context):
    request = advice_request(context)
    request.incarnations = [
        incarnation for incarnation in request.incarnations if incarnation[0] == worker_id(context)
    ]
    respond(context, request, {worker_id(context)})


@then("nothing starts before advice on 3 workers is requested")
def then_nothing(context):
    assert not context.world.plan()
    request = advice_request(context)
    assert len(request.incarnations) == 3 and request.step == f"{context.job.job_id}.0.0", request
    assert request.response_seconds == 0.02 + 3 * 0.002
    respond(context, request, {worker_id(context)})


@then("both tasks start on the second worker with its ticket")
def then_both(context):
    starts = context.world.plan()
    assert [start.agent_id for start in starts] == [SECOND_AGENT, SECOND_AGENT], starts
    assert {start.command.ticket for start in starts} == {f"ticket-{worker_id(context)}"}
    assert advice_request(context) is None


@when("the tickets have expired before anything started")
def when_expired(context):
    context.world.now += VALID_SECONDS
    context.world.report_all()
    assert not context.world.plan()


@when("the second worker restarts before anything started")
def when_restarts(context):
    context.world.workers[SECOND_AGENT].born_ms += 1
    context.world.report_all()
    assert not context.world.plan()


@when("the start on the second worker is refused for its ticket")
def when_refused(context):
    world = context.world
    [start] = world.scheduler.plan(world.now, world.now_unix, world.now)[0]
    refused = StartOutcome.NO_TICKET
    world.scheduler.process_start_result(
        start.task, start.command.run, refused, PollPosition(), world.now
    )
    world.now += 0.2  # More than the pause after a refused start.
    world.report_all()
    assert not world.plan()


@when("the second worker has no free capacity")
def when_full(context):
    world = context.world
    world.scheduler.workers[SECOND_AGENT].full_until = world.now + 60.0
    world.scheduler.workers[SECOND_AGENT].reserved_cores = 16.0
    assert not world.plan()


@when("the job is cancelled on the advised queue")
def when_cancelled(context):
    context.world.scheduler.cancel_job(
        context.job.job_id, context.world.now, context.world.now_unix
    )


@then("the next request names the second worker only")
def then_second(context):
    assert advice_request(context).worker_ids == [worker_id(context)], advice_request(context)


@then("the next request names {count:d} workers")
def then_count(context, count):
    assert len(advice_request(context).incarnations) == count, advice_request(context)


@then("no advice is requested")
def then_none(context):
    assert advice_request(context) is None, advice_request(context)


@then("no advice on its steps is kept")
def then_forgotten(context):
    assert not context.world.scheduler.advice.advice_by_step
