"""Sends the paces of batch tasks to the worker, and repeats those that may have been overridden."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping

import gevent

from acaciastand.cluster.clock import now
from acaciastand.errors import AcaciastandError
from acaciastand.workflow.pacing import FULL_PERCENT
from acaciastand.workflow.reports import ActiveRun

# Longest delay after which an unanswered call can still take effect.
MAX_CALL_DELAY_SECONDS = 13.0
# Interval at which a pace is repeated while an unanswered earlier call may still override it.
PACE_REPEAT_INTERVAL_SECONDS = 1.0

logger = logging.getLogger(__name__)


class UnconfirmedPace:
    """Unanswered change of pace, which may take effect after later changes.

    Attributes
    ----------
    repeat_at
        When the current pace is sent again.
    settled_at
        When the unanswered call can no longer take effect.
    """

    __slots__ = ("repeat_at", "settled_at")

    def __init__(self, sent_at: float) -> None:
        self.repeat_at = sent_at + PACE_REPEAT_INTERVAL_SECONDS
        self.settled_at = sent_at + MAX_CALL_DELAY_SECONDS


class PaceSender:
    """Sends each change of pace once, and again while it is not certain to hold.

    Parameters
    ----------
    call
        Sets the pace of a task and run in percent at the worker.

    Attributes
    ----------
    sent
        Pace in percent that was last sent for each task and run.
    unconfirmed
        Last unanswered change of pace of each task and run.
    """

    def __init__(self, call: Callable[[str, int, int], None]) -> None:
        self.call = call
        self.sent: dict[tuple[str, int], int] = {}
        self.unconfirmed: dict[tuple[str, int], UnconfirmedPace] = {}

    def clear(self) -> None:
        """Forget what was sent to a former incarnation of the worker."""
        self.sent.clear()

    def send(self, running: Iterable[ActiveRun], paces: Mapping[str, int]) -> None:
        """Send the paces of the runs in progress that have changed or must be repeated.

        Parameters
        ----------
        running
            Runs in progress.
        paces
            Pace in percent by task; tasks without one keep theirs.
        """
        keys = dict.fromkeys((run.task, run.run) for run in running)
        self.sent = {key: value for key, value in self.sent.items() if key in keys}
        self.unconfirmed = {key: value for key, value in self.unconfirmed.items() if key in keys}
        for key in keys:
            percent = paces.get(key[0])
            if percent is None:
                continue
            if self.sent.get(key, FULL_PERCENT) != percent or self._must_repeat(key):
                gevent.spawn(self._send, key, percent)
                self.sent[key] = percent

    def _must_repeat(self, key: tuple[str, int]) -> bool:
        """Return whether the pace is due to be sent again after an unanswered change."""
        unconfirmed = self.unconfirmed.get(key)
        if unconfirmed is None or now() < unconfirmed.repeat_at:
            return False
        if now() >= unconfirmed.settled_at:
            del self.unconfirmed[key]
        else:
            unconfirmed.repeat_at = now() + PACE_REPEAT_INTERVAL_SECONDS
        return True

    def _send(self, key: tuple[str, int], percent: int) -> None:
        task, run = key
        try:
            self.call(task, run, percent)
            logger.info("pace set", extra={"task": task, "run": run, "percent": percent})
        except AcaciastandError as error:
            self.sent.pop(key, None)  # The pace is sent again after the next poll.
            self.unconfirmed[key] = UnconfirmedPace(now())
            logger.warning("pace not set", extra={"task": task, "error": str(error)})
