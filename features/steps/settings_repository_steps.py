"""Steps on the settings tree, its repository and confirmed revisions."""

import itertools
import json

from behave import given, then, when
from hypothesis import HealthCheck
from hypothesis import settings as run_settings
from hypothesis.stateful import run_state_machine_as_test
from machines.settings_machine import SettingsMachine

from acaciastand.coordination.journal import Journal
from acaciastand.coordination.memory import MemoryStore
from acaciastand.errors import AcaciastandError
from acaciastand.settings import confirmation, edits, state, tree, validation
from acaciastand.settings.confirmation import Confirmations, TooManyProcesses
from acaciastand.settings.edits import Edit, EditBatch
from acaciastand.settings.paths import MAX_PART_CHARACTERS
from acaciastand.settings.repository import JOURNAL_NAME, SettingsRepository

FIRM = "maison-reprise"
MACHINE_RUNS = 60
MACHINE_STEPS = 40


@when("three writers edit the settings tree through faults")
def step_machine(context):
    profile = run_settings(
        derandomize=True,
        max_examples=MACHINE_RUNS,
        stateful_step_count=MACHINE_STEPS,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(SettingsMachine, settings=profile)


@then("every accepted edit persists")
def step_persists(context):
    """Check nothing more; the machine checks this after each of its steps."""


@given("an empty settings tree")
def step_empty(context):
    numbers = itertools.count()
    journal = Journal(
        MemoryStore(lambda: 0.0), JOURNAL_NAME, "a", lambda: next(numbers).to_bytes(16, "big")
    )
    context.repository = SettingsRepository(journal, FIRM)
    context.error = None


def apply(context, changes, author="ann", if_revision=None):
    revision = context.repository.revision if if_revision is None else if_revision
    return context.repository.edit(EditBatch(changes, revision, author))


@when('"{author}" sets "{key}" at "{path}" to {value}')
@when('"" sets "{key}" at "{path}" to {value}')
def step_set(context, key, path, value, author=""):
    try:
        apply(context, [Edit(path, key, json.loads(value))], author, if_revision=0)
    except AcaciastandError as error:
        context.error = error


@when("an edit is based on revision {revision:d}")
def step_future(context, revision):
    try:
        apply(context, paths_of(1), if_revision=revision)
    except AcaciastandError as error:
        context.error = error


@then('the edit is refused as "{code}" with "{words}"')
def step_refused(context, code, words):
    assert context.error is not None, "the edit was accepted"
    assert context.error.code == code, context.error
    assert words in str(context.error), context.error


def draining(size):
    """Return a value of exactly `size` bytes as JSON."""
    items = ["a" * 100] * ((size - 2) // 104 - 1)
    rest = size - len(json.dumps([*items, ""]))
    return [*items, "b" * min(rest, 200)]


def value_of(size):
    return [Edit(FIRM, "draining", draining(size))]


def tree_of(size):
    full, changes = 15_000, []
    while size > 0:
        path = f"{FIRM}/r{len(changes):02}"
        overhead = len(path) + len("draining") + tree.CHANGE_OVERHEAD_BYTES
        used = size if size - overhead <= full else full + overhead
        if 0 < size - used < 1_000:
            used -= 1_000
        changes.append(Edit(path, "draining", draining(used - overhead)))
        size -= used
    return changes


def paths_of(count):
    return [Edit(f"{FIRM}/r{number}", "entry_fanout", 2) for number in range(count)]


def accepted(context, changes, author="ann"):
    size = edits.MAX_EDITS_PER_BATCH
    try:
        for start in range(0, len(changes), size):
            apply(context, changes[start : start + size], author)
    except AcaciastandError as error:
        context.error = error
        return False
    return True


BOUNDS = {
    "the value size": (validation.MAX_SETTING_BYTES, value_of, "setting_invalid"),
    "the tree size": (tree.MAX_TREE_BYTES, tree_of, "settings_full"),
    "the path count": (tree.MAX_NODES, paths_of, "settings_full"),
}


@then("{bound} is accepted at its bound and refused above it")
def step_bound(context, bound):
    if bound in BOUNDS:
        limit, make, code = BOUNDS[bound]
        assert not accepted(context, make(limit + 1))
        assert context.error.code == code, context.error
        step_empty(context)
        assert accepted(context, make(limit)), context.error
    elif bound == "the edits a batch":
        apply(context, paths_of(edits.MAX_EDITS_PER_BATCH))
        assert refuses(context, paths_of(edits.MAX_EDITS_PER_BATCH + 1))
    elif bound == "the author length":
        assert accepted(context, paths_of(1), "a" * edits.MAX_AUTHOR_CHARACTERS)
        assert not accepted(context, paths_of(1), "a" * (edits.MAX_AUTHOR_CHARACTERS + 1))
    else:
        name = "a" * MAX_PART_CHARACTERS
        assert accepted(context, [Edit(f"{FIRM}/{name}", "entry_fanout", 2)])
        assert not accepted(context, [Edit(f"{FIRM}/{name}a", "entry_fanout", 2)])


def refuses(context, changes):
    try:
        apply(context, changes)
    except AcaciastandError:
        return True
    return False


@when("more edits are applied than the history and the removals may hold")
def step_many(context):
    count = tree.MAX_REMOVED + 1
    changes = paths_of(count)
    accepted(context, changes)
    for start in range(0, count, 100):
        apply(context, [Edit(edit.path, edit.key) for edit in changes[start : start + 100]])
    context.first = changes[0]


@then("the oldest are forgotten and stale edits of forgotten keys still conflict")
def step_forgotten(context):
    current = context.repository.current
    assert len(current.history) <= state.MAX_HISTORY_ITEMS
    assert current._history_bytes <= state.MAX_HISTORY_BYTES
    removed = [change for _, _, change in current.tree._items() if change.value is None]
    assert len(removed) == tree.MAX_REMOVED and current.tree.forgotten_revision
    try:
        apply(context, [context.first], if_revision=1)
    except AcaciastandError as error:
        assert error.code == "settings_conflict", error
    else:
        raise AssertionError("a stale edit of a forgotten key was accepted")


@when("a peer's snapshot of revision {revision:d} is adopted")
def step_adopt(context, revision):
    peer = state.SettingsState()
    peer.revision = revision
    assert context.repository.adopt({"firm": FIRM, **peer.to_item()})


@then("confirmations follow the table and keep their bound")
def step_confirmations(context):
    known = Confirmations()
    assert known.in_force(5).revision == 5  # alone
    known.join("agent", 3, 0.0)
    known.join("peer", 5, 0.0)
    report = known.in_force(5)
    assert (report.revision, report.lagging) == (3, ["agent"])
    known.confirm("agent", 5)
    known.confirm("agent", 4)  # a late heartbeat
    assert known.in_force(5).revision == 5
    known.lose("peer", 1.0)
    assert known.in_force(6).unreachable == ["peer"]
    known.join("agent", 2, 2.0)  # restarted with an older revision
    assert known.in_force(6).revision == 2
    known.leave("agent")
    assert known.in_force(6).revision == 6
    for number in range(confirmation.MAX_PROCESSES - 1):
        known.join(f"agent-{number}", 1, 3.0)
    assert known.in_force(2).lagging_count == confirmation.MAX_PROCESSES - 1
    assert len(known.in_force(2).lagging) == confirmation.MAX_LISTED
    try:
        known.join("one more", 1, 3.0)
    except TooManyProcesses:
        return
    raise AssertionError("more processes were followed than the bound allows")
