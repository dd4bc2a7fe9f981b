"""Steps for the number of waiting jobs and for what counts as the begin of a job."""

from behave import given, then, when
from takeover_support import JOB, TakeoverWorld
from workflow_support import step

from acaciastand.cluster.job_api import WAITING_JOBS_CALL, JobApi
from acaciastand.cluster.keys import JOBS_PREFIX, PROGRESS_PREFIX, encode_fields, encode_job
from acaciastand.errors import Outcome, Refused
from acaciastand.workflow.job import Job, JobState
from acaciastand.workflow.reports import StartOutcome
from acaciastand.workflow.spec import WorkflowSpec

TASK = f"{JOB}.0.0.0"
# Rows as the former version stored them.
FORMER_ROWS = {
    "last run 2": [0, 2, 0, False, "", []],
    "last run 2, ended run 1": [0, 2, 0, False, "", [1]],
    "last run 1, with a checkpoint": [0, 1, 0, False, "saved", []],
}


@given('an owner and a worker that answers each start with "{answer}" and does nothing')
def given_worker(context, answer):
    world = context.world = TakeoverWorld()
    world.take_over()
    world.add_worker("1")
    world.refusals["1"] = StartOutcome(answer)


@when("a job is submitted and {seconds:d} seconds pass")
def when_submitted(context, seconds):
    context.world.submit_stored("checks", step(seconds=60.0))
    context.world.advance(float(seconds))
    assert context.world.started


def accept_start(world):
    del world.refusals["1"]
    world.advance(1.0)


def carry_out_late(world):
    _, run, _ = world.started[-1]
    world.workers["1"].running[TASK] = run
    world.report("1")


def list_end(world):
    carry_out_late(world)
    world.workers["1"].end(TASK, "failed")
    world.report("1")


EVENTS = {
    "the worker accepts a start": accept_start,
    "the worker carries out an unanswered start": carry_out_late,
    "the worker lists the end of an unanswered run": list_end,
}


@when('this happens: "{event}"')
def when_event(context, event):
    EVENTS[event](context.world)


def check_job(context, waiting, state):
    world = context.world
    assert sum(world.scheduler.count_waiting().values()) == waiting
    assert world.owner.job_state(JOB) is state, world.owner.job_state(JOB)
    world.store_progress()
    api = JobApi(world.store, lambda: None, lambda: None)
    assert api.state(JOB, 0.0) is state, api.state(JOB, 0.0)


@then("1 job is waiting and the job is shown as pending")
def then_pending(context):
    check_job(context, 1, JobState.PENDING)


@then("0 jobs are waiting and the job is shown as running")
def then_running(context):
    check_job(context, 0, JobState.RUNNING)


@when("the next owner takes over and {seconds:d} seconds pass")
def when_taken_over(context, seconds):
    context.world.take_over()
    context.world.advance(float(seconds))


@when("the next owner takes over while all agents are cut off")
def when_cut_off(context):
    context.world.cut_off = set(context.world.workers)
    context.world.take_over()


@given('a stored job of a former owner whose row says "{row}"')
def given_row(context, row):
    world = context.world = TakeoverWorld()
    job = Job(JOB, "checks", WorkflowSpec("text", [step()]), world.now_unix)
    progress = encode_fields([False, False, 0.0, [FORMER_ROWS[row]]])
    world.store.commit({}, {JOBS_PREFIX + JOB: encode_job(job), PROGRESS_PREFIX + JOB: progress})


@then("the job {counts} as waiting")
def then_counts(context, counts):
    assert bool(context.world.scheduler.count_waiting()) == (counts == "counts")


@given("a job that waits")
def given_waiting(context):
    context.world = TakeoverWorld()
    context.world.take_over()
    context.world.submit_stored("checks", step())


class OwnerLink:
    """Connection of another entry to the owner."""

    def __init__(self, owner):
        self.owner = owner

    def call(self, name, _payload, _seconds):
        assert name == WAITING_JOBS_CALL
        return self.owner.count_waiting()


@when("the number of waiting jobs is asked for while {case}")
def when_asked(context, case):
    owner = context.world.owner
    is_own = "this entry" in case
    links = [] if is_own or case == "no owner is known" else [OwnerLink(owner)]
    api = JobApi(
        context.world.store,
        lambda: owner if is_own else None,
        lambda: links[0] if links else None,
    )
    seconds = next((float(word) for word in case.split() if word[0].isdigit()), 0.0)
    if "was lost" in case:
        assert api.count_waiting("checks") == 1
        links.clear()
        api.waiting_jobs_at -= seconds
    else:
        owner.confirmed_at -= seconds
    try:
        context.answer = str(api.count_waiting("checks"))
    except Refused as error:
        assert (error.http_status, error.outcome) == (503, Outcome.NOT_RUN)
        context.answer = "refused"


@then("the number is {answer}")
def then_answer(context, answer):
    assert context.answer == answer, context.answer
