"""Steps for services and batch tasks that share a worker: pace, placement, interference."""

import json
from itertools import pairwise, product
from pathlib import Path
from unittest import mock

import cbor2
import gevent
from behave import given, then, when
from workflow_support import WorkflowWorld, step

from acaciastand.cluster import interference_store
from acaciastand.cluster.interference_store import InterferenceStore
from acaciastand.cluster.keys import INTERFERENCE_KEY, OWNER_KEY, decode_interference
from acaciastand.coordination.transactions import MemoryTransactionalStore
from acaciastand.errors import InvalidInput
from acaciastand.workflow.interference import Interference, LearnedInterference
from acaciastand.workflow.pacing import FullSpeed, Pace, RunLimits, TailPacer
from acaciastand.workflow.placement import tolerates_unknown_batch_task
from acaciastand.workflow.reports import ActiveRun

POLL_SECONDS = 0.35
SERVICE_IMAGE = "watch"
RECORDED = Path(__file__).parent.parent / "recorded" / "shared_workers.json"
INTERFERING = {
    ("batch-4", "service-2"),
    ("batch-4", "service-3"),
    ("batch-4", "service-4"),
    ("batch-5", "service-3"),
    ("batch-8", "service-3"),
}


class GivenInterference(Interference):
    """Model with the pairs that a scenario gives."""

    def __init__(self):
        self.per_core_by_pair = {}

    def observe(self, worker):
        pass

    def headroom_per_core(self, batch, service):
        return self.per_core_by_pair.get((batch, service))


@given("a service with a latency target of 18 ms beside batch tasks")
def given_service(context):
    context.pacer, context.now, context.pace = TailPacer(), 100.0, 100


@given("the baseline pacer and a service")
def given_baseline(context):
    context.pacer, context.now, context.pace = FullSpeed(), 100.0, 100


@when("the tail latency is {tail:d} ms for {seconds:f} seconds")
def when_tail(context, tail, seconds):
    limits = {
        "service": RunLimits(18.0, False),
        "interfering": RunLimits(0.0, True),
        "non-interfering": RunLimits(0.0, True),
    }
    running = [
        ActiveRun("service", 1, measurement=float(tail)),
        ActiveRun("interfering", 1, measurement=3.0),
    ]
    non_interfering = getattr(context, "non_interfering", ())
    running += [ActiveRun(task, 1, measurement=3.0) for task in non_interfering]
    if getattr(context, "moved", False):
        del running[1]
    end = context.now + seconds
    while context.now < end:
        context.pace = context.pacer.update(running, limits, non_interfering, context.now)
        if not context.pace.non_interfering:
            context.paused_at = [*getattr(context, "paused_at", [100.0]), context.now]
        context.now += POLL_SECONDS


@then("the pace is between {low:d} and {high:d} percent")
def then_pace(context, low, high):
    assert low <= context.pace.interfering <= high, context.pace


@given("a worker with a service and capacity for batch tasks")
def given_worker(context):
    context.world = WorkflowWorld(interference=GivenInterference())
    context.world.add_worker("1", 32.0)
    serving = step(1, 6.0, 1000, 0.0, continuous=True, target_ms=18.0, image=SERVICE_IMAGE)
    context.world.submit("00000000000000c0", "watchers", serving)
    context.world.plan()
    context.view = context.world.scheduler.workers["1"]


@when("the service is far below its latency target")
def when_far_below_target(context):
    context.view.tail_share = 0.3


@when("the service is near its latency target")
def when_near_target(context):
    context.view.tail_share = 0.85


@when("the pace was lowered")
def when_lowered(context):
    context.view.pace_percent = 45


@when("another batch task started a moment ago")
def when_another(context):
    context.view.leftover_started_at = context.world.now - 0.1


@then("a batch task starts")
def then_starts(context):
    assert batch_starts(context)


@then("a batch task does not start")
def then_not(context):
    assert not batch_starts(context)


def batch_starts(context):
    assert tolerates_unknown_batch_task(context.view, context.world.now) in (True, False)
    batch = step(1, 3.5, 1000, 4.0, uses_leftover=True)
    context.world.submit("00000000000000b0", "plans", batch)
    return bool(context.world.plan())


@given('image "{image}" is known to take {per_core:f} headroom per core from the service')
def given_known(context, image, per_core):
    context.world.scheduler.interference.per_core_by_pair[(image, SERVICE_IMAGE)] = per_core


@given("a worker without services")
def given_free_worker(context):
    context.world.add_worker("2", 32.0)


def start_batch(context, count, image):
    """Submit batch tasks and return the agents that they start at."""
    number = 0xB0 + len(context.world.scheduler.jobs)
    batch = step(count, 3.0, 1000, 4.0, uses_leftover=True, image=image)
    context.world.submit(f"{number:016x}", "plans", batch)
    return [start.agent_id for start in context.world.plan()]


@then('{count:d} batch tasks of image "{image}" start at once')
def then_start_at_once(context, count, image):
    assert start_batch(context, count, image) == ["1"] * count


@then('no batch task of image "{image}" starts')
def then_none_starts(context, image):
    assert not start_batch(context, 1, image)


@then('{count:d} batch tasks of image "{image}" start beside the service')
def then_start_beside(context, count, image):
    assert start_batch(context, count, image) == ["1"] * count


@then('a batch task of image "{image}" starts on the worker without services')
def then_start_free(context, image):
    assert start_batch(context, 1, image) == ["2"]


@given("a service with a latency target of 18 ms beside an interfering and a non-interfering task")
def given_two_kinds(context):
    context.pacer, context.now, context.pace = TailPacer(), 100.0, Pace()
    context.non_interfering = {"non-interfering"}


@then("the non-interfering task works at 100 percent and the other at less than 50")
def then_only_interfering(context):
    assert context.pace.non_interfering == 100 and context.pace.interfering < 50, context.pace


@when("the interfering task has moved and the tail latency is {tail:d} ms for {seconds:f} seconds")
def when_moved(context, tail, seconds):
    context.moved = True
    when_tail(context, tail, seconds)


@then("the next interfering task may work at 100 percent")
def then_raised(context):
    assert context.pace.interfering == 100, context.pace


@then("the non-interfering task was paused at least every {seconds:f} seconds")
def then_paused(context, seconds):
    gaps = [later - earlier for earlier, later in pairwise([*context.paused_at, context.now])]
    assert len(context.paused_at) > 10 and max(gaps) <= seconds, gaps


@then("the task counts as interfering and is slowed down")
def then_found_interfering(context):
    assert context.pacer.found_interfering == {"non-interfering"}
    assert context.pace.interfering < 50, context.pace


@then("both tasks are paused")
def then_both_paused(context):
    assert context.pace == Pace(0, 0), context.pace


@given("the recorded measurements of shared workers")
def given_recorded(context):
    context.measurements = json.loads(RECORDED.read_text())


@when("the model learns from them")
def when_learned(context):
    context.interference = LearnedInterference()
    for tails, cores in context.measurements:
        for service, tail in tails:
            context.interference.learn(service, tail, dict(cores))


@when("a new owner reads what its predecessor stored")
def when_handed_over(context):
    store = MemoryTransactionalStore()
    fence = store.commit({}, {OWNER_KEY: b"predecessor"})
    with mock.patch.object(interference_store, "STORE_INTERVAL_SECONDS", 0.01):
        writer = gevent.spawn(InterferenceStore(store, context.interference, fence).store_forever)
        gevent.sleep(0.1)
        writer.kill()
    assert store.revision == fence + 1  # An unchanged model is stored once.
    context.successor = LearnedInterference()
    InterferenceStore(store, context.successor, fence).load()


@then("the new owner knows each pair as well as its predecessor")
def then_handed_over(context):
    batches = {batch for _, cores in context.measurements for batch, _ in cores}
    services = {service for tails, _ in context.measurements for service, _ in tails}
    known_count = 0
    for batch, service in product(batches, services):
        former = context.interference.headroom_per_core(batch, service)
        restored = context.successor.headroom_per_core(batch, service)
        assert (former is None) == (restored is None), (batch, service, former, restored)
        if former is not None:
            known_count += 1
            assert abs(former - restored) < 0.001, (batch, service, former, restored)
    assert known_count >= len(INTERFERING)


@then("stored models of another layout are refused as invalid input")
def then_refused(context):
    for data in (b"", b"\xff", cbor2.dumps(7), cbor2.dumps([[["a", "b", "c", 1]], {}])):
        try:
            decode_interference(data)
        except InvalidInput:
            continue
        raise AssertionError(f"{data!r} was accepted")


@then("an owner that finds one begins without known pairs")
def then_begins(context):
    store = MemoryTransactionalStore()
    fence = store.commit({}, {OWNER_KEY: b"predecessor", INTERFERENCE_KEY: b"\xff"})
    interference = LearnedInterference()
    InterferenceStore(store, interference, fence).load()
    assert not interference.snapshot().pairs


@then(
    "batch-4 interferes with service-2, service-3 and service-4,"
    " and batch-5 and batch-8 with service-3"
)
def then_interferes(context):
    for batch, service in INTERFERING:
        per_core = context.interference.headroom_per_core(batch, service)
        assert per_core is not None and per_core > 0.14, (batch, service, per_core)


@then("no other known pair takes more than {limit:f} headroom per core")
def then_others(context, limit):
    batches = {name for _, cores in context.measurements for name, _ in cores}
    services = {name for tails, _ in context.measurements for name, _ in tails}
    for pair in product(sorted(batches), sorted(services)):
        if pair not in INTERFERING:
            assert (context.interference.headroom_per_core(*pair) or 0.0) <= limit, pair


@given("a slowed batch run that saves its progress and a worker without services")
def given_slowed(context):
    given_worker(context)
    batch = step(1, 3.5, 1000, 60.0, uses_leftover=True, saves_progress=True)
    context.world.submit("00000000000000b0", "plans", batch)
    context.world.plan()
    context.world.advance(1.0)
    context.world.add_worker("2", 32.0)
    context.view.pace_percent = 20


@given("{count:d} batch tasks of {seconds:f} seconds wait for the worker without services")
def given_waiting(context, count, seconds):
    batch = step(count, 3.5, 1000, seconds, uses_leftover=True)
    context.world.submit("00000000000000b1", "plans", batch)


@then("the slowed run {outcome}")
def then_run_outcome(context, outcome):
    has_moved = [stop.task_key for stop in context.stops] == ["00000000000000b0.0.0.0"]
    assert has_moved == (outcome == "moves"), context.stops


@when("the scheduler plans")
def when_plans(context):
    context.world.now += 0.2
    _, context.stops = context.world.scheduler.plan(context.world.now, context.world.now_unix)


@then("the run is stopped to move")
def then_moved(context):
    assert [stop.task_key for stop in context.stops] == ["00000000000000b0.0.0.0"]


@then("without free capacity elsewhere it would stay")
def then_stays(context):
    given_slowed(context)
    context.world.workers["2"].capacity.cores = 1.0
    context.world.report("2")
    context.view.pace_percent = 20
    when_plans(context)
    assert not context.stops
