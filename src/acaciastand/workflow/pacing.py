"""How fast tasks on leftover processor time may work beside services."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection, Mapping, Sequence

from acaciastand.record import Record
from acaciastand.workflow.reports import Running

FULL_PERCENT = 100
SLOW_AT = 0.9  # share of the latency limit above which the tasks are slowed down
RELEASE_BELOW = 0.7  # share of the limit below which they are let go again
SLOW_FACTOR = 0.45  # of the current share, at each step down
STOP_PERCENT = 12  # a share below this becomes 0
RAISE_PERCENT = 15  # added at each step up
STEP_DOWN_SECONDS = 0.6  # a measurement covers half a second, and a change takes effect in 0.1 s
STEP_UP_SECONDS = 1.0


class Pace(Record):
    """Percentages at which batch tasks may work: those that disturb services, and the gentle."""

    __slots__ = ("disturbing", "gentle")

    def __init__(self, disturbing: int = FULL_PERCENT, gentle: int = FULL_PERCENT) -> None:
        self.disturbing = disturbing
        self.gentle = gentle


class RunLimits(Record):
    """What an agent has to know of a run: its latency limit, and whether it can be slowed down."""

    __slots__ = ("target_ms", "uses_leftover")

    def __init__(self, target_ms: float = 0.0, uses_leftover: bool = False) -> None:
        self.target_ms = target_ms
        self.uses_leftover = uses_leftover


class Pacer(ABC):
    """Decides on the share at which tasks on leftover time work on one worker.

    Attributes
    ----------
    tail_share
        Largest tail latency of a continuous task at the last look, as a share of its limit.
    """

    __slots__ = ("tail_share",)

    def __init__(self) -> None:
        self.tail_share = 0.0

    @abstractmethod
    def update(
        self,
        running: Sequence[Running],
        limits: Mapping[str, RunLimits],
        gentle: Collection[str],
        now: float,
    ) -> Pace:
        """Return the pace of tasks on leftover time after a look at the worker.

        Parameters
        ----------
        running
            What the look showed.
        limits
            Limits of the tasks, by task.
        gentle
            Tasks that are known to disturb no service on this worker.
        now
            Seconds of the agent's clock.
        """


class FullSpeed(Pacer):
    """Baseline: never slows anything down."""

    def update(
        self,
        running: Sequence[Running],
        limits: Mapping[str, RunLimits],
        gentle: Collection[str],
        now: float,
    ) -> Pace:
        """Return full speed."""
        return Pace()


class TailPacer(Pacer):
    """Halves the share while a service is near its limit, and raises it slowly afterwards.

    Answers a service whose tail latency crosses its limit within seconds because of the tasks
    beside it. Gentle tasks are slowed down only once the others stand still, since what was learned
    of them may no longer hold. The fall of both is fast enough to reach zero in six measurements.
    """

    __slots__ = ("pace", "changed_at")

    def __init__(self) -> None:
        super().__init__()
        self.pace = Pace()
        self.changed_at = float("-inf")

    def update(
        self,
        running: Sequence[Running],
        limits: Mapping[str, RunLimits],
        gentle: Collection[str],
        now: float,
    ) -> Pace:
        """Return the pace of tasks on leftover time."""
        self.tail_share = max(
            (run.figure / limits[run.task].target_ms for run in running if _serves(run, limits)),
            default=0.0,
        )
        if self.tail_share > SLOW_AT:
            disturbing = any(_paced(run, limits) and run.task not in gentle for run in running)
            self._slow_down(disturbing, now)
        elif self.tail_share < RELEASE_BELOW:
            self._let_go(now)
        return self.pace

    def _slow_down(self, disturbing: bool, now: float) -> None:
        if now - self.changed_at < STEP_DOWN_SECONDS:
            return
        pace = self.pace
        if pace.disturbing and disturbing:
            self.pace = Pace(_lower(pace.disturbing), pace.gentle)
        elif pace.gentle:
            # What was learned of them is wrong, and the limit has been crossed for a while.
            self.pace = Pace(0, _lower(pace.gentle) if pace.gentle == FULL_PERCENT else 0)
        self.changed_at = now

    def _let_go(self, now: float) -> None:
        pace = self.pace
        if now - self.changed_at < STEP_UP_SECONDS or pace == Pace():
            return
        if pace.gentle < FULL_PERCENT:
            self.pace = Pace(pace.disturbing, _higher(pace.gentle))
        else:
            self.pace = Pace(_higher(pace.disturbing), pace.gentle)
        self.changed_at = now


def _lower(percent: int) -> int:
    lower = int(percent * SLOW_FACTOR)
    return lower if lower >= STOP_PERCENT else 0


def _higher(percent: int) -> int:
    return min(FULL_PERCENT, percent + RAISE_PERCENT)


def _serves(run: Running, limits: Mapping[str, RunLimits]) -> bool:
    return run.task in limits and limits[run.task].target_ms > 0


def _paced(run: Running, limits: Mapping[str, RunLimits]) -> bool:
    return run.task in limits and limits[run.task].uses_leftover
