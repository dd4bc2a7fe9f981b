"""How fast tasks on leftover processor time may work beside services."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

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
        self, running: Sequence[Running], limits: Mapping[str, RunLimits], now: float
    ) -> int:
        """Return the percentage for all such tasks after a look at the worker."""


class FullSpeed(Pacer):
    """Baseline: never slows anything down."""

    def update(
        self, running: Sequence[Running], limits: Mapping[str, RunLimits], now: float
    ) -> int:
        """Return full speed."""
        return FULL_PERCENT


class TailPacer(Pacer):
    """Halves the share while a service is near its limit, and raises it slowly afterwards.

    Answers a service whose tail latency crosses its limit within seconds because of the tasks
    beside it. The fall is fast enough to reach zero within three measurements.
    """

    __slots__ = ("percent", "changed_at")

    def __init__(self) -> None:
        super().__init__()
        self.percent = FULL_PERCENT
        self.changed_at = float("-inf")

    def update(
        self, running: Sequence[Running], limits: Mapping[str, RunLimits], now: float
    ) -> int:
        """Return the percentage for all tasks on leftover time."""
        self.tail_share = max(
            (run.figure / limits[run.task].target_ms for run in running if _serves(run, limits)),
            default=0.0,
        )
        if self.tail_share > SLOW_AT:
            self._slow_down(now)
        elif self.tail_share < RELEASE_BELOW:
            self._let_go(now)
        return self.percent

    def _slow_down(self, now: float) -> None:
        if self.percent and now - self.changed_at >= STEP_DOWN_SECONDS:
            lower = int(self.percent * SLOW_FACTOR)
            self.percent = lower if lower >= STOP_PERCENT else 0
            self.changed_at = now

    def _let_go(self, now: float) -> None:
        if self.percent < FULL_PERCENT and now - self.changed_at >= STEP_UP_SECONDS:
            self.percent = min(FULL_PERCENT, self.percent + RAISE_PERCENT)
            self.changed_at = now


def _serves(run: Running, limits: Mapping[str, RunLimits]) -> bool:
    return run.task in limits and limits[run.task].target_ms > 0
