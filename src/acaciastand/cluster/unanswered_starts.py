"""Starts that a worker has not answered and may still carry out."""

from __future__ import annotations

from acaciastand.cluster.run_lease import LATE_START_SECONDS
from acaciastand.record import Record
from acaciastand.workflow.limits import CLOCK_DRIFT, RUN_LEASE_SECONDS

RunKey = tuple[str, int]  # Task and number of the run.


class UnansweredStart(Record):
    """A start whose last call has ended without an answer.

    Times are seconds on the agent's clock.

    Parameters
    ----------
    epoch
        Epoch of the owner that sent the command.
    ended_at
        When the last call ended.

    Attributes
    ----------
    rejected_from
        Time after which the present incarnation of the worker rejects the start: the lease that it
        carries has expired then, or the worker has accepted a stop.
    """

    __slots__ = ("epoch", "ended_at", "rejected_from")

    def __init__(self, epoch: int, ended_at: float) -> None:
        self.epoch = epoch
        self.ended_at = ended_at
        self.rejected_from = ended_at + RUN_LEASE_SECONDS * CLOCK_DRIFT

    @property
    def late_until(self) -> float:
        """Time until which the worker may carry out the start, in any incarnation."""
        return self.ended_at + LATE_START_SECONDS


class UnansweredStarts:
    """Remembers starts without an answer for as long as the worker may carry them out.

    Attributes
    ----------
    starts
        The starts by task and run.
    """

    __slots__ = ("starts",)

    def __init__(self) -> None:
        self.starts: dict[RunKey, UnansweredStart] = {}

    def record(self, task: str, run: int, epoch: int, now: float) -> None:
        """Record that the last call to start a run has ended without an answer."""
        self.starts = {key: start for key, start in self.starts.items() if now <= start.late_until}
        self.starts[(task, run)] = UnansweredStart(epoch, now)

    def record_stop(self, task: str, run: int) -> None:
        """Record that the present incarnation of the worker has accepted a stop."""
        start = self.starts.get((task, run))
        if start is not None:
            start.rejected_from = float("-inf")

    def unsettled(self, now: float) -> dict[RunKey, int]:
        """Return the epochs of the starts that the present incarnation may still carry out."""
        return {
            key: start.epoch for key, start in self.starts.items() if now <= start.rejected_from
        }

    def begin_incarnation(self, now: float) -> list[RunKey]:
        """Return the starts that a new incarnation of the worker has to be told to reject.

        Under the same id it may carry them out. It knows nothing of a stop, and the lease in the
        call is on the clock of the former incarnation, so it may seem to be in force for long.
        """
        late = {key: start for key, start in self.starts.items() if now <= start.late_until}
        for start in late.values():
            start.rejected_from = start.late_until
        return list(late)
