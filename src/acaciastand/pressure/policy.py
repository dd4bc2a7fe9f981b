"""Interface of pressure policies and two simple baselines."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable

from acaciastand.pressure.view import Action, ActionCause, ActionKind, HostView, TaskView
from acaciastand.resources import Resources


class PressurePolicy(ABC):
    """Decides how to reduce the load of the batch tasks on one host."""

    @property
    @abstractmethod
    def shedding(self) -> bool:
        """Whether the host currently refuses new batch tasks."""

    @abstractmethod
    def decide(self, view: HostView, now: float) -> list[Action]:
        """Return the actions to take now.

        The caller repeats the call at regular intervals.

        Parameters
        ----------
        now
            Seconds of the monotonic clock.
        """


class NoReaction(PressurePolicy):
    """Takes no action; for comparison only."""

    shedding = False

    def decide(self, view: HostView, now: float) -> list[Action]:
        """Return no actions."""
        return []


class EvictFirst(PressurePolicy):
    """Evicts the newest tasks as soon as the batch tasks exceed their budget; the baseline."""

    def __init__(self) -> None:
        self._shedding = False

    @property
    def shedding(self) -> bool:
        """Whether the last decision evicted a task."""
        return self._shedding

    def decide(self, view: HostView, now: float) -> list[Action]:
        """Return the evictions for memory and then those for cores, each with the newest first."""
        newest_first = sorted(view.batch_tasks, key=lambda task: task.run_seconds)
        evictions = evictions_for_memory(view, newest_first)
        evicted = {action.task_id for action in evictions}
        used_cores = sum(
            task.usage.cores for task in view.batch_tasks if task.task_id not in evicted
        )
        cause = ActionCause.SURGE if view.surging else ActionCause.CORES
        for task in newest_first:
            if used_cores <= view.budget_cores + 1e-9:
                break
            if task.task_id in evicted or task.usage.cores <= 0.0:
                continue
            evictions.append(task.action(ActionKind.EVICT, cause))
            used_cores -= task.usage.cores
        self._shedding = bool(evictions)
        return evictions


def evictions_for_memory(view: HostView, tasks: Iterable[TaskView]) -> list[Action]:
    """Return the evictions that bring the use of memory and accelerators within the capacity.

    Parameters
    ----------
    tasks
        Tasks that can be evicted, in the order of eviction.
    """
    excess = view.incompressible_excess
    evictions: list[Action] = []
    for task in tasks:
        if excess.memory_mb <= 0 and excess.accelerators <= 0:
            break
        helps = excess.memory_mb > 0 and task.usage.memory_mb > 0
        helps = helps or (excess.accelerators > 0 and task.usage.accelerators > 0)
        if helps:
            evictions.append(task.action(ActionKind.EVICT, ActionCause.MEMORY))
            excess = excess.minus(Resources(0.0, task.usage.memory_mb, task.usage.accelerators))
    return evictions
