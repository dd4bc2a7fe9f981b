"""Declaration of experiments, their runs over seeds, and their reports."""

from __future__ import annotations

import csv
from abc import ABC, abstractmethod
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import matplotlib

matplotlib.use("Agg")  # no display is needed
import matplotlib.pyplot as plt

from acaciastand.record import Record
from acaciastand_lab.harness.statistics import Spread

SEEDS = tuple(range(1, 11))
MAX_PROCESSES = 4  # other work runs on the same machine
OUTPUT_FOLDER = Path("var/experiments")
PLOT_INCHES = (10.0, 6.0)

Figures = dict[str, float]


class Experiment(ABC):
    """Compares candidates, of which the first is the baseline, in several cases.

    Subclasses set `name`, `title`, `cases`, `candidates` and `plotted`, and are constructed without
    arguments in each worker process.

    Attributes
    ----------
    plotted
        Name of the figure that the plot shows.
    seeds
        At least ten, so that the spread means something.
    processes
        Runs at the same time; 1 for measurements of time.
    """

    name = ""
    title = ""
    cases: Sequence[str] = ()
    candidates: Sequence[str] = ()
    plotted = ""
    seeds: Sequence[int] = SEEDS
    processes = MAX_PROCESSES

    @abstractmethod
    def run(self, case: str, candidate: str, seed: int) -> Figures:
        """Return the figures of one run; the same arguments give the same figures."""


REGISTRY: dict[str, type[Experiment]] = {}


def register(experiment: type[Experiment]) -> type[Experiment]:
    """Make an experiment known by its name; used as a class decorator."""
    REGISTRY[experiment.name] = experiment
    return experiment


class Row(Record):
    """Spread of each figure of one candidate in one case."""

    __slots__ = ("case", "candidate", "spreads")

    def __init__(self, case: str, candidate: str, spreads: dict[str, Spread]) -> None:
        self.case = case
        self.candidate = candidate
        self.spreads = spreads


def _run_one(experiment: Experiment, job: tuple[str, str, int]) -> Figures:
    return experiment.run(*job)


def run_all(experiment: Experiment) -> list[Row]:
    """Run all cases and candidates over all seeds."""
    pairs = [(case, name) for case in experiment.cases for name in experiment.candidates]
    jobs = [(case, name, seed) for case, name in pairs for seed in experiment.seeds]
    run = partial(_run_one, experiment)
    if experiment.processes == 1:
        results = [run(job) for job in jobs]
    else:
        with ProcessPoolExecutor(experiment.processes) as pool:
            results = list(pool.map(run, jobs))
    count = len(experiment.seeds)
    return [
        _row(*pair, results[index * count : (index + 1) * count])
        for index, pair in enumerate(pairs)
    ]


def _row(case: str, candidate: str, results: list[Figures]) -> Row:
    names = list(dict.fromkeys(name for result in results for name in result))
    missing = float("nan")
    return Row(
        case,
        candidate,
        {name: Spread.of([result.get(name, missing) for result in results]) for name in names},
    )


def _figure_names(rows: list[Row]) -> list[str]:
    return list(dict.fromkeys(name for row in rows for name in row.spreads))


def markdown(rows: list[Row]) -> str:
    """Return the table; each cell is the median and the range over the seeds."""
    names = _figure_names(rows)
    lines = [
        "| case | candidate | " + " | ".join(names) + " |",
        "|---|---|" + "---:|" * len(names),
    ]
    for row in rows:
        cells = [str(row.spreads[name]) if name in row.spreads else "" for name in names]
        lines.append(f"| {row.case} | {row.candidate} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def write_csv(rows: list[Row], path: Path) -> None:
    """Write one line for each case, candidate and figure."""
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(["case", "candidate", "figure", "median", "lowest", "highest"])
        for row in rows:
            for name, spread in row.spreads.items():
                writer.writerow([row.case, row.candidate, name, *spread.values()])


def write_plot(experiment: Experiment, rows: list[Row], path: Path) -> None:
    """Plot one figure of all candidates by case, with the range over the seeds."""
    figure, axes = plt.subplots(figsize=PLOT_INCHES)
    width = 0.8 / len(experiment.candidates)
    for index, candidate in enumerate(experiment.candidates):
        chosen = [row for row in rows if row.candidate == candidate]
        shown = [
            (position, row.spreads[experiment.plotted])
            for position, row in enumerate(chosen)
            if experiment.plotted in row.spreads
        ]
        places = [position + index * width for position, _ in shown]
        medians = [spread.median for _, spread in shown]
        below = [spread.median - spread.lowest for _, spread in shown]
        above = [spread.highest - spread.median for _, spread in shown]
        axes.bar(places, medians, width, yerr=[below, above], capsize=2, label=candidate)
    axes.set_xticks(range(len(experiment.cases)), experiment.cases, rotation=60, ha="right")
    axes.set_ylabel(experiment.plotted)
    axes.set_title(experiment.title)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def report(experiment: Experiment, folder: Path = OUTPUT_FOLDER) -> str:
    """Run the experiment, write CSV and plot, and return the table."""
    rows = run_all(experiment)
    folder.mkdir(parents=True, exist_ok=True)
    write_csv(rows, folder / f"{experiment.name}.csv")
    write_plot(experiment, rows, folder / f"{experiment.name}.png")
    return markdown(rows)
