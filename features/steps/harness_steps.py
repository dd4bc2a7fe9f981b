"""Steps on the experiment harness."""

import csv
import tempfile
from pathlib import Path

import numpy as np
from behave import then

from acaciastand_lab.harness import (
    MAISON_REPRISE,
    EventQueue,
    Experiment,
    HostModel,
    InterferenceTable,
    Latencies,
    poisson_arrivals,
)
from acaciastand_lab.harness.experiment import report
from acaciastand_lab.harness.figures import check_executions, worst_added_share
from acaciastand_lab.harness.host import PairSlowdown
from acaciastand_lab.harness.served import Options, ServedSystem
from acaciastand_lab.processes import free_address


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


def break_system(system, fault):
    for agent in system.agents:
        agent.fail_before = 0.5 if fault == "lost" else 0.0
        agent.fail_after = 0.5 if fault == "unanswered" else 0.0
    first = system.agents[0]
    first.model.slow_factor = 10.0 if fault == "slow" else 1.0
    if fault == "gone":
        system.queue.at(0.5, setattr, first.target, "gone", True)


def run_system(fault):
    system = ServedSystem(MAISON_REPRISE, Options(timeout_ms=100), seed=1)
    break_system(system, fault)
    rate = MAISON_REPRISE.capacity_rate * (1.2 if fault == "overload" else 0.1)
    return system, system.run(poisson_arrivals({"order-desk": rate}, 2.0, 1))


@then('a system with "{fault}" contradicts no answer, stays in its budget and repeats exactly')
def step_promises(context, fault):
    system, results = run_system(fault)
    check_executions(system)
    assert worst_added_share(system, 10) <= system.options.retry_budget
    assert not any(result.late for result in results if result.outcome == "answered")
    assert any(result.outcome == "answered" for result in results)
    assert max(len(agent.target.active) for agent in system.agents) == 0, "all requests ended"
    assert run_system(fault)[1] == results


@then("{count:d} free addresses of one run are all different")
def step_free_addresses(context, count):
    # Two processes with one port: the second cannot listen and the deployment never gets ready.
    addresses = [free_address() for _ in range(count)]
    assert len(set(addresses)) == count, f"{count - len(set(addresses))} handed out again"
