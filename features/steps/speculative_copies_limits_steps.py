"""Steps for second runs of tasks after a takeover, in crowded services and beside slow siblings."""

from unittest import mock

from behave import given, then, when
from copies_support import CopyWorld
from workflow_support import step

from acaciastand.workflow import copies
from acaciastand.workflow.job import Job, TaskState
from acaciastand.workflow.reports import ActiveRun, StartOutcome

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
LATER = "00000000000000bb"


def copy_starts(world):
    return [d for d in world.scheduler.decisions if d.what == "copy started"]


@given("a new owner that knows run 1 of a task, whose copy on worker 2 it has not heard of")
def given_unheard_copy(context):
    """Let the owner know of run 1 by the stored progress and the report of worker 1."""
    world = context.world = CopyWorld(copies.NoCopies(), has_reported=False)
    steps = step(seconds=5.0, speculative=True)
    context.job = world.submit(JOB, "plans", steps, certain=False)
    context.task = context.job.tasks[TASK]
    context.task.run = 1
    world.cut_off["2"] = world.now
    for agent_id in ("1", "2", "3", "4"):
        world.add_worker(agent_id, unresponsive=agent_id == "2")
    for agent_id, run in (("1", 1), ("2", 2)):
        world.workers[agent_id].running[TASK] = run
        world.workers[agent_id].started_at[TASK] = world.now
    world.advance(0.3)
    assert (context.task.state, context.task.run) == (TaskState.RUNNING, 1)


@when("run 1 fails and worker 2 reports its run only after that")
def when_reports_late(context):
    context.world.workers["1"].end(TASK, "failed")
    context.world.advance(0.3)
    context.world.heal("2")
    context.world.advance(0.6)


@then("no two workers were told to start the same run")
def then_distinct(context):
    started = [(key, run) for key, run, _ in context.world.started]
    assert (TASK, 2) not in started, f"run 2 is on worker 2 already: {context.world.started}"


@then("the task starts again after a further failure")
def then_again(context):
    world = context.world
    world.workers[context.task.agent_id].end(TASK, "failed")
    world.advance(12.0)
    assert context.job.has_ended, (context.task.state, context.task.failures, world.started)


@given("a job of 30 slow tasks, and a slow task of a later job")
def given_crowd(context):
    world = context.world
    for worker in world.workers.values():
        worker.capacity.cores = 32.0
    world.report_all()
    world.scheduler.overdue_policy = mock.Mock(limit_seconds=lambda task: 100.0)
    world.slow = {agent_id: 20.0 for agent_id in world.workers}
    world.submit(JOB, "plans", step(30, speculative=True))
    world.advance(0.5)
    world.submit(LATER, "plans", step(speculative=True))


@then("the task of the later job has a copy after {seconds:f} seconds")
def then_later_copied(context, seconds):
    context.world.advance(seconds)
    subjects = [d.subject for d in copy_starts(context.world)]
    assert f"{LATER}.0.0.0" in subjects, subjects


@given("a task whose copies are refused twice")
def given_refused(context):
    world = context.world
    world.scheduler.overdue_policy = mock.Mock(limit_seconds=lambda task: 100.0)
    world.slow = {agent_id: 20.0 for agent_id in world.workers}
    world.submit(JOB, "plans", step(speculative=True))
    world.advance(0.2)
    world.keeps_starts = True
    while len(world.started) < 3 and world.now < 110.0:
        world.advance(0.1)
        for start in world.kept_starts:
            world.answer_start(start, StartOutcome.NO_CAPACITY)
        world.kept_starts = []
    assert len(world.started) == 3, world.started


@then("a third start of a copy follows within {seconds:f} seconds")
def then_third(context, seconds):
    context.world.advance(seconds)
    assert len(copy_starts(context.world)) == 3, copy_starts(context.world)


@given("a task whose worker is cut off before its first poll, and its copy")
def given_unpolled(context):
    world = context.world
    job = world.submit(JOB, "plans", step(seconds=0.5, speculative=True, saves_progress=True))
    world.plan()
    context.task = job.tasks[TASK]
    world.slow = {agent_id: 30.0 for agent_id in world.workers}
    world.cut(context.task.agent_id)
    world.advance(1.6)
    assert len(context.task.copies) == 1


@when('the copy is stopped with the checkpoint "{checkpoint}"')
def when_stopped(context, checkpoint):
    agent_id = context.task.copies[0].agent_id
    context.world.report(agent_id, running=[ActiveRun(TASK, 2, "", 40)])
    context.world.workers[agent_id].end(TASK, "stopped", checkpoint)
    context.world.report(agent_id)


@given(
    "a run that has taken {factor:f} times its estimate when the connection to its agent is lost"
)
def given_lost_connection(context, factor):
    world = context.world
    world.slow = {agent_id: 2.0 for agent_id in world.workers}
    job = world.submit(JOB, "plans", step(seconds=4.0, speculative=True))
    world.advance(4.0 * factor)
    worker = world.scheduler.workers[job.tasks[TASK].agent_id]
    worker.reachable = False
    world.scheduler.copy_planner.checked_at = float("-inf")
    world.plan()
    worker.reachable = True


@then("no copy has started")
def then_no_copy(context):
    assert not copy_starts(context.world), copy_starts(context.world)


@given(
    "a job of {count:d} tasks that take 10 s, by their progress, and an estimate of {seconds:f} s"
)
def given_long_tasks(context, count, seconds):
    world = context.world
    world.completes = False
    world.scheduler.overdue_policy = mock.Mock(limit_seconds=lambda task: 100.0)
    report = world.report

    def report_progress(agent_id):
        worker = world.workers[agent_id]
        started = worker.started_at
        runs = worker.running.items()
        report(
            agent_id,
            running=[ActiveRun(k, run, "", 10 * (world.now - started[k])) for k, run in runs],
        )

    world.report = report_progress
    world.submit(JOB, "plans", step(count, seconds=seconds, speculative=True))


@given("a task that takes {factor:f} times its estimate on each worker")
def given_long_task(context, factor):
    context.world.slow = {agent_id: factor for agent_id in context.world.workers}
    context.world.submit(JOB, "plans", step(speculative=True))


@then("{count:d} runs are overdue after {seconds:f} seconds")
def then_overdue(context, count, seconds):
    context.world.advance(seconds)
    overdue = [d for d in context.world.scheduler.decisions if d.what == "run overdue"]
    assert len(overdue) == count, overdue


@when("run 1 is being stopped and worker 2 reports its run")
def when_stopping(context):
    context.world.workers["1"].drain_seconds = 1.0
    context.world.ignored_stops.add("1")
    context.world.advance(0.3)
    assert context.task.state == TaskState.STOPPING
    context.world.heal("2")
    context.world.advance(0.3)


@then("run 2 goes on as a copy")
def then_copy_goes_on(context):
    assert [(c.run, c.state) for c in context.task.copies] == [(2, TaskState.RUNNING)]
    assert ("2", 2) in context.world.live_runs(TASK)


@given("a task whose run {begins} and that is done")
def given_untimed(context, begins):
    world = context.world
    world.keeps_starts = begins == "ends before its start is answered"
    world.submit(JOB, "plans", step(speculative=True))
    [start] = world.plan()
    if world.keeps_starts:
        world.workers[start.agent_id].running[TASK] = 1
    else:
        world.take_over(copies.NoCopies())
        world.report_all()
    world.now += 0.5
    world.end(TASK)


@then("no duration of its run is known")
def then_untimed(context):
    task = context.world.scheduler.find_task(TASK)
    assert (task.state, task.last_run_seconds) == (TaskState.DONE, 0.0)


@then("no siblings are looked at within {seconds:f} seconds")
def then_not_looked_at(context, seconds):
    context.world.scheduler.overdue_policy = mock.Mock(limit_seconds=lambda task: 100.0)
    with mock.patch.object(Job, "siblings", autospec=True) as siblings:
        context.world.advance(seconds)
    assert not siblings.called, siblings.call_count
