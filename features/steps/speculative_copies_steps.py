"""Steps for second runs of tasks."""

from unittest import mock

from behave import given, then, when
from copies_support import CopyWorld
from machines.copies_machine import CopiesMachine, CopyAllRuns
from machines.running import violation_of
from workflow_support import step

from acaciastand.cluster.decision_log import log_decisions
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow import copies
from acaciastand.workflow.advice import Advice, AdviceRequest
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.job import ON_WORKER, JobState, TaskState
from acaciastand.workflow.reports import ActiveRun, StartOutcome

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"


@given('4 workers with the policy "{policy}" on copies')
def given_workers(context, policy):
    context.world = CopyWorld(getattr(copies, policy)())
    for number in range(4):
        context.world.add_worker(str(number + 1), 16.0)


@given("a job of 8 tasks of 1 second whose copies may run, with a worker that {trouble}")
def given_job(context, trouble):
    world = context.world
    context.job = world.submit(JOB, "checks", step(8, speculative=True, max_per_worker=2))
    world.plan()
    if trouble == "is cut off":
        world.cut("1")
    else:
        world.slow["1"] = 20.0
        world.silent |= {"1"} if trouble == "is unresponsive" else set()


@then("the job is {result} after {seconds:f} seconds")
def then_result(context, result, seconds):
    context.world.advance(seconds)
    assert context.job.state.value == result, context.world.started


@then("a run that is listed at {percent:d} percent and ran {seconds:f} seconds is not slow")
def then_not_slow(context, percent, seconds):
    job = CopyWorld(copies.NoCopies()).submit(JOB, "checks", step(3))
    task, *siblings = job.tasks.values()
    task.state = TaskState.RUNNING
    task.percent = percent
    for sibling in siblings:
        sibling.state = TaskState.DONE
        sibling.last_run_seconds = 0.3
    times = copies.SiblingTimes(task, seconds)
    assert not copies.CopySlowRuns().reason(task, "", times, seconds)


@given("worker 2 shares the rack of worker 1 and worker 3 has no room")
def given_racks(context):
    context.world.workers["3"].capacity.cores = 0.5
    context.world.report_all()


@given("a task that runs on worker 1 and its copy, {start}")
def given_copy(context, start):
    """Start a task on worker 1 and let it run until it has a copy."""
    world = context.world
    for worker in world.scheduler.workers.values():
        worker.full_until = 0.0 if worker.agent_id == "1" else world.now + 1.0
    steps = step(speculative=True, saves_progress=True), step(after=[0])
    context.job = world.submit(JOB, "plans", *steps)
    context.task = context.job.tasks[TASK]
    world.scheduler.overdue_policy = mock.Mock(limit_seconds=lambda task: 100.0)
    world.slow = {agent_id: 9.0 for agent_id in world.workers}
    world.plan()
    assert world.live_runs(TASK) == [("1", 1)]
    world.advance(2.9)
    world.keeps_starts = start == "whose start is not answered yet"
    world.advance(0.4)
    world.keeps_starts = False
    assert len(world.started) == 2, world.started
    context.copy = world.started[1][2]
    world.scheduler.copy_planner.policy = copies.NoCopies()


@then("the copy is on worker {agent_id}")
def then_copy_on(context, agent_id):
    assert context.copy == agent_id, context.world.started


def take_share(context, cores):
    """Let copies take so many cores together."""
    context.add_cleanup(setattr, copies, "MAX_CORES_SHARE", copies.MAX_CORES_SHARE)
    copies.MAX_CORES_SHARE = cores / 64


def fill_others(context):
    context.job.spec.steps[0].max_per_worker = 0
    for agent_id in ("2", "3", "4"):
        context.world.workers[agent_id].capacity.cores = 0.5
    context.world.report_all()


def allow_two_failures(context):
    queues = [queue.replace(max_attempts=2) for queue in context.world.scheduler.catalog.queues]
    context.world.scheduler.catalog = Catalog(2, queues, ["desk"])


LIMITS = {
    "nothing else waits": lambda c: None,
    "a less urgent task waits": lambda c: c.world.submit("bb", "plans", step(cores=20.0)),
    "an equally urgent task waits": lambda c: c.world.submit("bb", "checks", step(cores=20.0)),
    "no core is left to copies": lambda c: take_share(c, 0.5),
    "one core is left to copies": lambda c: take_share(c, 1.5),
    "no other worker has room": fill_others,
    "the queue allows 2 failed runs": allow_two_failures,
    "the tasks work as a gang": lambda c: setattr(c.job.spec.steps[0], "gang", True),
    "the step does not allow copies": lambda c: setattr(c.job.spec.steps[0], "speculative", False),
}


@when('copies are limited so that "{limit}"')
def when_limited(context, limit):
    LIMITS[limit](context)


@then("{count:d} copies have started after {seconds:f} seconds")
def then_copies(context, count, seconds):
    context.world.advance(seconds)
    decisions = context.world.scheduler.decisions
    assert sum(d.what == "copy started" for d in decisions) == count, decisions


@given("an advised queue with tickets for the workers 1 and 3")
def given_advised(context):
    scheduler = context.world.scheduler
    queue = Queue("plans", "h", "/plans/", "desk", 2, 4, advised=True)
    scheduler.catalog = Catalog(2, [queue], ["desk"])
    incarnations = [(f"w-{n}", context.world.workers[n].born_ms) for n in "1234"]
    advice = Advice({"w-1": "t1", "w-3": "t3"}, 60.0)
    request = AdviceRequest(f"{JOB}.0.0", incarnations, queue)
    scheduler.record_advice(request, advice, context.world.now)


def end_run(context, agent_id, how):
    context.world.workers[agent_id].end(TASK, how)
    context.world.report(agent_id)


def miss_run(context, agent_id):
    """Let polls of a worker not list the run, which is gone when it is stopped."""
    del context.world.workers[agent_id].running[TASK]
    context.world.advance(1.5)


def done_beside_cut_worker(context):
    context.world.cut("1")
    end_run(context, context.copy, "done")
    assert context.world.scheduler.workers["1"].reserved_cores == 1.0


def done_while_stop_ignored(context):
    context.world.ignored_stops.add("1")
    end_run(context, context.copy, "done")
    context.world.advance(1.0)
    assert context.world.scheduler.workers["1"].reserved_cores == 1.0
    end_run(context, "1", "done")
    assert context.job.open_task_counts[(0, 0)] == 0


def cut_worker(context, agent_id):
    context.world.cut(agent_id)
    context.world.advance(5.0)
    context.world.heal(agent_id)


def use_up_attempts(context):
    context.task.failures = 3
    end_run(context, context.copy, "failed")


EVENTS = {
    "the first run is done": lambda c: end_run(c, "1", "done"),
    "the copy is done": lambda c: end_run(c, c.copy, "done"),
    "both runs are done": lambda c: [c.world.workers[n].end(TASK, "done") for n in ("1", c.copy)],
    "the copy is done and the first worker is cut off": done_beside_cut_worker,
    "the first run is done while its stop is ignored": done_while_stop_ignored,
    "the first run fails": lambda c: end_run(c, "1", "failed"),
    "the copy fails": lambda c: end_run(c, c.copy, "failed"),
    "both runs fail": lambda c: [end_run(c, agent_id, "failed") for agent_id in ("1", c.copy)],
    "the worker of the first run restarts": lambda c: c.world.workers["1"].restart(),
    "the worker of the copy restarts": lambda c: c.world.workers[c.copy].restart(),
    "the worker of the first run is cut off": lambda c: cut_worker(c, "1"),
    "the worker of the copy is cut off": lambda c: cut_worker(c, c.copy),
    "the worker of the copy crashes": lambda c: c.world.crash(c.copy),
    "the polls of the first worker miss the run": lambda c: miss_run(c, "1"),
    "the polls of the copy's worker miss the run": lambda c: miss_run(c, c.copy),
    "the first run is stopped": lambda c: c.world.scheduler.request_stop(c.task, c.world.now),
    "the job is cancelled": lambda c: c.world.scheduler.cancel_job(JOB, c.world.now, 0.0),
    "its failures use up its attempts": use_up_attempts,
}


@when('its runs meet this: "{event}"')
def when_event(context, event):
    EVENTS[event](context)
    context.world.advance(0.3)


@then('"{left}" of its runs goes on with {failures:d} failures and {starts:d} starts')
def then_left(context, left, failures, starts):
    world, task = context.world, context.task
    assert task.failures == failures
    assert not task.copies or task.state == TaskState.DONE, task.copies
    assert sum(key == TASK for key, _, _ in world.started) == starts, world.started
    expected = {"first": (1, "1"), "copy": (2, context.copy)}
    if left in expected:
        assert task.state == TaskState.RUNNING, task.state
        assert (task.run, task.agent_id) == expected[left]
    elif left == "none":
        assert task.state not in ON_WORKER, task.state
    assert task.last_run == starts


@then("after {seconds:d} seconds the job is {state} and nothing is reserved")
def then_over(context, seconds, state):
    world = context.world
    world.ignored_stops.clear()
    world.slow.clear()
    world.advance(float(seconds))
    assert context.job.state is JobState(state), context.job.state
    for worker in world.scheduler.workers.values():
        assert not worker.tasks and worker.reserved_cores == 0.0, worker.agent_id
    assert not any(worker.running for worker in world.workers.values())


@when('the start of the copy is answered with "{answer}"')
def when_answered(context, answer):
    world = context.world
    (start,) = world.kept_starts
    if answer == "started":
        world.workers[context.copy].running[TASK] = start.command.run
        world.workers[context.copy].started_at[TASK] = world.now
    world.answer_start(start, StartOutcome(answer))
    world.advance(1.5)


@then("run 1 goes on and clears the task of the crash under run 2")
def then_crash(context):
    context.world.advance(4.5)
    decisions = [d.what for d in context.world.scheduler.decisions if d.subject == TASK]
    assert {"copy lost", "suspicion cleared"} <= set(decisions), decisions
    assert (context.task.run, context.task.state) == (1, TaskState.RUNNING)


@when(
    "the first run reports {ahead:d} percent with checkpoint "
    '"{first}" and the copy {behind:d} with "{second}"'
)
def when_checkpoints(context, ahead, first, behind, second):
    context.world.report("1", running=[ActiveRun(TASK, 1, first, ahead)])
    context.world.report(context.copy, running=[ActiveRun(TASK, 2, second, behind)])


@then('the checkpoint of the task is "{checkpoint}"')
def then_checkpoint(context, checkpoint):
    assert context.task.checkpoint == checkpoint


@given("a new owner to which two agents report runs of a task whose step {allows} copies")
def given_two_runs(context, allows):
    context.world = CopyWorld(CopyAllRuns(), has_reported=False)
    context.world.scheduler.add_worker("3", False, context.world.now + 5.0)  # It does not report.
    steps = step(seconds=5.0, speculative=allows == "allows")
    context.job = context.world.submit(JOB, "checks", steps, certain=False)
    context.world._check_runs_of = lambda _: None  # The former owner has started both.
    for agent_id, run in (("1", 5), ("2", 4)):
        context.world.add_worker(agent_id)
        context.world.workers[agent_id].running[TASK] = run
        context.world.workers[agent_id].started_at[TASK] = context.world.now


@then("{count:d} of the runs go on after {seconds:f} seconds")
def then_go_on(context, count, seconds):
    context.world.advance(seconds)
    assert len(context.world.live_runs(TASK)) == count
    assert len(context.job.tasks[TASK].copies) == count - 1


@then("the next run has number 6 although the worker of run 5 restarts")
def then_next(context):
    context.world.workers["1"].restart()
    context.world.report("1")
    task = context.job.tasks[TASK]
    assert task.last_run == 5
    context.world.advance(0.5)
    assert not task.step.speculative or not context.world.started, context.world.started


@then('the outcomes "{outcomes}" of copies are counted')
def then_counted(context, outcomes):
    metrics = mock.create_autospec(Metrics, instance=True)
    log_decisions(context.world.scheduler.decisions, metrics, 1, 0.0)
    counted = [call.args for call in metrics.count.call_args_list]
    assert [v for name, v in counted if name == "speculative_copies"] == outcomes.split()


@then("{plays:d} random plays of {count:d} failures break no promise about the runs of tasks")
def then_plays(context, plays, count):
    violation = violation_of(CopiesMachine, 1, plays, count)
    assert violation is None, violation
