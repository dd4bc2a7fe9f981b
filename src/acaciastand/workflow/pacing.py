"""How fast tasks on leftover processor time may work beside services."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection, Mapping, Sequence

from acaciastand.record import Record
from acaciastand.workflow.reports import ActiveRun

FULL_PERCENT = 100
OVER_AT = 1.0  # share of the latency limit above which gentle tasks are in doubt too
SLOW_AT = 0.9  # share above which the tasks are slowed down
RAISE_BELOW = 0.82  # share below which they are let go again
PACE_DECREASE_FACTOR = 0.45  # of the current share, at each step down
STOP_PERCENT = 12  # a share below this becomes 0
RAISE_PERCENT = 15  # added at each step up
STEP_DOWN_SECONDS = 0.6  # a measurement covers half a second, and a change takes effect in 0.1 s
STEP_UP_SECONDS = 1.0
TRIAL_DELAY_SECONDS = 0.8  # over the limit without others at work, before gentle tasks stand still
TRIAL_SECONDS = 1.3  # that gentle tasks stand still, until it shows whether they are to blame
HELPED_FACTOR = 0.8  # on the tail latency, which falls over more than a second, if they are
# Gentle tasks stand still again after this long. With the doubt and the delay of a measurement a
# limit is crossed beside them for less than four seconds on end, even if let go by mistake.
TRIAL_COOLDOWN_SECONDS = 2.0


class Pace(Record):
    """Percentages at which batch tasks may work: those that disturb services, and the gentle."""

    __slots__ = ("interfering", "non_interfering")

    def __init__(
        self, interfering: int = FULL_PERCENT, non_interfering: int = FULL_PERCENT
    ) -> None:
        self.interfering = interfering
        self.non_interfering = non_interfering


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
    found_interfering
        Tasks that are slowed down although they were said to be gentle.
    """

    __slots__ = ("tail_share", "found_interfering")

    def __init__(self) -> None:
        self.tail_share = 0.0
        self.found_interfering: set[str] = set()

    @abstractmethod
    def update(
        self,
        running: Sequence[ActiveRun],
        limits: Mapping[str, RunLimits],
        non_interfering: Collection[str],
        now: float,
    ) -> Pace:
        """Return the pace of tasks on leftover time after a look at the worker.

        Parameters
        ----------
        running
            What the look showed.
        limits
            Limits of the tasks, by task.
        non_interfering
            Tasks that are known to disturb no service on this worker.
        now
            Seconds of the agent's clock.
        """


class FullSpeed(Pacer):
    """Baseline: never slows anything down."""

    def update(
        self,
        running: Sequence[ActiveRun],
        limits: Mapping[str, RunLimits],
        non_interfering: Collection[str],
        now: float,
    ) -> Pace:
        """Return full speed."""
        return Pace()


class TailPacer(Pacer):
    """Slows disturbing tasks down while a service is near its limit, and lets them go afterwards.

    Answers a service whose tail latency crosses its limit within seconds because of the tasks
    beside it, and one that is near its limit by its own load, where slowing down helps nobody.
    Gentle tasks stand still for a trial once the limit is crossed without the others, since what
    was learned of them may no longer hold; if that helps they count as disturbing until they end,
    else they go on.

    Attributes
    ----------
    pace
        Current percentages.
    changed_at
        When the disturbing tasks were slowed down or let go last.
    over_since
        Since when the limit is crossed with no disturbing task at work; None if it is not.
    trial_at, trial_tail
        When gentle tasks were stopped for a trial, and the tail then; None outside of one.
    next_trial_at
        Until when gentle tasks are not tried again.
    """

    __slots__ = (
        "pace",
        "changed_at",
        "over_since",
        "trial_at",
        "trial_tail",
        "next_trial_at",
    )

    def __init__(self) -> None:
        super().__init__()
        self.pace = Pace()
        self.changed_at = float("-inf")
        self.over_since: float | None = None
        self.trial_at: float | None = None
        self.trial_tail = 0.0
        self.next_trial_at = float("-inf")

    def update(
        self,
        running: Sequence[ActiveRun],
        limits: Mapping[str, RunLimits],
        non_interfering: Collection[str],
        now: float,
    ) -> Pace:
        """Return the pace of tasks on leftover time."""
        self.tail_share = max(
            (
                run.measurement / limits[run.task].target_ms
                for run in running
                if _serves(run, limits)
            ),
            default=0.0,
        )
        batch = {run.task for run in running if _paced(run, limits)}
        self.found_interfering &= batch
        if self._trial_helped(now):
            self._mark_interfering(batch, now)
        present = not batch <= (set(non_interfering) - self.found_interfering)
        interfering = self._interfering_percent(present, now)
        calm = self.tail_share <= OVER_AT or (present and interfering > 0)
        self.pace = Pace(interfering, self._non_interfering_percent(calm, now))
        return self.pace

    def _trial_helped(self, now: float) -> bool:
        if self.trial_at is None:
            return False
        ended = now - self.trial_at >= TRIAL_SECONDS or self.tail_share <= OVER_AT
        return ended and self.tail_share <= self.trial_tail * HELPED_FACTOR

    def _mark_interfering(self, tasks: set[str], now: float) -> None:
        self.found_interfering |= tasks
        self.over_since = self.trial_at = None
        self.pace = Pace(0, FULL_PERCENT)
        self.changed_at = now

    def _interfering_percent(self, present: bool, now: float) -> int:
        percent = self.pace.interfering
        since = now - self.changed_at
        if present and self.tail_share > SLOW_AT and since >= STEP_DOWN_SECONDS:
            self.changed_at = now
            return _lower(percent)
        if (not present or self.tail_share < RAISE_BELOW) and since >= STEP_UP_SECONDS:
            self.changed_at = now
            return min(FULL_PERCENT, percent + RAISE_PERCENT)
        return percent

    def _non_interfering_percent(self, calm: bool, now: float) -> int:
        if calm:
            self.over_since = self.trial_at = None
            return min(FULL_PERCENT, self.pace.non_interfering + RAISE_PERCENT)
        if self.over_since is None:
            self.over_since = now
        if self.trial_at is None:
            if now - self.over_since < TRIAL_DELAY_SECONDS or now < self.next_trial_at:
                return self.pace.non_interfering
            self.trial_at = now
            self.trial_tail = self.tail_share
        if now - self.trial_at < TRIAL_SECONDS:
            return 0
        self.trial_at = None
        self.next_trial_at = now + TRIAL_COOLDOWN_SECONDS
        return FULL_PERCENT


def _lower(percent: int) -> int:
    lower = int(percent * PACE_DECREASE_FACTOR)
    return lower if lower >= STOP_PERCENT else 0


def _serves(run: ActiveRun, limits: Mapping[str, RunLimits]) -> bool:
    return run.task in limits and limits[run.task].target_ms > 0


def _paced(run: ActiveRun, limits: Mapping[str, RunLimits]) -> bool:
    return run.task in limits and limits[run.task].uses_leftover
