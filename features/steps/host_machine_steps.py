"""Steps that run the state machine of the host, unchanged or with one guard removed."""

import sys
from pathlib import Path
from unittest.mock import PropertyMock, patch

from behave import given, then, when

from acaciastand.host import Host
from acaciastand.host.keyed import KeyTable
from acaciastand.host.ledger import Ledger
from acaciastand.host.slots import RequestSlots
from acaciastand.reasons import Reason
from acaciastand.resources import Resources

sys.path.insert(0, str(Path(__file__).parents[1]))
from machines.host_machine import GRANT_SECONDS, HostMachine
from machines.running import violation_of

STEPS = 60


def refusal_only_for(enforced):
    """Return a replacement of `RequestSlots.refusal` that enforces one of its two limits."""
    original = RequestSlots.refusal

    def refusal(self, needs_slot=True):
        reason = original(self, needs_slot)
        return reason if reason is enforced else None

    return refusal


def grant_end_from_receipt(self, link, grant, now):
    return now + grant.grant_seconds


def next_command_with_long_lease(self, attempt, now):
    command = next_command_with_long_lease.original(self, attempt, now)
    if command is not None:
        command.valid_until += GRANT_SECONDS
    return command


next_command_with_long_lease.original = Host._next_command


def end_request_without_abandoning(self, request_id, known_ended, now):
    self.running.discard(request_id)


# Patches that remove one guard each.
GUARD_REMOVALS = {
    "capacity of the host": lambda: patch.object(
        Ledger, "counted_resources", lambda self: Resources()
    ),
    "recovery after a restart": lambda: patch.object(
        Host, "recovering", PropertyMock(return_value=False)
    ),
    "grant counted from the heartbeat": lambda: patch.object(
        Host, "_valid_until", grant_end_from_receipt
    ),
    "leases end with the grant": lambda: patch.object(
        Host, "_next_command", next_command_with_long_lease
    ),
    "epoch of the owner": lambda: patch.object(
        Host, "observe_epoch", lambda self, shard, epoch: True
    ),
    "numbers of stopped attempts": lambda: patch.object(
        Ledger, "close_numbers", lambda self, task_id, number, now: True
    ),
    "slots": lambda: patch.object(RequestSlots, "refusal", refusal_only_for(Reason.NO_CONNECTION)),
    "connections": lambda: patch.object(RequestSlots, "refusal", refusal_only_for(Reason.NO_SLOT)),
    "abandoned requests keep their slot": lambda: patch.object(
        RequestSlots, "end_request", end_request_without_abandoning
    ),
    "recorded keys": lambda: patch.object(KeyTable, "get", lambda self, key, now: None),
    "unknown key with a higher number": lambda: patch(
        "acaciastand.host.requests.unknown_key_refusal", lambda *arguments: None
    ),
}


@given('the guard "{guard}" is removed')
def step_remove_guard(context, guard):
    context.stack.enter_context(GUARD_REMOVALS[guard]())


@when("the host machine runs with seed {number:d} and {examples:d} examples")
def step_run_machine(context, number, examples):
    context.violation = violation_of(HostMachine, number, examples, STEPS)


@then("it finds no violation")
def step_no_violation(context):
    assert context.violation is None, context.violation


@then('it finds "{text}"')
def step_violation(context, text):
    assert context.violation is not None and text in context.violation, context.violation
