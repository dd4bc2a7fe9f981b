"""Runs the state machines under ``features/machines`` for longer than the tests do.

Usage: ``python -m acaciastand_lab.fuzz --seed N --steps N [--machine NAME] [--features FOLDER]``
"""

from __future__ import annotations

import argparse
import importlib
import pkgutil
import sys
import time
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

STEPS_PER_EXAMPLE = 50  # rules of one run of a machine
FEATURES = Path("features")

Machines = dict[str, type[RuleBasedStateMachine]]


def load_machines(features: Path = FEATURES) -> Machines:
    """Return all machines by name.

    Raises
    ------
    FileNotFoundError
        `features` has no folder ``machines``.
    """
    if not (features / "machines").is_dir():
        raise FileNotFoundError(f"{features}/machines does not exist; run from the repository root")
    if str(features) not in sys.path:
        sys.path.insert(0, str(features))
    package = importlib.import_module("machines")
    names = sorted(module.name for module in pkgutil.iter_modules(package.__path__))
    machines: Machines = {}
    for name in names:
        machines.update(getattr(importlib.import_module(f"machines.{name}"), "MACHINES", {}))
    return machines


def run_machine(
    machine: type[RuleBasedStateMachine],
    seed_number: int,
    steps: int,
    steps_per_example: int = STEPS_PER_EXAMPLE,
) -> None:
    """Run a machine for about `steps` rules; the same arguments repeat the same run.

    Raises
    ------
    AssertionError
        The machine found a violation; hypothesis prints the shortest sequence of rules.
    """
    # A subclass per run: the seed is an attribute of the class.
    seeded: Any = seed(seed_number)(type(machine.__name__, (machine,), {}))
    run_state_machine_as_test(
        seeded,
        settings=settings(
            max_examples=max(1, steps // steps_per_example),
            stateful_step_count=steps_per_example,
            phases=[Phase.generate, Phase.shrink],
            suppress_health_check=list(HealthCheck),
            database=None,
            deadline=None,
            print_blob=False,
            report_multiple_bugs=False,
        ),
    )


def fuzz(name: str, machine: type[RuleBasedStateMachine], seed_number: int, steps: int) -> bool:
    """Run one machine, print the outcome, and tell whether it found nothing."""
    started = time.monotonic()
    try:
        run_machine(machine, seed_number, steps)
    except Exception as error:
        print(f"{name}: FAILED with {type(error).__name__}: {error}")
        for note in getattr(error, "__notes__", []):
            print(note)
        print(f"reproduce: {command(name, seed_number, steps)}")
        return False
    print(f"{name}: {steps} steps, nothing found, {time.monotonic() - started:.1f} s", flush=True)
    return True


def command(name: str, seed_number: int, steps: int) -> str:
    """Return the command that repeats a run."""
    program = "PYTHONHASHSEED=0 python -m acaciastand_lab.fuzz"
    return f"{program} --seed {seed_number} --steps {steps} --machine {name}"


def main() -> int:
    """Run the chosen machines and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m acaciastand_lab.fuzz", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=2000, help="rules for each machine")
    parser.add_argument("--machine", help="name of one machine; default: all")
    parser.add_argument("--features", type=Path, default=FEATURES)
    options = parser.parse_args()
    machines = load_machines(options.features)
    if options.machine and options.machine not in machines:
        parser.error(f"no machine {options.machine!r}; there are {', '.join(sorted(machines))}")
    chosen = [options.machine] if options.machine else sorted(machines)
    results = [fuzz(name, machines[name], options.seed, options.steps) for name in chosen]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
