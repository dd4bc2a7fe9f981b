"""Steps on failure attribution, learned interference and placement."""

from unittest.mock import patch

from behave import given, then, when
from machines.failure_attribution_machine import FailureAttributionMachine
from machines.interference_machine import InterferenceMachine
from machines.running import violation_of

from acaciastand.placement import failure_attribution as attribution_module
from acaciastand.placement import interference as interference_module
from acaciastand.placement.estimates import SizeEstimator
from acaciastand.placement.failure_attribution import (
    AttemptOutcome,
    AttemptStart,
    EvidenceBasedAttribution,
)
from acaciastand.placement.interference import (
    MAX_PAIR_AGE_SECONDS,
    MIN_SAMPLES,
    UNKNOWN_SLOWDOWN,
    LearnedInterference,
    LeastInterferenceFit,
)
from acaciastand.placement.placer import BestFit, PlacementRequest
from acaciastand.placement.quarantine import FIRST_PROBE_PAUSE_SECONDS
from acaciastand.placement.worker import WorkerView
from acaciastand.resources import Resources
from acaciastand.shard import shard as shard_module
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import Timings
from acaciastand.shard.outbox import Grant
from acaciastand.shard.runtime_state import AttemptEndReport
from acaciastand.shard.scheduling import Scheduler
from acaciastand.shard.shard import Shard
from acaciastand.shard.state import ShardState

STEPS = 50
LIMIT = 5  # Replaces the real bounds, which would take long to reach.
CORE = Resources(1.0, 1, 0)


def count_every_failure(_attribution, _job_id, failures):
    return failures.count


def all_flagged(flagged, _views, _workers, _max_share):
    return [agent_id for _, agent_id in flagged]


def allow_probe(_attribution, _agent_id, _now):
    return True


def forget_nothing(_attribution, _task_ids):
    return None


def never_newer(_attribution, _start, _worker):
    return False


GUARD_PATCHES = {
    "cap of each zone": (attribution_module, "_within_cap", all_flagged),
    "one count for a failing job": (
        EvidenceBasedAttribution,
        "_failure_weight",
        count_every_failure,
    ),
    "one probe at a time": (EvidenceBasedAttribution, "_may_probe", allow_probe),
    "a lost probe is forgotten": (EvidenceBasedAttribution, "forget_attempts", forget_nothing),
    "a success clears": (EvidenceBasedAttribution, "_newer_than_failures", never_newer),
}


def run_machine(context, machine, seed, examples):
    context.violation = violation_of(machine, seed, examples, STEPS)


@when("the failure attribution machine runs with seed {seed:d} and {examples:d} examples")
def step_machine(context, seed, examples):
    run_machine(context, FailureAttributionMachine, seed, examples)


@when(
    "the failure attribution machine runs with seed {seed:d} and {examples:d} examples "
    'without the guard "{guard}"'
)
def step_without_guard(context, seed, examples, guard):
    with patch.object(*GUARD_PATCHES[guard]):
        run_machine(context, FailureAttributionMachine, seed, examples)


@then("the failure attribution machine finds no violation")
def step_no_violation(context):
    assert context.violation is None, context.violation


@then('the failure attribution machine finds "{text}"')
def step_violation(context, text):
    assert context.violation is not None and text in context.violation, context.violation


def fail(attribution, number, agent_id, job_id):
    task_id = f"{job_id}/{number}"
    attribution.record_start(AttemptStart(agent_id, "1", task_id, 1, float(number)))
    attribution.record_end(task_id, 1, AttemptOutcome.FAILED, float(number))


def fill_workers(attribution):
    for number in range(LIMIT + 1):
        fail(attribution, number, f"name-{number}", "job")
    return list(attribution._workers)


def fill_jobs(attribution):
    for number in range(LIMIT + 1):
        fail(attribution, number, "agent", f"name-{number}")
    return list(attribution._jobs)


def fill_starts(attribution):
    for number in range(LIMIT + 1):
        attribution.record_start(AttemptStart("agent", "1", f"name-{number}", 1, 0.0))
    return list(attribution._starts)


def fill_jobs_per_worker(attribution):
    for number in range(1, LIMIT + 2):
        fail(attribution, number, "agent", f"name-{LIMIT + 1 - number}")
    return list(attribution._workers["agent"].failures)


def fill_ends(_attribution):
    with patch.object(shard_module, "MAX_UNPROCESSED_ENDS", LIMIT):
        shard = Shard(ShardState(0), Timings())
    shard.submit(JobSpec("name", "team", "class", False, LIMIT + 1, CORE), "", "j0-1")
    for task in shard.state.jobs["j0-1"].tasks:
        shard.start_attempt(task, "agent", "1", CORE)
        shard.process_report(AttemptEndReport("agent", task.task_id, 1, "evicted"), 0.0)
    return [end.task_id.replace("j0-1/", "name-") for end in shard.unprocessed_ends]


FILL = {
    "workers": ("MAX_WORKERS_WITH_FAILURES", fill_workers),
    "jobs": ("MAX_JOBS_WITH_FAILURES", fill_jobs),
    "starts": ("MAX_STARTS", fill_starts),
    "jobs per worker": ("MAX_JOBS_PER_WORKER", fill_jobs_per_worker),
    "ends": ("MAX_STARTS", fill_ends),
}


@when("the failure attribution is filled beyond its bound of {bound}")
def step_fill(context, bound):
    constant, fill = FILL[bound]
    with patch.object(attribution_module, constant, LIMIT):
        context.kept = fill(EvidenceBasedAttribution())


@then("it keeps the newest of {bound} and no more than the bound")
def step_kept(context, bound):
    assert sorted(context.kept) == [f"name-{number}" for number in range(1, LIMIT + 1)]


def submit(context, job_id, urgent=False):
    spec = JobSpec(job_id, "team", "class", urgent, 1, CORE)
    context.shard.submit(spec, "", job_id)
    context.shard.mark_committed(len(context.shard.pending))


def start_tasks(context, views, now):
    context.scheduler.start_tasks(views, {}, now)
    context.shard.mark_committed(len(context.shard.pending))
    grants = [
        message for message in context.shard.pop_ready_messages() if isinstance(message, Grant)
    ]
    return {grant.task_id: grant for grant in grants}


def report(context, grant, result, now):
    context.shard.process_report(
        AttemptEndReport(grant.agent_id, grant.task_id, grant.attempt, result), now
    )


def view(name):
    return WorkerView(name, "1", "zone", name, CORE, CORE)


@given("a shard with one worker that fails three jobs and one healthy worker")
def step_failing(context):
    context.shard = Shard(ShardState(0), Timings())
    context.shard.apply_takeover(context.shard.takeover_event("owner"), 0.0)
    context.attribution = EvidenceBasedAttribution()
    context.scheduler = Scheduler(context.shard, 1, BestFit(), SizeEstimator(), context.attribution)
    context.views = [view("failing"), view("healthy"), view("full").replace(free=Resources())]
    for number in range(3):
        submit(context, f"j0-{number}")
        grants = start_tasks(context, context.views[:1], float(number) * 0.1)
        report(context, grants[f"j0-{number}/0"], "start_failed", float(number) * 0.1)


@when("the pause before the probe has passed and urgent and normal jobs wait")
def step_wait(context):
    for number in range(3):
        context.shard.cancel(f"j0-{number}")
    context.scheduler.process_ends(1.0)
    assert context.attribution.current_quarantine(context.views, 1.0).quarantined == {
        "failing": False
    }
    for name, urgent in (("j0-a", True), ("j0-b", True), ("j0-c", False), ("j0-d", False)):
        submit(context, name, urgent)
    context.grants = start_tasks(context, context.views, 1.0 + FIRST_PROBE_PAUSE_SECONDS)


@then("only a normal job is started on the failing worker")
def step_probe(context):
    placed = {task_id: grant.agent_id for task_id, grant in context.grants.items()}
    assert placed == {"j0-a/0": "healthy", "j0-c/0": "failing"}, placed


@when("the probe completes")
def step_probe_completes(context):
    report(context, context.grants["j0-c/0"], "completed", 8.0)
    context.scheduler.process_ends(8.0)


@then("the worker is no longer quarantined")
def step_returned(context):
    assert not context.attribution.current_quarantine(context.views, 8.0).quarantined


def newest_shares(interference, agent_id, _measured_at):
    history = interference._history.get(agent_id)
    return history[-1].by_class if history else None


def oldest_shares_if_unknown(interference, agent_id, measured_at):
    history = interference._history.get(agent_id, ())
    before = [shares for shares in history if shares.changed_at <= measured_at]
    return before[-1].by_class if before else (history[0].by_class if history else None)


SHARES_PATCHES = {
    "credit by time of measurement": newest_shares,
    "recorded history only": oldest_shares_if_unknown,
}


@when("the interference machine runs with seed {seed:d} and {examples:d} examples")
def step_interference_machine(context, seed, examples):
    run_machine(context, InterferenceMachine, seed, examples)


@when(
    "the interference machine runs with seed {seed:d} and {examples:d} examples "
    'without the guard "{guard}"'
)
def step_interference_without_guard(context, seed, examples, guard):
    with patch.object(LearnedInterference, "_shares_at", SHARES_PATCHES[guard]):
        run_machine(context, InterferenceMachine, seed, examples)


@then("the interference machine finds no violation")
def step_no_interference_violation(context):
    assert context.violation is None, context.violation


@then('the interference machine finds "{text}"')
def step_interference_violation(context, text):
    assert context.violation is not None and text in context.violation, context.violation


def fill_pairs(interference):
    for number in range(LIMIT + 1):
        interference.record_shares("agent", {f"name-{number}": 0.5}, float(number))
        interference.record_measurement("agent", "desk", 2.0, 0.5, float(number))
    return [name for _, name, _ in interference._pairs]


def fill_workers_with_history(interference):
    for number in range(LIMIT + 1):
        interference.record_shares(f"name-{number}", {}, 0.0)
    return list(interference._history)


def fill_changes_per_worker(interference):
    for number in range(LIMIT + 1):
        interference.record_shares("agent", {f"name-{number}": 0.5}, float(number))
    assert not interference.record_measurement("agent", "desk", 2.0, 0.5, 0.5)
    return [name for shares in interference._history["agent"] for name in shares.by_class]


FILL_INTERFERENCE = {
    "pairs": ("MAX_PAIRS", fill_pairs),
    "workers with history": ("MAX_WORKERS_WITH_HISTORY", fill_workers_with_history),
    "changes per worker": ("MAX_CHANGES_PER_WORKER", fill_changes_per_worker),
}


@when("the learned interference is filled beyond its bound of {bound}")
def step_fill_interference(context, bound):
    constant, fill = FILL_INTERFERENCE[bound]
    with patch.object(interference_module, constant, LIMIT):
        context.kept = fill(LearnedInterference())


@given('measurements in which class "{name}" doubles the service time of "{service}"')
def step_measured(context, name, service):
    context.interference = LearnedInterference()
    context.interference.record_shares("with", {name: 1.0}, 0.0)
    for number in range(10 * MIN_SAMPLES):
        context.interference.record_measurement("with", service, 2.0, 0.0, float(number))


@then('a task of class "{name}" is placed on a worker without "{service}"')
def step_placed_elsewhere(context, name, service):
    with_service = view("with").replace(services=frozenset([service]))
    request = PlacementRequest(CORE, batch_class=name)
    chosen = LeastInterferenceFit(context.interference).choose(
        request, [with_service, view("without")]
    )
    assert chosen is not None and chosen.agent_id == "without"


@then(
    "the expected slowdown of an unknown class rises from 0 to {value:g} "
    "once one of its tasks runs there"
)
def step_unknown(context, value):
    assert value == UNKNOWN_SLOWDOWN
    assert context.interference.expected_slowdown("with", "desk", "new", 0.0) == 0.0
    context.interference.record_shares("with", {"new": 0.1}, 100.0)
    assert context.interference.expected_slowdown("with", "desk", "new", 0.0) == value


@then("the interfering class is unknown again after {seconds:g} s without measurements")
def step_forgotten(context, seconds):
    assert seconds == MAX_PAIR_AGE_SECONDS
    assert context.interference.expected_slowdown("without", "desk", "interfering", 0.0) > 0.9
    last = 10 * MIN_SAMPLES - 1
    context.interference.record_measurement("with", "desk", 1.0, 0.0, last + seconds + 1.0)
    assert context.interference.expected_slowdown("without", "desk", "interfering", 0.0) == 0.0
