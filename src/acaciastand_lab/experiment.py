"""Runs one experiment by name: ``make experiment NAME=routing``."""

from __future__ import annotations

import importlib
import pkgutil
import sys

from acaciastand_lab import experiments
from acaciastand_lab.harness.experiment import OUTPUT_FOLDER, REGISTRY, report


def load_experiments() -> None:
    """Import all modules of `acaciastand_lab.experiments`, which register their experiments."""
    for module in pkgutil.iter_modules(experiments.__path__):
        importlib.import_module(f"{experiments.__name__}.{module.name}")


def main() -> None:
    """Run the experiment named on the command line."""
    load_experiments()
    name = sys.argv[1] if len(sys.argv) == 2 else ""
    if name not in REGISTRY:
        print(f"no experiment {name!r}; choose from: {', '.join(sorted(REGISTRY))}")
        raise SystemExit(2)
    experiment = REGISTRY[name]()
    print(f"{experiment.title}\n")
    print(report(experiment))
    print(f"\nwritten to {OUTPUT_FOLDER}/{name}.csv and {name}.png")


if __name__ == "__main__":
    main()
