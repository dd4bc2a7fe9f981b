"""Steps for services and batch tasks that share a worker: pace, placement, interference."""

import json
from itertools import pairwise, product
from pathlib import Path
from unittest import mock

import cbor2
import gevent
from behave import given, then, when
from shared_workers import TAKEN_PER_CORE, SharedWorkersWorld
from waiting import raise_error
from workflow_support import WorkflowWorld, step

from acaciastand.cluster import interference_store
from acaciastand.cluster.batch_costs import decode_batch_costs, encode_batch_costs
from acaciastand.cluster.clock import now
from acaciastand.cluster.interference_store import InterferenceStore
from acaciastand.cluster.keys import INTERFERENCE_KEY, OWNER_KEY, decode_interference
from acaciastand.coordination.transactions import MemoryTransactionalStore
from acaciastand.errors import InvalidInput
from acaciastand.resources import Resources
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.headroom_pacing import HeadroomPacer
from acaciastand.workflow.interference import Interference, LearnedInterference
from acaciastand.workflow.job import Job, TaskState
from acaciastand.workflow.pacing import BatchCost, FullSpeed, Pace, RunLimits, TailPacer
from acaciastand.workflow.placement import tolerates_unknown_batch_task
from acaciastand.workflow.reports import ActiveRun, WorkerIdentity
from acaciastand.workflow.spec import WorkflowSpec
from acaciastand.workflow.worker import WorkerView

POLL_SECONDS = 0.35
SERVICE_IMAGE = "watch"
RECORDED = Path(__file__).parent.parent / "recorded" / "shared_workers.json"
# Pairs of the recording that a least-squares fit of all measurements finds to interfere.
INTERFERING = {
    ("batch-2", "service-1"),
    ("batch-3", "service-6"),
    ("batch-11", "service-1"),
    ("batch-13", "service-5"),
    ("batch-15", "service-4"),
}
# Batch images of the recording that it finds not to interfere, by service image. Both lists hold
# the pairs that used at least 60 core-seconds together.
NON_INTERFERING = {
    "service-1": (4, 5, 8, 9, 10, 13, 14, 16, 17),
    "service-2": (2, 11),
    "service-3": (5, 14, 16, 17),
    "service-4": (5, 7, 8, 9, 17),
    "service-5": (3, 5, 14, 17),
    "service-6": (4, 10),
}


class GivenInterference(Interference):
    """Model with the pairs that a scenario gives."""

    def __init__(self):
        self.per_core_by_pair = {}

    def observe(self, worker, now):
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
    costs = {task: BatchCost(3.0, {}, True) for task in non_interfering}
    while context.now < end:
        paces = context.pacer.update(running, limits, costs, context.now)
        context.pace = getattr(context.pacer, "pace", Pace(paces.get("interfering")))
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
    when_tail_share(context, 30)


@when("the service is near its latency target")
def when_near_target(context):
    when_tail_share(context, 85)


@when("the tail latency of the service is at {percent:d} percent of its target")
def when_tail_share(context, percent):
    context.view.tail_share = percent / 100
    context.view.tail_share_by_image = {SERVICE_IMAGE: percent / 100}


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


@given("batch tasks that interfere take all leftover cores of the worker")
def given_no_leftover(context):
    assert len(start_batch(context, 9, "print")) == 9
    given_known(context, "print", 0.5)
    context.world.scheduler.interference.per_core_by_pair[("quiet", SERVICE_IMAGE)] = 0.0


@when("the interfering tasks are paused")
def when_paused(context):
    context.world.advance(1.2)
    paused = [
        ActiveRun(key, run, measurement=10.0 if context.view.tasks[key].step.target_ms else 0.0)
        for key, run in context.world.workers["1"].running.items()
    ]
    context.world.report("1", running=paused, pace_percent=0)


@given('a batch task of image "print" and one of an unknown image run on the worker')
def given_two_batch(context):
    context.view.leftover_started_at = 0.0
    assert start_batch(context, 1, "print") == ["1"]
    context.view.leftover_started_at = 0.0
    assert start_batch(context, 1, "other") == ["1"]


@when("the owner's grant reaches the agent")
def when_grant(context):
    costs = context.world.scheduler.batch_costs(context.view)
    context.costs = decode_batch_costs(*encode_batch_costs(costs, context.view), raise_error)


@then("the agent knows that the first task takes {headroom:f} headroom and nothing of the second")
def then_costs(context, headroom):
    first, second = context.costs.values()
    (service,) = first.headroom_per_core
    assert first.is_known and abs(first.takes(service) - headroom) < 0.01, first
    assert not second.is_known and not second.headroom_per_core, second


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
    view = WorkerView("")
    for seconds, agent_id, capacity, services, batch in context.measurements:
        view.agent_id = agent_id
        view.identity = WorkerIdentity(capacity=Resources(capacity, 128_000, 0))
        view.tasks = recorded_tasks(services, batch)
        context.interference.observe(view, 100.0 + seconds)


def recorded_tasks(services, batch):
    """Return running tasks with the recorded measurements."""
    tasks = {}
    for job_id, image, tail_shares in services:
        service = step(
            len(tail_shares), 6.0, 1000, 0.0, continuous=True, target_ms=50.0, image=image
        )
        job = Job(job_id, "watchers", WorkflowSpec("text", [service]), 0.0)
        for task, tail_share in zip(job.tasks.values(), tail_shares, strict=True):
            task.measurement = 50.0 * tail_share
            tasks[task.key] = task
    for image, cores in batch:
        print_step = step(1, cores, 1000, 4.0, uses_leftover=True, image=image)
        job = Job(image, "plans", WorkflowSpec("text", [print_step]), 0.0)
        (task,) = job.tasks.values()
        task.measurement = cores * 1000
        tasks[task.key] = task
    for task in tasks.values():
        task.state = TaskState.RUNNING
    return tasks


@when("a new owner reads what its predecessor stored")
def when_handed_over(context):
    store = MemoryTransactionalStore()
    fence = store.commit({}, {OWNER_KEY: b"predecessor"})
    with mock.patch.object(interference_store, "STORE_INTERVAL_SECONDS", 0.01):
        writer = gevent.spawn(
            InterferenceStore(
                store, context.interference, fence, IgnoredValues(Metrics(), now)
            ).store_forever
        )
        gevent.sleep(0.1)
        writer.kill()
    assert store.revision == fence + 1  # An unchanged model is stored once.
    context.successor = LearnedInterference()
    InterferenceStore(store, context.successor, fence, IgnoredValues(Metrics(), now)).load()


@then("the new owner knows each pair as well as its predecessor")
def then_handed_over(context):
    known_count = 0
    for batch, service in product(*recorded_images(context)):
        former = context.interference.headroom_per_core(batch, service)
        restored = context.successor.headroom_per_core(batch, service)
        assert (former is None) == (restored is None), (batch, service, former, restored)
        if former is not None:
            known_count += 1
            assert abs(former - restored) < 0.001, (batch, service, former, restored)
    assert known_count >= len(INTERFERING)


@then("stored models of another layout are refused as invalid input")
def then_refused(context):
    for data in (
        b"",
        b"\xff",
        cbor2.dumps(7),
        cbor2.dumps([[["a", "b", "c", 1]]]),
        cbor2.dumps([[], {}]),
    ):
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
    InterferenceStore(store, interference, fence, IgnoredValues(Metrics(), now)).load()
    assert not interference.snapshot().pairs


def recorded_images(context):
    """Return the names of the batch images and of the service images."""
    batches = {image for *_, batch in context.measurements for image, _ in batch}
    services = {image for *_, services, _ in context.measurements for _, image, _ in services}
    return sorted(batches), sorted(services)


@then("the interfering pairs take more than {limit:f} headroom per core")
def then_interferes(context, limit):
    for pair in INTERFERING:
        per_core = context.interference.headroom_per_core(*pair)
        assert per_core is not None and per_core > limit, (pair, per_core)


@then("the non-interfering pairs take at most {limit:f} headroom per core")
def then_others(context, limit):
    for service, numbers in NON_INTERFERING.items():
        for number in numbers:
            per_core = context.interference.headroom_per_core(f"batch-{number}", service)
            assert per_core is not None and per_core <= limit, (number, service, per_core)


@given("services whose load swings and batch jobs on shared workers")
def given_shared(context):
    context.shared_seeds = range(1, 9)


def play_shared_workers(seed, pacer, **policies):
    """Play services with batch jobs that ask for most of the leftover cores."""
    world = SharedWorkersWorld(seed, pacer, **policies)
    world.submit_services(5, 14)
    world.advance(6.0)
    for _ in range(14):
        world.submit_batch(16, 3.4)
        world.advance(1.5)
    return world


@when("the owner learns from {seconds:d} seconds of their measurements")
def when_learns_shared(context, seconds):
    context.worlds = [play_shared_workers(seed, HeadroomPacer) for seed in context.shared_seeds]


@then("at least {share:d} percent of the pairs that it knows are known correctly")
def then_known_share(context, share):
    correct = []
    for world in context.worlds:
        for batch, service in product(world.batch_images(), world.service_images()):
            per_core = world.scheduler.interference.headroom_per_core(batch, service)
            if per_core is not None:
                interferes = world.taken_per_core(batch, service) == TAKEN_PER_CORE
                correct.append((per_core > TAKEN_PER_CORE / 2) == interferes)
    assert len(correct) > 60 and sum(correct) >= share / 100 * len(correct), sum(correct)


@then("services exceed their targets for less than {share:d} percent of the time with {baseline}")
def then_less_over(context, share, baseline):
    pacer = {"the pacer by tail latency": TailPacer, "full speed": FullSpeed}[baseline]
    worlds = [play_shared_workers(seed, pacer) for seed in context.shared_seeds]
    over = sum(world.over_seconds for world in context.worlds)
    baseline_over = sum(world.over_seconds for world in worlds)
    assert over < share / 100 * baseline_over, (over, baseline_over)


@then("more batch jobs complete than with {baseline}")
def then_more_complete(context, baseline):
    worlds = [play_shared_workers(seed, TailPacer) for seed in context.shared_seeds]
    completed = sum(len(world.batch_seconds) for world in context.worlds)
    baseline_completed = sum(len(world.batch_seconds) for world in worlds)
    assert completed > baseline_completed, (completed, baseline_completed)


@given("workers with services of the images {images}")
def given_images(context, images):
    context.world = WorkflowWorld(interference=GivenInterference())
    for number, image in enumerate(images.split(" and ")):
        context.world.add_worker(f"{image}-worker", 32.0)
        serving = step(number + 1, 6.0, 1000, 0.0, continuous=True, target_ms=18.0, image=image)
        context.world.submit(f"{number:016x}", "watchers", serving)
        context.world.plan()


@then('a service task of image "{image}" starts on the worker of that image')
def then_same_image(context, image):
    serving = step(1, 6.0, 1000, 0.0, continuous=True, target_ms=18.0, image=image)
    context.world.submit("00000000000000c9", "watchers", serving)
    assert [start.agent_id for start in context.world.plan()] == [f"{image}-worker"]


@then('only {count:d} of {total:d} batch tasks of image "{image}" start')
def then_some_start(context, count, total, image):
    assert len(start_batch(context, total, image)) == count


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
    _, context.stops = context.world.scheduler.plan(
        context.world.now, context.world.now_unix, context.world.now
    )


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
