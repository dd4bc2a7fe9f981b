"""Shared behave hooks; each scenario gets an exit stack that closes what its steps open."""

from contextlib import ExitStack


def before_scenario(context, scenario):
    """Open the exit stack of the scenario."""
    context.stack = ExitStack()


def after_scenario(context, scenario):
    """Close everything that the scenario opened."""
    context.stack.close()
