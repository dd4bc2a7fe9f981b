"""Steps for repeated jobs, whose occurrences may overlap."""

from collections import Counter

from behave import given, then, when
from workflow_support import START_UNIX, step

JOB = "00000000000000aa"
STEP_SECONDS = 0.5


@given(
    "a job of {steps:d} steps of {count:d} tasks with {repeats:d} occurrences"
    " that are due each {interval:f} seconds"
)
def given_repeated(context, steps, count, repeats, interval):
    specs = [
        step(count, cores=1.0, seconds=STEP_SECONDS, after=[number - 1] if number else [])
        for number in range(steps)
    ]
    context.job = context.world.submit(
        JOB,
        "checks",
        *specs,
        repeats=repeats,
        first_due_unix=START_UNIX + context.world.now,
        interval_seconds=interval,
    )


@when("all running tasks are done and the scheduler plans at once")
def when_all_done(context):
    for key in context.world.running():
        context.world.end(key)
    context.world.plan()


@when("a run is taken for lost and its end as done is listed right after")
def when_lost_and_done(context):
    world = context.world
    key, agent_id = next(iter(world.running().items()))
    world.scheduler.mark_lost(context.job.tasks[key], "test")
    world.workers[agent_id].end(key, "done")
    world.report(agent_id)
    context.key = key


@when("{seconds:f} seconds pass with tasks that complete by themselves")
def when_completing(context, seconds):
    context.world.completes = True
    context.world.advance(seconds)


@when("one worker crashes")
def when_crashes(context):
    context.world.crash("1")


@then("each task has started at most once")
def then_at_most_once(context):
    counts = Counter(key for key, _, _ in context.world.started)
    assert max(counts.values()) == 1, counts


@then("the task of that run has started once")
def then_started_once(context):
    starts = [row for row in context.world.started if row[0] == context.key]
    assert len(starts) == 1, starts


@then('the job is shown as "completed" within {seconds:f} seconds')
def then_completed(context, seconds):
    context.on_two_workers = set()
    end = context.world.now + seconds
    while context.world.now < end and not context.job.is_complete:
        context.world.advance(0.1)
        runs = Counter(
            key
            for worker in context.world.workers.values()
            if worker.crashed_at is None
            for key in worker.running
        )
        context.on_two_workers |= {key for key, count in runs.items() if count > 1}
    open_tasks = {
        task.key: task.state.name
        for task in context.job.tasks.values()
        if task.state.name != "DONE"
    }
    assert context.job.is_complete, open_tasks


@then("no task was on two workers at the same time")
def then_on_one_worker(context):
    assert not context.on_two_workers, context.on_two_workers
