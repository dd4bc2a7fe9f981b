"""Steps for workers that have more ends than they list at once."""

import json
from collections import Counter

from behave import given, then, when
from workflow_support import WorkflowWorld, step

from acaciastand.platform.http import HttpAnswer
from acaciastand.platform.tasks import TaskClient

JOB = "00000000000000aa"
TASK_SECONDS = 60.0


@given("a worker of {cores:d} cores that lists at most {count:d} ends")
def given_limited_worker(context, cores, count):
    context.world = WorkflowWorld()
    context.world.add_worker("1", float(cores))
    context.world.workers["1"].max_listed_ends = count


@given("a job of {count:d} tasks is running there")
def given_running_job(context, count):
    context.job = context.world.submit(JOB, "checks", step(count, seconds=TASK_SECONDS))
    context.world.advance(1.0)
    assert len(context.world.running()) == count


@given("a job of {count:d} tasks that a former owner ran there and that are done")
def given_former_job(context, count):
    context.count = count


@when("a new owner takes over while nothing can be stored for {seconds:f} seconds")
def when_takes_over(context, seconds):
    world = context.world = WorkflowWorld(has_reported=False)
    worker = world.add_worker("1", 100.0, unresponsive=True)
    worker.max_listed_ends = 5
    for index in range(context.count):
        worker.running[f"{JOB}.0.0.{index}"] = 1
    for key in list(worker.running):
        worker.end(key, "done")
    context.job = world.submit(
        JOB, "checks", step(context.count, seconds=TASK_SECONDS), certain=False
    )
    world.scheduler.workers["1"].reachable = True
    world.advance(seconds)


@when("all of them are done while nothing can be stored for {seconds:f} seconds")
def when_done(context, seconds):
    worker = context.world.workers["1"]
    for key in list(worker.running):
        worker.end(key, "done")
    context.world.advance(seconds)


@when("all of them are done and stopped while nothing can be stored for {seconds:f} seconds")
def when_done_and_stopped(context, seconds):
    world = context.world
    for key in list(world.workers["1"].running):
        world.workers["1"].end(key, "done")
        world.scheduler.request_stop(context.job.tasks[key], world.now)
    world.advance(seconds)


@when("the store is back")
def when_back(context):
    world = context.world
    view = world.scheduler.workers["1"]
    for _ in range(20):
        world.store_all()
        world.scheduler.acknowledge_stored_ends(view)
        world.advance(0.2)


@then("each of its {count:d} tasks has started once")
def then_started_once(context, count):
    counts = Counter(key for key, _, _ in context.world.started)
    assert len(counts) == count and max(counts.values()) == 1, counts


@then("none of its tasks has started")
def then_none_started(context):
    assert not context.world.started, context.world.started


@then("all ends are acknowledged and the job is complete")
def then_acknowledged(context):
    world = context.world
    assert world.scheduler.workers["1"].acknowledged == world.workers["1"].last_end_number
    assert context.job.is_complete


@given("a worker whose poll lists {count:d} ends")
def given_poll(context, count):
    rows = [[n, f"{JOB}.0.0.{n}", 1, "done", ""] for n in range(1, count + 1)]
    body = json.dumps({"born": 5_000, "clockMs": 1_000, "running": [], "finished": rows}).encode()
    context.errors = []
    client = TaskClient("10.0.0.1:1", 1, context.errors.append)
    client.caller.call = lambda *arguments, **options: HttpAnswer(200, body)
    context.result = client.poll(None, 0, 0.0)


@then("the result of the poll {tells} that more may follow")
def then_tells(context, tells):
    assert context.result.has_more_ends == (tells == "tells"), context.result.has_more_ends
