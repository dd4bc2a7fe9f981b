"""Interface of pressure policies and the two simple baselines."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable

from acaciastand.pressure.view import Action, ActionKind, Cause, HostView, TaskView
from acaciastand.resources import Resources


class PressurePolicy(ABC):
    """Decides what happens to the batch tasks of one host."""

    @property
    @abstractmethod
    def shedding(self) -> bool:
        """Whether the host takes no new batch tasks now."""

    @abstractmethod
    def decide(self, view: HostView, now: float) -> list[Action]:
        """Return what to do now; called regularly, `now` in monotonic seconds."""


class NoReaction(PressurePolicy):
    """Leaves all tasks alone; for comparison only."""

    shedding = False

    def decide(self, view: HostView, now: float) -> list[Action]:
        """Return nothing."""
        return []


class EvictFirst(PressurePolicy):
    """Evicts the newest tasks as soon as the host is over; the baseline."""

    def __init__(self) -> None:
        self._shedding = False

    @property
    def shedding(self) -> bool:
        """Whether the last decision found the host over."""
        return self._shedding

    def decide(self, view: HostView, now: float) -> list[Action]:
        """Return evictions, newest task first."""
        newest = sorted(view.batch, key=lambda task: task.run_seconds)
        chosen = evictions_for_memory(view, newest)
        affected = {action.task_id for action in chosen}
        cores = sum(task.usage.cores for task in view.batch if task.task_id not in affected)
        cause = Cause.SURGE if view.surging else Cause.CORES
        for task in newest:
            if cores <= view.budget_cores + 1e-9:
                break
            if task.task_id in affected or task.usage.cores <= 0.0:
                continue
            chosen.append(task.action(ActionKind.EVICT, cause))
            cores -= task.usage.cores
        self._shedding = bool(chosen)
        return chosen


def evictions_for_memory(view: HostView, order: Iterable[TaskView]) -> list[Action]:
    """Return the evictions that bring memory and accelerators under the capacity, in `order`."""
    excess = view.rigid_excess
    chosen: list[Action] = []
    for task in order:
        if excess.memory_mb <= 0 and excess.accelerators <= 0:
            break
        helps = excess.memory_mb > 0 and task.usage.memory_mb > 0
        helps = helps or (excess.accelerators > 0 and task.usage.accelerators > 0)
        if helps:
            chosen.append(task.action(ActionKind.EVICT, Cause.MEMORY))
            excess = excess.minus(Resources(0.0, task.usage.memory_mb, task.usage.accelerators))
    return chosen
