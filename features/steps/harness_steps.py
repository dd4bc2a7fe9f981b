"""Steps on the experiment harness."""

import csv
import tempfile
from pathlib import Path

import numpy as np
from behave import then

from acaciastand_lab.harness import (
    EventQueue,
    Experiment,
    HostModel,
    InterferenceTable,
    Latencies,
    poisson_arrivals,
)
from acaciastand_lab.harness.experiment import report
from acaciastand_lab.harness.host import PairSlowdown


@then("calls planned at 3, 1, 2 and a task that sleeps 2.5 run in order")
def step_order(context):
    queue = EventQueue()
    seen = []

    def blocking():
        queue.sleep(2.5)
        seen.append(queue.now)

    for second in (3.0, 1.0, 2.0):
        queue.at(second, lambda: seen.append(queue.now))
    queue.at(0.0, queue.spawn, blocking)
    queue.at(1.5, seen.append, "cancelled").cancelled = True
    queue.run(10.0)
    assert seen == [1.0, 2.0, 2.5, 3.0] and queue.now == 10.0, seen


@then('Poisson arrivals of two services with "{doubled}" doubled at 10 s of 20 s grow as stated')
def step_doubled(context, doubled):
    arrivals = poisson_arrivals({"a": 200.0, "b": 200.0}, 20.0, 1, 10.0, doubled.split())
    assert [item.at for item in arrivals] == sorted(item.at for item in arrivals)
    for service in "ab":
        times = np.array([item.at for item in arrivals if item.service == service])
        growth = np.sum(times >= 10.0) / np.sum(times < 10.0)
        expected = 2.0 if service in doubled.split() else 1.0
        assert abs(growth - expected) < 0.15 * expected, (service, growth)


@then("two plans of the same seed are equal and one of another seed differs")
def step_same_seed(context):
    plans = [poisson_arrivals({"a": 50.0, "b": 20.0}, 5.0, seed) for seed in (1, 1, 2)]
    assert plans[0] == plans[1] != plans[2]


@then("the percentiles of {count:d} log-normal latencies agree with numpy")
def step_percentiles(context, count):
    # With a round count, rounding errors of `percentile * count` select neighbouring values.
    values = np.random.default_rng(1).lognormal(-4.0, 1.0, count)
    latencies = Latencies()
    for value in values:
        latencies.record(float(value))
    for percentile in (50.0, 99.0, 99.9):
        expected = float(np.percentile(values, percentile, method="inverted_cdf")) * 1000
        found = latencies.percentile_ms(percentile)
        assert abs(found - expected) <= 0.002 * expected, (percentile, found, expected)


@then("a batch class stretches the service more under load and the measurement lags 5 s")
def step_interference(context):
    table = InterferenceTable({("order-desk", "print"): PairSlowdown(0.2, 1.0)})
    rng = np.random.default_rng(1)
    host = HostModel("a", 32, 8, "order-desk", 0.02, table, rng, lag_seconds=5.0)
    assert host.stretch(8) == 1.0
    host.add_batch("t", "print", 16)
    host.add_batch("u", "unknown-class", 16)
    assert np.isclose(host.stretch(0), 1.1) and np.isclose(host.stretch(8), 1.5)
    host.draw_service_seconds(8, 10.0)
    assert host.measured_stretch.visible(14.9) is None
    assert np.isclose(host.measured_stretch.visible(15.0), 1.5)


class SeedExperiment(Experiment):
    """Returns its seed."""

    name = "seed"
    cases = ("case",)
    candidates = ("baseline", "candidate")
    plotted = "seed"
    processes = 1

    def run(self, case, candidate, seed):
        return {"seed": float(seed)}


@then('an experiment that returns its seed reports "{cell}" in table and CSV')
def step_report(context, cell):
    with tempfile.TemporaryDirectory() as name:
        table = report(SeedExperiment(), Path(name))
        with (Path(name) / "seed.csv").open(encoding="utf-8") as file:
            rows = list(csv.DictReader(file))
        assert (Path(name) / "seed.png").stat().st_size > 0
    assert f"| case | candidate | {cell} |" in table, table
    assert [row["median"] for row in rows] == ["5.5", "5.5"]
