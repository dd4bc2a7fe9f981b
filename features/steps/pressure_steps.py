"""Steps on the reaction to surges: staged policy, surge detection, headroom and evictions."""

import sys
from pathlib import Path
from unittest.mock import patch

from behave import given, then, when

from acaciastand.pressure import HeadroomPolicy, HostView, StagedPressure, SurgeDetector, TaskView
from acaciastand.pressure import Weights as OutcomeWeights
from acaciastand.pressure.budget import EvictionBudget
from acaciastand.pressure.headroom import LOWER_INTERVAL_SECONDS
from acaciastand.pressure.region import RegionSurgeDetector
from acaciastand.pressure.staged import eviction_order
from acaciastand.resources import Resources

sys.path.insert(0, str(Path(__file__).parents[1]))
from machines.pressure_machine import PressureMachine
from machines.running import violation_of

SAMPLE_SECONDS = 0.25
STAGED = "acaciastand.pressure.staged"
original_choose_victims = StagedPressure._choose_victims


def choose_victims_of_any_age(self, view, tasks, now):
    aged = [task.replace(run_seconds=float("inf")) for task in tasks]
    return original_choose_victims(self, view, aged, now)


GUARD_PATCHES = {
    "minimum run time": lambda: patch.object(
        StagedPressure, "_choose_victims", choose_victims_of_any_age
    ),
    "eviction rate limit": lambda: patch.object(EvictionBudget, "available", lambda *_: 9),
    "rounds per surge": lambda: patch(f"{STAGED}.MAX_ROUNDS_PER_SURGE", 99),
    "protection": lambda: patch.object(HostView, "batch_tasks", property(lambda self: self.tasks)),
    "eviction for memory": lambda: patch(f"{STAGED}.evictions_for_memory", lambda *_: []),
    "raising of limits": lambda: patch.object(StagedPressure, "_raise_limits", lambda *_: []),
}


@given('the policy without "{guard}"')
def step_without(context, guard):
    context.stack.enter_context(GUARD_PATCHES[guard]())


@when("the pressure machine runs with seed {seed:d} and {examples:d} examples")
def step_machine(context, seed, examples):
    context.violation = violation_of(PressureMachine, seed, examples, 30)


@then("the pressure machine finds no violation")
def step_no_violation(context):
    assert context.violation is None, context.violation


@then('the pressure machine finds "{text}"')
def step_violation(context, text):
    assert context.violation is not None and text in context.violation, context.violation


def surge_changes(levels):
    """Return the times at which a surge begins or ends for a detector that receives `levels`."""
    detector, times, surging = SurgeDetector(), [], False
    for number, level in enumerate(levels):
        now = number * SAMPLE_SECONDS
        if detector.record(level, now) != surging:
            surging = not surging
            times.append(now)
    return times


def constant_level(level, seconds):
    """Return the samples of a level that stays constant for some seconds."""
    return [level] * int(seconds / SAMPLE_SECONDS)


@given("a level that doubles for {seconds:d} s and then returns")
def step_doubles(context, seconds):
    context.rise, context.fall = 300, 300 + seconds
    levels = constant_level(10.0, 300) + constant_level(20.0, seconds) + constant_level(10.0, 300)
    context.changes = surge_changes(levels)


@then("one surge begins within {rise:d} s of the rise and ends within {fall:d} s of the fall")
def step_one_surge(context, rise, fall):
    began, ended = context.changes
    assert 0 < began - context.rise <= rise and 0 < ended - context.fall <= fall, context.changes


@given("a level that swings between {low:f} and {high:f} of the usual one")
def step_swings(context, low, high):
    swings = (constant_level(low, 4) + constant_level(high, 4)) * 20
    context.changes = surge_changes(constant_level(1.0, 300) + swings)


@then("no surge begins")
def step_no_surge(context):
    assert context.changes == []


@then("the headroom rises from {base:f} to {share:f} in a surge and returns in steps of {step:f}")
def step_headroom(context, base, share, step):
    row = context.active_outline
    weights = OutcomeWeights(float(row["tail"]), float(row["batch"]), 0.2)
    policy = HeadroomPolicy(base, weights)
    assert policy.share(False, 0.0) == base
    assert abs(policy.share(True, 1.0) - share) < 1e-9
    now, current = 1.0, share
    while current > base:
        now += LOWER_INTERVAL_SECONDS
        lowered = policy.share(False, now)
        assert 0 < current - lowered <= step + 1e-9
        current = lowered
    assert policy.share(False, now + LOWER_INTERVAL_SECONDS) == base


@then('"{tasks}" are evicted in the order "{order}"')
def step_order(context, tasks, order):
    views = []
    for text in tasks.split():
        name, priority, unsaved = text.split(":")
        urgent = priority == "urgent"
        views.append(
            TaskView(name, 1, Resources(1.0), Resources(1.0), 60.0, float(unsaved), urgent)
        )
    assert [task.task_id for task in eviction_order(views)] == order.split()


@then("{count:d} evictions at once keep {kept:d} times at a limit of {limit:d}")
def step_budget(context, count, kept, limit):
    budget = EvictionBudget(limit)
    for _ in range(count):
        budget.record_eviction(0.0)
    assert len(budget._times) == kept and budget.available(59.0) == 0
    assert budget.available(60.0) == limit


def receive(context, rates, seconds):
    for _ in range(int(seconds)):
        context.now += 1.0
        for service, rate in rates.items():
            for _ in range(rate):
                context.surges.count(service)
        context.surging = context.surges.surging(context.now)


@given('an entry that receives {rate:d} requests per second of "a" and of "b"')
def step_region(context, rate):
    context.rate, context.now, context.surges = rate, 0.0, RegionSurgeDetector()
    context.surges.surging(0.0)
    receive(context, {"a": rate, "b": rate}, 120)
    assert not context.surging


@when('the requests of "a" {change} for {seconds:d} s')
def step_change(context, change, seconds):
    rate = context.rate * (2 if change == "double" else 1)
    receive(context, {"a": rate, "b": context.rate}, seconds)


@then("the region surges")
def step_region_surges(context):
    assert context.surging


@then("the region does not surge")
def step_no_region_surge(context):
    assert not context.surging


@then("an entry detects surges of {detected:d} of {count:d} services")
def step_detected_services(context, detected, count):
    surges = RegionSurgeDetector()
    for number in range(count):
        surges.count(f"s{number}")
    assert len(surges.detectors) == detected
