"""Steps that run the state machine and the scripts of the shard, whole and without one guard."""

import sys
from pathlib import Path
from unittest.mock import patch

from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from acaciastand.shard.events import AttemptEnd
from acaciastand.shard.limits import Timings
from acaciastand.shard.runtime_state import AttemptRuntime, LeaseDeadlines
from acaciastand.shard.shard import Shard
from acaciastand.shard.state import CorruptJournal, ShardState, TaskState
from acaciastand.wire.attempt_lists import KnownAttemptList

sys.path.insert(0, str(Path(__file__).parents[1]))
from machines.shard_machine import ShardMachine
from machines.shard_scripts import FAULTS, SCRIPTS, run_pair, running_on, settled, until

STEPS = 40
FOREVER = float("inf")
VIOLATIONS = (AssertionError, CorruptJournal)


def no_renewal_limit(self, valid_until, renew_until):
    self.valid_until, self.renew_until = valid_until, FOREVER


def always_valid(self, valid_until, renew_until):
    self.valid_until, self.renew_until = FOREVER, renew_until


def any_attempt(self, contact, listed):
    return listed.task_id in self.state.running


def treat_as_refused(self, task_id, attempt):
    self.record_unsent_grant(task_id, attempt, 0.0)


def own_renewal_only(self, expiry_seconds):
    return (
        self.former_grants_until
        if self.last_sent_at is None
        else self.last_sent_at + expiry_seconds
    )


def effects_at_once(self, event, effects=()):
    self.ready_messages.extend(effects)
    return effects_at_once.original(self, event)


effects_at_once.original = Shard._add_event


def every_report(self, report, now):
    task = self.state.find_task(report.task_id)
    if task is not None:
        self._end_attempt(task, AttemptEnd(report.result), report.checkpoint)
    return self.sequence


def end_without_checkpoint(self, task, end, checkpoint=""):
    end_without_checkpoint.original(self, task, end)


end_without_checkpoint.original = Shard._end_attempt


def release_all_confirmed(self):
    for known in self.attempts.values():
        known.epoch_confirmed = True
    return release_all_confirmed.original(self)


release_all_confirmed.original = Shard.release


def wait_although_cancelled(self, task, end):
    return TaskState.DONE if end == AttemptEnd.COMPLETED else TaskState.WAITING


def end_when_asked(self, task_id):
    task = self.state.running[task_id]
    end_when_asked.original(self, task_id)
    self._end_attempt(task, AttemptEnd.STOPPED)


end_when_asked.original = Shard.stop_bucket


def renew_all_by_digest(self, heartbeat, reply):
    reply.knows_held = True
    if heartbeat.digest:
        reply.renewed_digest, reply.renewed = heartbeat.digest, []
    return reply


REMOVED = {
    "bucket ends before it moves": (Shard, "stop_bucket", end_when_asked),
    "digest only of the same renewals": (KnownAttemptList, "abbreviate", renew_all_by_digest),
    "wait of a new owner": (Timings, "takeover_expiry_seconds", Timings.expiry_seconds),
    "outage hold": (LeaseDeadlines, "__init__", no_renewal_limit),
    "expiry of the grant": (Timings, "expiry_seconds", lambda self: 1.0),
    "only current attempts": (Shard, "_is_current", any_attempt),
    "unknown fate of a grant": (Shard, "record_lost_grant_reply", treat_as_refused),
    "epoch seen by the agent": (AttemptRuntime, "expires_at", own_renewal_only),
    "valid lease for adoption": (LeaseDeadlines, "__init__", always_valid),
    "effects after the commit": (Shard, "_add_event", effects_at_once),
    "reports are idempotent": (Shard, "process_report", every_report),
    "checkpoint with the end": (Shard, "_end_attempt", end_without_checkpoint),
    "unconfirmed at release": (Shard, "release", release_all_confirmed),
    "cancelled tasks do not wait": (ShardState, "_state_after", wait_although_cancelled),
}


def run_machine(number, examples, phases=(Phase.generate,)):
    chosen = settings(
        max_examples=examples,
        stateful_step_count=STEPS,
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
        context.world = SCRIPTS[case]()
        context.world.finale()
    except VIOLATIONS as error:
        context.violation = str(error)


@when("the shard machine runs with seed {number:d} and {examples:d} examples")
def step_run_machine(context, number, examples):
    context.violation = None
    try:
        run_machine(number, examples)
    except VIOLATIONS as error:
        context.violation = str(error)


@when("the {first} and then each other fault happens, or the same again")
def step_pairs(context, first):
    context.violation = None
    for second in FAULTS:
        for gap_seconds in (0.25, 5.0):
            try:
                run_pair(first, second, gap_seconds)
            except VIOLATIONS as error:
                context.violation = f"{second} after {gap_seconds} s: {error}"


@then("the shard machine finds no violation")
@then("the shard world shows no violation")
def step_no_violation(context):
    assert context.violation is None, context.violation


@when('the script "{case}" runs on the shard world')
def step_script(context, case):
    run_script(context, case)


@then("agents sent digests in place of lists")
def step_digests(context):
    assert context.world.digests, "every heartbeat carried its list"


@when('the script "{case}" runs without the guard "{guard}"')
def step_without_guard(context, case, guard):
    with patch.object(*REMOVED[guard]):
        run_script(context, case)


@then('the shard world shows "{text}"')
def step_violation(context, text):
    assert context.violation is not None and text in context.violation, context.violation


@given("a shard world with two free workers")
def step_world(context):
    context.world = settled()


@when("an urgent job is accepted and its owner {fault} {moment}")
def step_urgent(context, fault, moment):
    world, owner = context.world, context.world.owner()
    context.submitted = world.time
    job_id = world.submit(urgent=True)
    until(world, lambda: job_id in world.accepted)
    if moment == "after the grant":
        until(world, lambda: owner.shard.attempts or running_on(world))
    if fault == "freezes":
        owner.frozen = True
    elif fault == "crashes":
        owner.restart()
        owner.passive = True
    else:
        owner.release()


@then("the urgent job starts within {limit:g} s of its submission")
def step_urgent_started(context, limit):
    world = context.world
    until(world, lambda: running_on(world) is not None)
    took = world.time - context.submitted
    assert took <= limit, f"the urgent job started after {took} s"
