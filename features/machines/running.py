"""Runs of a state machine with a fixed seed, for steps that expect a violation or none."""

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test


def violation_of(machine, seed_number, examples, steps):
    """Run a state machine and return the message of the violation that it finds, or None.

    Parameters
    ----------
    examples
        Largest number of runs of the machine.
    steps
        Largest number of rules in one run.
    """
    chosen = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    seeded = seed(seed_number)(type(machine.__name__, (machine,), {}))
    try:
        run_state_machine_as_test(seeded, settings=chosen)
    except AssertionError as error:
        return str(error)
    return None
