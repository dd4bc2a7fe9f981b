"""Loops of a daemon that go on after an unexpected error."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

import gevent

from acaciastand.telemetry.metrics import Metrics

RESTART_PAUSE_SECONDS = 0.2  # Keeps a loop that fails at once from taking all processor time.

logger = logging.getLogger(__name__)


def supervised(loop: Callable[[], None], metrics: Metrics) -> Callable[[], None]:
    """Return a function that runs a loop and begins it again after an unexpected error.

    A greenlet that ends with an error takes its duty with it while the process lives on: an agent
    that no longer polls loses all runs of its worker. Each error is logged with its traceback and
    counted.

    Parameters
    ----------
    loop
        Loop to run. It is not begun again once it returns or its greenlet is killed.
    """
    function = loop.func if isinstance(loop, partial) else loop
    name = getattr(function, "__name__", repr(function))

    def run() -> None:
        while True:
            try:
                return loop()
            except Exception as error:
                metrics.count("unexpected_errors", name)
                logger.exception("loop failed", extra={"loop": name, "error": repr(error)})
                gevent.sleep(RESTART_PAUSE_SECONDS)

    return run
