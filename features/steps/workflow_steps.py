"""Steps for jobs of dependent steps."""

from behave import given, then, when
from workflow_support import BORN_MS, WorkflowWorld, step

from acaciastand.resources import Resources
from acaciastand.workflow.job import Job, JobState
from acaciastand.workflow.reports import PollPosition
from acaciastand.workflow.spec import WorkflowSpec

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"


def starts_of(context, prefix):
    return [row for row in context.world.started if row[0].startswith(prefix)]


@given("{count:d} workers of {cores:d} cores")
@given("{count:d} worker of {cores:d} cores")
def given_workers(context, count, cores):
    context.world = WorkflowWorld()
    for number in range(count):
        context.world.add_worker(str(number + 1), float(cores))


@given("a job with a step of {first:d} tasks and then a step of {second:d} tasks")
def given_two_steps(context, first, second):
    context.job = context.world.submit(JOB, "checks", step(first), step(second, after=[0]))
    context.world.plan()


@given("a job of 1 task in a queue with max_attempts 3")
def given_one_task(context):
    context.job = context.world.submit(JOB, "checks", step())
    context.world.plan()


@given("a job of 1 task of 10 seconds that saves its progress")
def given_long_task(context):
    context.job = context.world.submit(JOB, "checks", step(seconds=10.0, saves_progress=True))
    context.world.plan()


@when("{count:d} tasks of step 0 are done")
def when_done(context, count):
    for index in range(count):
        context.world.end(f"{JOB}.0.0.{index}")
    context.world.plan()


@when("the last task of step 0 is done")
def when_last_done(context):
    context.world.end(f"{JOB}.0.0.2")
    context.world.plan()


@then("no task of step 1 has started")
def then_none_of_step_1(context):
    assert not starts_of(context, f"{JOB}.0.1")


@then("{count:d} tasks of step 1 have started")
def then_step_1(context, count):
    assert len(starts_of(context, f"{JOB}.0.1")) == count


@when("its task fails {count:d} times")
def when_fails(context, count):
    for _ in range(count):
        context.world.end(TASK, "failed")
        context.world.advance(0.5)


@then("its task has started {count:d} times")
def then_started(context, count):
    context.world.advance(0.3)
    assert len(starts_of(context, TASK)) == count, context.world.started


@then("the job has failed")
def then_failed(context):
    assert context.job.state is JobState.FAILED


@when("its task fails and the end is reported 3 times")
def when_reported_again(context):
    context.world.end(TASK, "failed")
    for _ in range(2):
        context.world.report("1")


@then("1 failure is counted")
def then_one_failure(context):
    assert context.job.tasks[TASK].failures == 1


@then("the end is acknowledged only after the job is stored")
def then_acknowledged(context):
    scheduler = context.world.scheduler
    assert scheduler.acknowledge_stored_ends(scheduler.workers["1"]) == 0
    context.world.store_all()
    assert scheduler.acknowledge_stored_ends(scheduler.workers["1"]) == 1


@when("its task fails and the progress is stored without an acknowledgement")
def when_stored_without_acknowledgement(context):
    context.world.end(TASK, "failed")
    context.progress = context.job.progress()


@when("a new owner takes over and all agents report to it")
def when_new_owner(context):
    former = context.world
    context.world = WorkflowWorld(has_reported=False)
    context.world.now = former.now
    context.job = context.world.submit(JOB, "checks", step(), certain=False)
    context.job.restore(context.progress)
    context.world.workers = former.workers
    context.world.scheduler.add_worker("1", False, former.now + 5.0).reachable = True
    context.world.report("1")


@given("a new owner to which 1 of 2 agents has not reported")
def given_new_owner(context):
    context.world = WorkflowWorld(has_reported=False)
    context.world.add_worker("1")
    context.world.add_worker("2", unresponsive=True)


@given("a job that the former owner may have started")
def given_uncertain(context):
    context.job = context.world.submit(JOB, "checks", step(seconds=5.0), certain=False)


@when("a job is accepted after the takeover")
def when_certain(context):
    context.world.submit(JOB, "checks", step())
    context.world.plan()


@when("the other agent reports that it runs nothing")
def when_reports_nothing(context):
    context.world.advance(0.3)


@when("the other agent reports run 4 of the task as running")
def when_running(context):
    context.world.workers["1"].running[TASK] = 4
    context.world.advance(0.3)


@when("the grant of the unresponsive agent has expired")
def when_expired(context):
    context.world.advance(6.0)


@then("nothing has started")
def then_nothing(context):
    assert not context.world.started


@then("1 task has started")
def then_one_started(context):
    assert len(context.world.started) == 1


@then("run 4 of the task is its current run")
def then_run_4(context):
    assert context.job.tasks[TASK].run == 4
    assert context.world.running() == {TASK: "1"}


@given("starts at worker 1 are not answered")
def given_unanswered(context):
    context.world.unanswered.add("1")
    context.world.ignored_stops.add("1")


@given("a job of 1 task that fits worker 1 only")
def given_fits_one(context):
    context.world.workers["2"].capacity.cores = 0.5
    context.world.report("2")
    context.job = context.world.submit(JOB, "checks", step())


@when("the job is planned")
def when_planned(context):
    context.world.plan()
    context.world.advance(2.0)


@then("the run is stopped at worker 1")
def then_stopped(context):
    assert (TASK, 1, "1") in context.world.stopped


@then("the task starts again only after the stop has taken effect")
def then_again(context):
    assert len(starts_of(context, TASK)) == 1
    context.world.ignored_stops.clear()
    context.world.unanswered.clear()
    context.world.advance(3.0)
    assert len(starts_of(context, TASK)) == 2


@when("its run is stopped and the worker lists it nowhere for 0.3 seconds")
def when_stopping(context):
    world = context.world
    world.scheduler.request_stop(context.job.tasks[TASK], world.now)
    del world.workers["1"].running[TASK]  # A stop that arrives takes the run off the list.
    world.advance(0.3)


@when("the worker lists the stopped run as ended")
def when_listed(context):
    worker = context.world.workers["1"]
    worker.running[TASK] = 1
    worker.end(TASK, "stopped")
    context.world.report("1")


@when("the worker restarts")
def when_restarts(context):
    worker = context.world.workers["1"]
    worker.born_ms = BORN_MS + 1
    worker.running.clear()
    worker.ended.clear()
    worker.last_end_number = 0
    context.world.advance(0.5)


@when("the agent of the task is unresponsive for {seconds:d} seconds")
def when_unresponsive(context, seconds):
    agent_id = context.started_on = context.world.started[0][2]
    context.world.scheduler.workers[agent_id].reachable = False
    context.world.advance(float(seconds))


@when("the heartbeats of the owner are not stored any more")
def when_heartbeats_not_stored(context):
    context.world.confirmed_at = context.world.now


@when("the heartbeats of the owner are stored again")
def when_heartbeats_stored(context):
    context.world.confirmed_at = None
    context.world.advance(0.2)


@then("the owner asks for a heartbeat")
def then_asks_for_heartbeat(context):
    assert context.world.scheduler.unconfirmed_grant_end >= context.world.confirmed_at


@then("the owner asks for no heartbeat")
def then_asks_for_none(context):
    assert context.world.scheduler.unconfirmed_grant_end == float("-inf")


@when("the job is cancelled")
def when_cancelled(context):
    context.world.scheduler.cancel_job(JOB, context.world.now, context.world.now_unix)
    context.started_before = len(context.world.started)
    context.world.plan()


@then("{count:d} runs are stopped")
def then_runs_stopped(context, count):
    assert len({row[0] for row in context.world.stopped}) == count


@then("nothing of it runs or starts in 5 seconds")
def then_nothing_runs(context):
    context.world.advance(5.0)
    assert not context.world.running()
    assert len(context.world.started) == context.started_before


@when("the worker of the task drains with 4 seconds left")
def when_drains(context):
    context.first_agent = context.world.running()[TASK]
    context.world.workers[context.first_agent].drain_seconds = 4.0
    context.world.advance(1.0)


@then("the task runs on the other worker from its checkpoint")
def then_moved(context):
    assert context.world.running()[TASK] != context.first_agent
    assert context.job.tasks[TASK].checkpoint == "saved-at-stop"


@when("its task is done")
def when_task_done(context):
    context.world.store_all()
    context.world.end(TASK)


@when("the progress is stored")
def when_stored(context):
    context.world.store_all()


@then('the job is shown as "{state}"')
def then_shown(context, state):
    assert context.job.stored_state.value == state, context.job.stored_state


@given("one worker fails everything that it starts")
def given_failing(context):
    context.failing = "1"


@when("{count:d} jobs of 1 task are submitted one after the other")
def when_jobs(context, count):
    world = context.world
    for number in range(count):
        world.submit(f"{number:016x}", "checks", step(4, cores=3.0))
        world.plan()
        for key, agent_id in world.running().items():
            world.end(key, "failed" if agent_id == context.failing else "done")
        world.advance(0.2)


@then("the failing worker got at most 3 tasks")
def then_few(context):
    assert sum(row[2] == context.failing for row in context.world.started) <= 3


@when(
    "{services:d} services of {service_cores:f} cores and"
    " {tasks:d} batch tasks of {task_cores:f} leftover cores are submitted"
)
def when_mixed(context, services, service_cores, tasks, task_cores):
    world = context.world
    if services:
        serving = step(services, service_cores, 1000, 0.0, continuous=True, target_ms=18.0)
        world.submit("00000000000000c0", "watchers", serving)
    world.plan()
    batch = step(tasks, task_cores, 1000, 4.4, uses_leftover=True)
    world.submit("00000000000000b0", "plans", batch)
    world.plan()


@then("no batch task runs beside a service")
def then_apart(context):
    agents = context.world.running()
    services = {agent for key, agent in agents.items() if key.startswith("00000000000000c0")}
    batch = {agent for key, agent in agents.items() if key.startswith("00000000000000b0")}
    assert services and batch and not services & batch, agents


@then("{count:d} batch tasks run")
def then_batch(context, count):
    assert len(context.world.running()) == count


@given("a job that is already late waits behind a running task")
def given_late(context):
    world = context.world
    world.submit("00000000000000d0", "plans", step(seconds=20.0))
    world.plan()
    world.submit("00000000000000d1", "plans", step())
    world.advance(8.0)


@when("a job is submitted that can still be in time")
def when_in_time(context):
    context.world.submit("00000000000000d2", "plans", step())


@when("the running task is done")
def when_blocker_done(context):
    context.world.end("00000000000000d0.0.0.0")
    context.world.plan()


@then("the job that can be in time starts first")
def then_in_time_first(context):
    assert list(context.world.running()) == ["00000000000000d2.0.0.0"]


@when("each run of its task needs {seconds:d} seconds")
def when_needs(context, seconds):
    context.run_seconds = seconds


@then("the job is complete within {seconds:d} seconds")
def then_complete(context, seconds):
    world = context.world
    end = world.now + seconds
    began = {}
    while world.now < end and not context.job.is_complete:
        world.advance(0.5)
        for key, agent_id in world.running().items():
            run = (key, world.workers[agent_id].running[key])
            if world.now - began.setdefault(run, world.now) >= context.run_seconds:
                world.end(key)
    assert context.job.is_complete


@when("its run takes {seconds:d} seconds without an end")
def when_stands_still(context, seconds):
    context.world.advance(float(seconds))


@then("it has started on both workers")
def then_both(context):
    assert {row[2] for row in context.world.started} == {"1", "2"}, context.world.started


@when("the other agent lists a failed run of it")
def when_lists_failed(context):
    worker = context.world.workers["1"]
    worker.running[TASK] = 1
    worker.end(TASK, "failed")
    context.world.advance(0.3)


@when("another job of 3 batch tasks waits for 5 seconds")
def when_waits(context):
    context.world.submit(JOB, "plans", step(3, 4.0, 1000, 60.0, uses_leftover=True))
    context.world.advance(5.0)


@then("1 of its tasks has started")
def then_one_of_job(context):
    assert len(starts_of(context, JOB)) == 1


@when("the ends of the failed runs 3, 1 and 2 arrive in this order")
def when_out_of_order(context):
    worker = context.world.workers["1"]
    for run in (3, 1, 2):
        worker.running[TASK] = run
        worker.end(TASK, "failed")
        context.world.report("1")


@given("a gang of {count:d} tasks of {cores:d} cores")
def given_gang(context, count, cores):
    context.job = context.world.submit(JOB, "checks", step(count, float(cores), gang=True))
    context.world.plan()


@when("the scheduler plans for 1 second")
def when_plans_second(context):
    context.world.advance(1.0)


@when("another worker of {cores:d} cores joins")
def when_joins(context, cores):
    context.world.add_worker("9", float(cores))
    context.world.plan()


@then("{count:d} tasks have started with the same run number")
def then_same_run(context, count):
    assert len(context.world.started) == count
    assert {row[1] for row in context.world.started} == {1}


@when("one member fails")
def when_member_fails(context):
    context.world.end(TASK, "failed")
    context.world.advance(0.5)


@then("the others are stopped and all start again as run 2")
def then_gang_again(context):
    assert {row[0] for row in context.world.stopped} == {f"{JOB}.0.0.1", f"{JOB}.0.0.2"}
    assert [row[1] for row in context.world.started[3:]] == [2, 2, 2]


@when("one member is done")
def when_member_done(context):
    context.world.end(TASK)


@then("the job is complete")
def then_job_complete(context):
    assert context.job.is_complete


@given("a job of 3 occurrences that are due every 2 seconds from 1 second on")
def given_repeated(context):
    world = context.world
    spec = WorkflowSpec("text", [step()], 3, world.now_unix + 1.0, 2.0)
    world.scheduler.add_job(Job(JOB, "checks", spec, world.now_unix))


@when("{seconds:f} seconds pass")
def when_pass(context, seconds):
    context.world.advance(seconds)


@then("{count:d} occurrences have started")
def then_occurrences(context, count):
    assert len({row[0] for row in context.world.started}) == count, context.world.started


@when("that task is done and {seconds:f} seconds pass")
def when_that_done(context, seconds):
    key = next(key for key in context.world.running() if key.startswith(JOB))
    context.world.end(key)
    context.world.advance(seconds)


@then("2 of its tasks have started")
def then_two_of_job(context):
    assert len(starts_of(context, JOB)) == 2, starts_of(context, JOB)


@when("the worker of the task is announced in a new incarnation before its first poll")
def when_announced_again(context):
    world = context.world
    world.advance(0.2)
    context.agent_id = world.running()[TASK]
    worker = world.workers[context.agent_id]
    worker.born_ms += 1_000
    context.former_run = worker.running.pop(TASK)
    world.report(context.agent_id, position=PollPosition(), running=[], silent=True)
    world.plan()


@when("the first poll of the new incarnation lists {what}")
def when_first_poll(context, what):
    worker = context.world.workers[context.agent_id]
    if what == "the run":
        worker.running[TASK] = context.former_run
    context.world.report(context.agent_id)
    context.world.plan()


@when("the capacity of the worker shrinks to {cores:d} cores")
@when("the capacity of the worker grows to {cores:d} cores")
def when_capacity_changes(context, cores):
    context.world.workers["1"].capacity = Resources(float(cores), 64_000, 0)
    context.world.advance(0.2)


@given("{jobs:d} jobs of 1 task of {cores:f} cores are submitted")
@when("{jobs:d} jobs of 1 task of {cores:f} cores are submitted")
def when_jobs_of_cores(context, jobs, cores):
    context.job_count = getattr(context, "job_count", 0)
    for _ in range(jobs):
        context.job_count += 1
        context.world.submit(f"{context.job_count:016x}", "checks", step(cores=cores, seconds=60.0))
    context.world.advance(0.2)


@when("one of the tasks is done")
def when_one_done(context):
    context.world.end(next(iter(context.world.running())))
    context.world.advance(0.2)


@then("{count:d} tasks run on the worker")
def then_running(context, count):
    assert len(context.world.running()) == count, context.world.running()


@given("a cancelled job whose run of {cores:f} cores goes on at the other agent")
def given_cancelled_run(context, cores):
    world = context.world
    job = world.submit(JOB, "checks", step(cores=cores), certain=False)
    world.scheduler.cancel_job(JOB, world.now, world.now_unix)
    assert job.state is JobState.CANCELLED
    world.workers["1"].running[TASK] = 1
    world.workers["1"].started_at[TASK] = world.now


@given("the stops at the other agent take effect late")
def given_late_stops(context):
    context.world.ignored_stops.add("1")
    context.world.advance(0.1)


@when("a job of 1 task of {cores:f} cores is accepted after the takeover")
def when_large_job(context, cores):
    context.world.submit("00000000000000ab", "checks", step(cores=cores))
    context.world.advance(0.3)
