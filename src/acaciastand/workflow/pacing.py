"""Pace of batch tasks, which run on leftover processor time, beside services."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from acaciastand.record import Record
from acaciastand.workflow.interference import NON_INTERFERING_HEADROOM
from acaciastand.workflow.reports import ActiveRun

FULL_PERCENT = 100
# Thresholds of the tail latency, as shares of the latency target.
TRIAL_ABOVE_SHARE = 1.0  # Above this share, non-interfering tasks are suspected too.
DECREASE_ABOVE_SHARE = 0.9  # Above this share, the pace of interfering tasks is decreased.
INCREASE_BELOW_SHARE = 0.82  # Below this share, the pace of interfering tasks is increased.
PACE_DECREASE_FACTOR = 0.45  # Multiplier of the current pace at each decrease.
MIN_PACE_PERCENT = 12  # A lower pace becomes 0.
PACE_INCREASE_PERCENT = 15  # Percentage points by which each increase raises the pace.
# Minimum time from a change of pace to a decrease. A measurement covers half a second, and a change
# takes effect within 0.1 s.
DECREASE_INTERVAL_SECONDS = 0.6
INCREASE_INTERVAL_SECONDS = 1.0  # Minimum time from a change of pace to an increase.
# Time above the latency target without interfering tasks at work after which non-interfering tasks
# are paused for a trial.
TRIAL_DELAY_SECONDS = 0.8
# Time for which non-interfering tasks are paused in a trial, to show whether they do interfere.
TRIAL_SECONDS = 1.3
# Multiple of the tail latency at the start of a trial to which it must fall to show that the paused
# tasks interfere. The tail latency falls over more than a second.
TRIAL_SUCCESS_FACTOR = 0.8
# Minimum time from the end of a trial to the next one. Together with the delay of a trial and of a
# measurement, a latency target is exceeded beside non-interfering tasks at work for less than four
# seconds on end, even if they were resumed by mistake.
TRIAL_COOLDOWN_SECONDS = 2.0


class Pace(Record):
    """Percentages of full speed at which interfering and non-interfering batch tasks may work."""

    __slots__ = ("interfering", "non_interfering")

    def __init__(
        self, interfering: int = FULL_PERCENT, non_interfering: int = FULL_PERCENT
    ) -> None:
        self.interfering = interfering
        self.non_interfering = non_interfering


class RunLimits(Record):
    """Limits of a run at its agent.

    Parameters
    ----------
    target_ms
        Latency target of a continuous task in milliseconds; 0 for none.
    uses_leftover
        Whether the run uses leftover processor time, so that its pace may be lowered.
    """

    __slots__ = ("target_ms", "uses_leftover")

    def __init__(self, target_ms: float = 0.0, uses_leftover: bool = False) -> None:
        self.target_ms = target_ms
        self.uses_leftover = uses_leftover


class BatchCost(Record):
    """What one batch task takes from the services on its worker.

    Parameters
    ----------
    cores
        Cores of the task at full speed.
    headroom_per_core
        Headroom that a core takes from each service whose pair of images is known, by the job and
        step of the service.
    is_known
        Whether the pairs with all services on the worker are known.
    """

    __slots__ = ("cores", "headroom_per_core", "is_known")

    def __init__(
        self, cores: float, headroom_per_core: Mapping[str, float], is_known: bool
    ) -> None:
        self.cores = cores
        self.headroom_per_core = headroom_per_core
        self.is_known = is_known

    def takes(self, service: str) -> float:
        """Return the headroom that the task takes from a service at full speed."""
        return self.cores * self.headroom_per_core.get(service, 0.0)

    @property
    def is_non_interfering(self) -> bool:
        """Whether the task is known to interfere with no service on the worker."""
        most = max(self.headroom_per_core.values(), default=0.0)
        return self.is_known and self.cores * most <= NON_INTERFERING_HEADROOM


class Pacer(ABC):
    """Policy on the pace of the batch tasks on one worker.

    Attributes
    ----------
    tail_share
        Largest tail latency of a continuous task at the last poll, as a share of its latency
        target.
    found_interfering
        Keys of the tasks that are paced as interfering although the owner lists them as
        non-interfering.
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
        costs: Mapping[str, BatchCost],
        now: float,
    ) -> dict[str, int]:
        """Return the pace of each batch task in percent after a poll of the worker.

        Parameters
        ----------
        running
            Runs that the poll listed.
        limits
            Limits of the runs, by key of the task.
        costs
            What is known of the batch tasks, by key of the task.
        now
            Seconds of the agent's clock.
        """


class FullSpeed(Pacer):
    """Baseline: never slows anything down."""

    def update(
        self,
        running: Sequence[ActiveRun],
        limits: Mapping[str, RunLimits],
        costs: Mapping[str, BatchCost],
        now: float,
    ) -> dict[str, int]:
        """Return full speed."""
        return {run.task: FULL_PERCENT for run in running if _is_paced(run, limits)}


class TailPacer(Pacer):
    """Pacer that slows interfering tasks down while a service is near its latency target.

    Designed for services whose tail latency exceeds its target within seconds because of the tasks
    beside them, and for services that are near their target by their own load, where slowing tasks
    down helps nobody.

    If the target is exceeded without interfering tasks at work, non-interfering tasks are paused
    for a trial, since what was learned of them may no longer hold. If the tail latency falls, they
    count as interfering until they end; otherwise they are resumed.

    Attributes
    ----------
    pace
        Current pace.
    changed_at
        When the pace of interfering tasks last changed.
    exceeded_since
        Time since when the target is exceeded without interfering tasks at work; None if it is not.
    trial_started_at
        When non-interfering tasks were paused for a trial; None outside of a trial.
    trial_tail_share
        Value of `tail_share` at the start of the latest trial.
    next_trial_at
        Earliest start of the next trial.
    """

    __slots__ = (
        "pace",
        "changed_at",
        "exceeded_since",
        "trial_started_at",
        "trial_tail_share",
        "next_trial_at",
    )

    def __init__(self) -> None:
        super().__init__()
        self.pace = Pace()
        self.changed_at = float("-inf")
        self.exceeded_since: float | None = None
        self.trial_started_at: float | None = None
        self.trial_tail_share = 0.0
        self.next_trial_at = float("-inf")

    def update(
        self,
        running: Sequence[ActiveRun],
        limits: Mapping[str, RunLimits],
        costs: Mapping[str, BatchCost],
        now: float,
    ) -> dict[str, int]:
        """Return the pace of each batch task after a poll of the worker."""
        self.tail_share = max(
            (
                run.measurement / limits[run.task].target_ms
                for run in running
                if _has_target(run, limits)
            ),
            default=0.0,
        )
        batch_tasks = {run.task for run in running if _is_paced(run, limits)}
        self.found_interfering &= batch_tasks
        if self._trial_lowered_tail(now):
            self._mark_interfering(batch_tasks, now)
        non_interfering = {
            task
            for task in batch_tasks - self.found_interfering
            if task in costs and costs[task].is_non_interfering
        }
        has_interfering = not batch_tasks <= non_interfering
        interfering = self._interfering_percent(has_interfering, now)
        needs_no_trial = self.tail_share <= TRIAL_ABOVE_SHARE or (
            has_interfering and interfering > 0
        )
        self.pace = Pace(interfering, self._non_interfering_percent(needs_no_trial, now))
        return {
            task: self.pace.non_interfering if task in non_interfering else self.pace.interfering
            for task in batch_tasks
        }

    def _trial_lowered_tail(self, now: float) -> bool:
        """Return whether a trial is over and has lowered the tail latency."""
        if self.trial_started_at is None:
            return False
        is_over = (
            now - self.trial_started_at >= TRIAL_SECONDS or self.tail_share <= TRIAL_ABOVE_SHARE
        )
        return is_over and self.tail_share <= self.trial_tail_share * TRIAL_SUCCESS_FACTOR

    def _mark_interfering(self, tasks: set[str], now: float) -> None:
        self.found_interfering |= tasks
        self.exceeded_since = self.trial_started_at = None
        self.pace = Pace(0, FULL_PERCENT)
        self.changed_at = now

    def _interfering_percent(self, has_interfering: bool, now: float) -> int:
        percent = self.pace.interfering
        unchanged_seconds = now - self.changed_at
        if (
            has_interfering
            and self.tail_share > DECREASE_ABOVE_SHARE
            and unchanged_seconds >= DECREASE_INTERVAL_SECONDS
        ):
            self.changed_at = now
            return _decrease(percent)
        if (
            not has_interfering or self.tail_share < INCREASE_BELOW_SHARE
        ) and unchanged_seconds >= INCREASE_INTERVAL_SECONDS:
            self.changed_at = now
            return min(FULL_PERCENT, percent + PACE_INCREASE_PERCENT)
        return percent

    def _non_interfering_percent(self, needs_no_trial: bool, now: float) -> int:
        if needs_no_trial:
            self.exceeded_since = self.trial_started_at = None
            return min(FULL_PERCENT, self.pace.non_interfering + PACE_INCREASE_PERCENT)
        if self.exceeded_since is None:
            self.exceeded_since = now
        if self.trial_started_at is None:
            if now - self.exceeded_since < TRIAL_DELAY_SECONDS or now < self.next_trial_at:
                return self.pace.non_interfering
            self.trial_started_at = now
            self.trial_tail_share = self.tail_share
        if now - self.trial_started_at < TRIAL_SECONDS:
            return 0
        self.trial_started_at = None
        self.next_trial_at = now + TRIAL_COOLDOWN_SECONDS
        return FULL_PERCENT


def _decrease(percent: int) -> int:
    decreased = int(percent * PACE_DECREASE_FACTOR)
    return decreased if decreased >= MIN_PACE_PERCENT else 0


def _has_target(run: ActiveRun, limits: Mapping[str, RunLimits]) -> bool:
    return run.task in limits and limits[run.task].target_ms > 0


def _is_paced(run: ActiveRun, limits: Mapping[str, RunLimits]) -> bool:
    return run.task in limits and limits[run.task].uses_leftover
