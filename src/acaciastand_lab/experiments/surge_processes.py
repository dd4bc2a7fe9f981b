"""Experiment `real-rain`: real processes on loopback before, during and after a doubling.

The load alternates between two entries. The run takes less than a minute, so it is made once, with
one seed; its figures depend on how busy the machine is.
"""

from __future__ import annotations

from collections import Counter

from gevent.pool import Group

from acaciastand_lab.harness.experiment import Experiment, Figures, register
from acaciastand_lab.harness.firms import MAISON_REPRISE
from acaciastand_lab.harness.statistics import Latencies
from acaciastand_lab.load import LoadRun, read_audit
from acaciastand_lab.load_plan import LoadOptions
from acaciastand_lab.load_report import ANSWERED, Result, violations
from acaciastand_lab.processes import Deployment

ENTRIES = 2
AGENTS = 4
BASE_RATE = 50.0  # requests per second at each entry
BASE_SECONDS = 10.0
SURGE_SECONDS = 10.0
AFTER_SECONDS = 10.0
TIMEOUT_MS = 500
SERVICE_SECONDS = 0.020


class RealRun:
    """One deployment under load; the three phases are the cases."""

    def __init__(self) -> None:
        self.phases: dict[str, list[Result]] = {}
        self.problems: list[str] = []

    def run(self, seed: int) -> None:
        """Start the processes, send the load, end the processes."""
        with Deployment(entries=ENTRIES, agents=AGENTS) as deployment:
            deployment.start()
            for agent in deployment.agents:
                deployment.target_faults(agent, {"service_seconds": SERVICE_SECONDS})
            self._load(deployment, "warm-up", BASE_RATE, 2.0, seed)
            self._load(deployment, "before", BASE_RATE, BASE_SECONDS, seed + 100)
            self._load(deployment, "during", 2 * BASE_RATE, SURGE_SECONDS, seed + 200)
            self._load(deployment, "after", BASE_RATE, AFTER_SECONDS, seed + 300)
            audits = [read_audit(f"http://{address}") for address in deployment.targets.values()]
            results = [result for phase in self.phases.values() for result in phase]
            self.problems = violations(results, audits)

    def _load(
        self, deployment: Deployment, phase: str, rate: float, seconds: float, seed: int
    ) -> None:
        runs = []
        for number, entry in enumerate(deployment.http):
            # Keys carry the seed, so every entry and phase has its own.
            options = LoadOptions(
                rate, seconds, seed=seed + 1000 * number, keyed=0.5, timeout_ms=TIMEOUT_MS
            )
            runs.append(LoadRun(deployment.url(entry), MAISON_REPRISE.service, options))
        group = Group()
        jobs = [group.spawn(run.run) for run in runs]
        group.join()
        self.phases[phase] = [result for job in jobs for result in job.get()]


@register
class SurgeProcessesExperiment(Experiment):
    """Latency and refusals by phase; executions at the targets are compared with the answers."""

    name = "real-rain"
    title = "Real processes: two entries, four agents, 100/s, 200/s in the rain, one run"
    cases = ("before", "during", "after")
    candidates = ("as built",)
    plotted = "p99 ms"
    seeds = (1,)
    processes = 1

    def __init__(self) -> None:
        self._run: RealRun | None = None

    def run(self, case: str, candidate: str, seed: int) -> Figures:
        """Return the figures of one phase of the run.

        Raises
        ------
        AssertionError
            The targets' executions contradict the answers.
        """
        if self._run is None:
            self._run = RealRun()
            self._run.run(seed)
        if self._run.problems:
            raise AssertionError("\n".join(self._run.problems))
        return _figures(self._run.phases[case])


def _figures(results: list[Result]) -> Figures:
    latencies = Latencies()
    answered = [result for result in results if result.outcome == ANSWERED]
    for result in answered:
        latencies.record(result.seconds)
    figures = {
        "requests": float(len(results)),
        "p50 ms": latencies.percentile_ms(50.0),
        "p99 ms": latencies.percentile_ms(99.0),
        "p99.9 ms": latencies.percentile_ms(99.9),
        "answered %": 100 * len(answered) / max(len(results), 1),
    }
    codes = Counter(f"{result.outcome}.{result.code}" for result in results if result.code)
    return {**figures, **{code: float(count) for code, count in sorted(codes.items())}}
