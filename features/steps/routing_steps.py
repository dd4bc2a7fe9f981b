"""Steps on routing decisions."""

import itertools
import random

import hypothesis
from behave import given, then, when
from hypothesis.stateful import run_state_machine_as_test
from machines.routing_machines import MACHINES

import acaciastand.entry.agents as agents_module
import acaciastand.entry.peers as peers_module
import acaciastand.routing.health as health_module
import acaciastand.routing.keys as keys_module
import acaciastand.routing.router as router_module
from acaciastand.entry.agents import AgentRegistry, TooManyAgents
from acaciastand.entry.peers import Peers
from acaciastand.errors import Outcome
from acaciastand.host.keyed import bucket_task_id
from acaciastand.routing import (
    BucketHomes,
    Deadline,
    LeastLoadedOfTwo,
    RandomChooser,
    Router,
    TargetHealth,
    TargetView,
    bucket_of,
    may_retry,
)
from acaciastand.wire.messages import EntryAddress, Hello, PeerHeartbeat

EXAMPLES = 100
STEPS = 40
LIMIT = 3  # Replaces the real limits, which would take long to reach.
CHOICES = 50  # Random choices that are observed.


@when('the state machine of the "{name}" runs with seed {seed:d}')
def step_machine(context, name, seed):
    context.error = None
    settings = hypothesis.settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    run_state_machine_as_test(hypothesis.seed(seed)(MACHINES[name]), settings=settings)


@then("no step broke a limit")
def step_no_error(context):
    """Do nothing: a broken limit fails the previous step with an assertion error."""


@then(
    'after {outcome} with "{reason}" a request that is {kind} and {origin} '
    "may be retried after {attempts:d} attempts: {allowed}"
)
def step_retry(context, outcome, reason, kind, origin, attempts, allowed):
    is_allowed = may_retry(
        Outcome(outcome), reason, kind == "idempotent", attempts, origin == "forwarded"
    )
    assert is_allowed == (allowed == "yes")


@given('targets "{text}" as name:zone:slots:in_flight')
def step_targets(context, text):
    context.targets = []
    for item in text.split():
        name, zone, slots, in_flight = item.split(":")
        target = TargetView(name, zone, ("s",), int(slots), int(in_flight))
        context.targets.append(target)


@then('an entry in gent chooses only "{name}"')
def step_chooses(context, name):
    rng = random.Random(1)
    chooser = LeastLoadedOfTwo("gent")
    chosen = {chooser.choose(context.targets, rng).agent_id for _ in range(CHOICES)}
    assert chosen == {name}, chosen


@then(
    "{count:d} requests on {targets:d} targets end with a lower maximum "
    "for two random targets than for one"
)
def step_two_choices(context, count, targets):
    def highest_load(chooser):
        rng = random.Random(1)
        views = [TargetView(str(number), "gent", ("s",), count) for number in range(targets)]
        for _ in range(count):
            chooser.choose(views, rng).own_in_flight += 1
        return max(view.own_in_flight for view in views)

    assert highest_load(LeastLoadedOfTwo("gent")) + 5 < highest_load(RandomChooser())


@then('a deadline in {remaining:d} ms with lowest latency "{lowest}" is too short: {too_short}')
def step_too_short(context, remaining, lowest, too_short):
    deadline = Deadline(10.0 + (remaining + 0.5) / 1000)
    lowest_seconds = None if lowest == "none" else int(lowest) / 1000
    assert deadline.is_too_short(10.0, lowest_seconds) == (too_short == "yes")


@then("a keyed request with {stated:d} ms has {keyed:d} ms and one without a key has {plain:d} ms")
def step_keyed_timeout(context, stated, keyed, plain):
    assert Deadline.after(0.0, stated, keyed=True).remaining_ms(0.0) == keyed
    assert Deadline.after(0.0, stated).remaining_ms(0.0) == plain


@given('a service with {count:d} targets of which "{name}" was ejected')
def step_health(context, count, name):
    context.health = TargetHealth(0.34)
    for other in [name, *(str(number) for number in range(count - 1))]:
        context.health.add(other)
        context.health.record_result(other, True, 0.01, 0.0)
    for _ in range(health_module.FAILURES_TO_EJECT):
        context.health.record_result(name, False, 1.0, 0.0)
    assert context.health.ejected() == [name]


@when('a late fast answer of "{name}" arrives')
def step_late_answer(context, name):
    context.health.record_result(name, True, 0.01, 0.1)


@when("a second target is ejected and a healthy one leaves")
def step_leaves(context):
    for _ in range(health_module.FAILURES_TO_EJECT):
        context.health.record_result("2", False, 1.0, 0.5)
    context.health.remove("1")
    assert not context.health.is_available("2")


@then('"{name}" stays ejected')
def step_ejected(context, name):
    assert not context.health.is_available(name)


@when('the pause is over and the probe of "{name}" is answered fast')
def step_probe(context, name):
    now = health_module.FIRST_PAUSE_SECONDS + 0.5
    assert context.health.start_probe([name], now) == name
    assert context.health.start_probe([name], now) is None, "only one probe at a time"
    context.health.record_result(name, True, 0.01, now)


@then('"{name}" is available')
def step_available(context, name):
    assert context.health.is_available(name)


@then("{count:d} keys have the same bucket in routing and in the host")
def step_same_bucket(context, count):
    for number in range(count):
        key = f"clé-{number}"
        assert bucket_of("s", key).task_id == bucket_task_id("s", key)


class OpenConnection:
    """Stand-in for an open connection, of which only `user_data` and `close` are used."""

    user_data = None

    def close(self):
        """Do nothing."""


def fill_services():
    router = Router(RandomChooser(), random.Random(1), 0.34, 0.2)
    for number in range(LIMIT + 2):
        router.add(TargetView(f"a{number}", services=(f"s{number}",)))
    assert router.choose(f"s{LIMIT}", set(), 0.0) is None
    return len(router.services)


def fill_targets():
    health = TargetHealth(1.0)
    for number in range(LIMIT + 2):
        health.add(f"a{number}")
        for _ in range(health_module.FAILURES_TO_EJECT):
            health.record_result(f"a{number}", False, 1.0, 0.0)
    assert health.is_available(f"a{LIMIT}")
    return len(health.ejected())


def fill_buckets():
    homes = BucketHomes()
    homes.announce("a", {f"bucket/s/{number}": 1 for number in range(LIMIT + 2)})
    return len(homes)


def fill_agents():
    router = Router(RandomChooser(), random.Random(1), 0.34, 0.2)
    registry = AgentRegistry(router, lambda _session: None)
    try:
        for number in itertools.count():
            registry.admit(OpenConnection(), Hello(agent_id=f"a{number}"), 0.0)
    except TooManyAgents:
        return len(registry.sessions())


def fill_peers(context):
    peers = Peers(
        EntryAddress("own", "127.0.0.1:1"),
        [],
        PeerHeartbeat,
        None,
        lambda: None,
        lambda _peer: None,
        lambda: 0.0,
    )
    context.stack.callback(peers.stop)
    peers.add_entries([EntryAddress(f"e{number}", f"127.0.0.1:{number}") for number in range(2, 8)])
    return len(peers.peers)


FILLERS = {
    "services": (router_module, "MAX_SERVICES", lambda _context: fill_services()),
    "targets": (health_module, "MAX_TARGETS", lambda _context: fill_targets()),
    "buckets": (keys_module, "MAX_HOMES", lambda _context: fill_buckets()),
    "agents": (agents_module, "MAX_AGENTS", lambda _context: fill_agents()),
    "peers": (peers_module, "MAX_PEERS", fill_peers),
}


@then('the table of "{table}" stops growing at its limit')
def step_bounded(context, table):
    module, constant, fill = FILLERS[table]
    context.stack.callback(setattr, module, constant, getattr(module, constant))
    setattr(module, constant, LIMIT)
    assert fill(context) == LIMIT
