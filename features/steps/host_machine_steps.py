"""Steps that run the state machine of the host, whole and with one guard removed."""

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


def only(kept):
    """Return a replacement of `RequestSlots.refusal` that keeps one of its two limits."""
    original = RequestSlots.refusal

    def refusal(self, needs_slot=True):
        reason = original(self, needs_slot)
        return reason if reason is kept else None

    return refusal


def counted_from_receipt(self, link, grant, now):
    return now + grant.grant_seconds


def endless_lease(self, attempt, now):
    command = endless_lease.original(self, attempt, now)
    if command is not None:
        command.valid_until += GRANT_SECONDS
    return command


endless_lease.original = Host._command


def forget_abandoned(self, request_id, known_ended, now):
    self.running.discard(request_id)


REMOVED = {
    "capacity of the host": lambda: patch.object(Ledger, "counted", lambda self: Resources()),
    "recovery after a restart": lambda: patch.object(
        Host, "recovering", PropertyMock(return_value=False)
    ),
    "grant counted from the heartbeat": lambda: patch.object(
        Host, "_valid_until", counted_from_receipt
    ),
    "leases end with the grant": lambda: patch.object(Host, "_command", endless_lease),
    "epoch of the owner": lambda: patch.object(
        Host, "observe_epoch", lambda self, shard, epoch: True
    ),
    "numbers of stopped attempts": lambda: patch.object(
        Ledger, "close", lambda self, task_id, number, now: True
    ),
    "slots": lambda: patch.object(RequestSlots, "refusal", only(Reason.NO_CONNECTION)),
    "connections": lambda: patch.object(RequestSlots, "refusal", only(Reason.NO_SLOT)),
    "abandoned requests keep their slot": lambda: patch.object(
        RequestSlots, "end", forget_abandoned
    ),
    "recorded keys": lambda: patch.object(KeyTable, "get", lambda self, key, now: None),
    "unknown key with a higher number": lambda: patch(
        "acaciastand.host.requests.unknown_key_refusal", lambda *arguments: None
    ),
}


@given('the guard "{guard}" is removed')
def step_remove_guard(context, guard):
    context.stack.enter_context(REMOVED[guard]())


@when("the host machine runs with seed {number:d} and {examples:d} examples")
def step_run_machine(context, number, examples):
    context.violation = violation_of(HostMachine, number, examples, STEPS)


@then("it finds no violation")
def step_no_violation(context):
    assert context.violation is None, context.violation


@then('it finds "{text}"')
def step_violation(context, text):
    assert context.violation is not None and text in context.violation, context.violation
