"""Steps that run the state machine and the scripts of the shard, with or without one guard."""

import sys
from pathlib import Path
from unittest.mock import patch

from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from acaciastand.shard.contacts import ContactProcessor
from acaciastand.shard.events import AttemptEnd
from acaciastand.shard.limits import Timings
from acaciastand.shard.runtime_state import AttemptRuntime, LeaseDeadlines
from acaciastand.shard.shard import Shard
from acaciastand.shard.state import CorruptJournal, ShardState, TaskState
from acaciastand.wire.attempt_lists import KnownAttemptList

sys.path.insert(0, str(Path(__file__).parents[1]))
from machines.shard_machine import ShardMachine
from machines.shard_scripts import (
    FAULTS,
    SCRIPTS,
    advance_until,
    agent_running_task,
    run_fault_pair,
    start_simulation,
)

STEPS_PER_EXAMPLE = 40
NEVER_ENDS = float("inf")
VIOLATIONS = (AssertionError, CorruptJournal)


def no_renewal_limit(self, valid_until, renew_until):
    self.valid_until, self.renew_until = valid_until, NEVER_ENDS


def endless_lease(self, valid_until, renew_until):
    self.valid_until, self.renew_until = NEVER_ENDS, renew_until


def renew_any_attempt(self, contact, listed):
    return listed.task_id in self.shard.state.running


def treat_as_refused(self, task_id, attempt):
    self.record_unsent_grant(task_id, attempt, 0.0)


def ignore_former_grants(self, expiry_seconds):
    return (
        self.former_grants_until
        if self.last_sent_at is None
        else self.last_sent_at + expiry_seconds
    )


def send_before_commit(self, event, messages=()):
    self.ready_messages.extend(messages)
    return send_before_commit.original(self, event)


send_before_commit.original = Shard._add_event


def apply_every_report(self, report, now):
    task = self.state.find_task(report.task_id)
    if task is not None:
        self.end_attempt(task, AttemptEnd(report.result), report.checkpoint)
    return self.sequence


def end_without_checkpoint(self, task, end, checkpoint=""):
    end_without_checkpoint.original(self, task, end)


end_without_checkpoint.original = Shard.end_attempt


def release_as_confirmed(self):
    for runtime in self.attempts.values():
        runtime.epoch_confirmed = True
    return release_as_confirmed.original(self)


release_as_confirmed.original = Shard.release


def restart_cancelled_tasks(self, task, end):
    return TaskState.DONE if end == AttemptEnd.COMPLETED else TaskState.WAITING


def end_before_confirmation(self, task_id):
    task = self.state.running[task_id]
    end_before_confirmation.original(self, task_id)
    self.end_attempt(task, AttemptEnd.STOPPED)


end_before_confirmation.original = Shard.stop_bucket


def renew_all_by_digest(self, heartbeat, reply):
    reply.knows_held = True
    if heartbeat.digest:
        reply.renewed_digest, reply.renewed = heartbeat.digest, []
    return reply


# Class, attribute and replacement that remove a guard, by the name of the guard.
REMOVED_GUARDS = {
    "bucket ends before it moves": (Shard, "stop_bucket", end_before_confirmation),
    "digest only for equal renewals": (KnownAttemptList, "abbreviate", renew_all_by_digest),
    "takeover wait of a new owner": (Timings, "takeover_expiry_seconds", Timings.expiry_seconds),
    "renewal limit": (LeaseDeadlines, "__init__", no_renewal_limit),
    "expiry of the grant": (Timings, "expiry_seconds", lambda self: 1.0),
    "renewal of current attempts only": (ContactProcessor, "_is_current", renew_any_attempt),
    "unknown result of a grant": (Shard, "record_lost_grant_reply", treat_as_refused),
    "epoch seen by the agent": (AttemptRuntime, "expires_at", ignore_former_grants),
    "valid lease for adoption": (LeaseDeadlines, "__init__", endless_lease),
    "messages after the commit": (Shard, "_add_event", send_before_commit),
    "idempotent reports": (Shard, "process_report", apply_every_report),
    "checkpoint with the end": (Shard, "end_attempt", end_without_checkpoint),
    "unconfirmed epochs at release": (Shard, "release", release_as_confirmed),
    "no restart of cancelled tasks": (ShardState, "_state_after", restart_cancelled_tasks),
}


def run_machine(number, examples, phases=(Phase.generate,)):
    chosen = settings(
        max_examples=examples,
        stateful_step_count=STEPS_PER_EXAMPLE,
        deadline=None,
        database=None,
        phases=list(phases),
        report_multiple_bugs=False,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    machine = seed(number)(type("SeededShardMachine", (ShardMachine,), {}))
    run_state_machine_as_test(machine, settings=chosen)


def run_script(context, case):
    context.violation = None
    try:
        context.simulation = SCRIPTS[case]()
        context.simulation.finish_and_check()
    except VIOLATIONS as error:
        context.violation = str(error)


@when("the shard machine runs with seed {number:d} and {examples:d} examples")
def step_run_machine(context, number, examples):
    context.violation = None
    try:
        run_machine(number, examples)
    except VIOLATIONS as error:
        context.violation = str(error)


@when('the fault "{first_fault}" is followed by each fault in turn')
def step_fault_pairs(context, first_fault):
    context.violation = None
    for second_fault in FAULTS:
        for gap_seconds in (0.25, 5.0):
            try:
                run_fault_pair(first_fault, second_fault, gap_seconds)
            except VIOLATIONS as error:
                context.violation = f"{second_fault} after {gap_seconds} s: {error}"


@then("the shard machine finds no violation")
@then("the shard simulation shows no violation")
def step_no_violation(context):
    assert context.violation is None, context.violation


@when('the script "{case}" runs on the shard simulation')
def step_script(context, case):
    run_script(context, case)


@then("agents sent digests instead of lists")
def step_digests(context):
    assert context.simulation.digest_count, "every heartbeat carried its list"


@when('the script "{case}" runs without the guard "{guard}"')
def step_without_guard(context, case, guard):
    with patch.object(*REMOVED_GUARDS[guard]):
        run_script(context, case)


@then('the shard simulation shows "{text}"')
def step_violation(context, text):
    assert context.violation is not None and text in context.violation, context.violation


@given("a shard simulation with two free workers")
def step_simulation(context):
    context.simulation = start_simulation()


@when("an urgent job is accepted and its owner {fault} {moment}")
def step_urgent_job_and_fault(context, fault, moment):
    simulation, owner = context.simulation, context.simulation.current_owner()
    context.submitted_at = simulation.time
    job_id = simulation.submit(urgent=True)
    advance_until(simulation, lambda: job_id in simulation.accepted_jobs)
    if moment == "after the grant":
        advance_until(simulation, lambda: owner.shard.attempts or agent_running_task(simulation))
    if fault == "freezes":
        owner.frozen = True
    elif fault == "crashes":
        owner.restart()
        owner.passive = True
    else:
        owner.release()


@then("the urgent job starts within {limit:g} s of its submission")
def step_urgent_started(context, limit):
    simulation = context.simulation
    advance_until(simulation, lambda: agent_running_task(simulation) is not None)
    wait_seconds = simulation.time - context.submitted_at
    assert wait_seconds <= limit, f"the urgent job started after {wait_seconds} s"
