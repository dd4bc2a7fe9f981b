"""Exit codes by error code."""

from __future__ import annotations

import importlib
import pkgutil

import acaciastand
from acaciastand.errors import (
    AcaciastandError,
    Conflict,
    InvalidInput,
    NotFound,
    Outcome,
    OutcomeUnknown,
    Refused,
)

# Programs may change the process when they are imported (gevent patches the standard library).
_PROGRAMS = ("acaciastand.programs.entry", "acaciastand.programs.agent")

_BY_STATUS = {400: InvalidInput, 404: NotFound, 409: Conflict, 413: InvalidInput}
_BY_OUTCOME = {Outcome.NOT_RUN: Refused, Outcome.UNKNOWN: OutcomeUnknown}


def all_errors() -> list[type[AcaciastandError]]:
    """Return all error classes of the product, sorted by code and name."""
    for module in pkgutil.walk_packages(acaciastand.__path__, "acaciastand."):
        if not module.name.startswith(_PROGRAMS):
            importlib.import_module(module.name)
    found: list[type[AcaciastandError]] = []
    waiting: list[type[AcaciastandError]] = [AcaciastandError]
    while waiting:
        error = waiting.pop()
        found.append(error)
        waiting.extend(error.__subclasses__())
    product = {error for error in found if error.__module__.startswith("acaciastand.")}
    return sorted(product, key=lambda error: (error.code, error.__name__))


def exit_code_of(code: str, status: int, outcome: Outcome | None) -> int:
    """Return the exit code for an error that an entry returned.

    An entry of another version can return a code that is not known here; then the status and the
    outcome decide.
    """
    for error in all_errors():
        if error.code == code:
            return error.exit_code
    if status in _BY_STATUS:
        return _BY_STATUS[status].exit_code
    return _BY_OUTCOME[outcome].exit_code if outcome else AcaciastandError.exit_code
