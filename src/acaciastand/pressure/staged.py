"""The staged policy: throttle first, checkpoint next, evict last."""

from __future__ import annotations

from enum import StrEnum

from acaciastand.pressure.budget import EvictionBudget
from acaciastand.pressure.policy import PressurePolicy, evictions_for_memory
from acaciastand.pressure.view import Action, ActionKind, Cause, HostView, TaskView
from acaciastand.pressure.weights import Weights

MAX_ROUNDS_PER_SURGE = 2  # rounds of throttling or eviction
ROUND_SECONDS = 60.0  # a round outside of surges counts against the limit for this long
SETTLE_SECONDS = 2.0  # reported use follows a command by up to a poll interval and the lag
CHECKPOINT_SECONDS = 1.0  # between the checkpoint and the eviction of a task
QUIET_SECONDS = 5.0  # time within the budget before the first step back
STEP_SECONDS = 5.0  # time between two steps back
STEP_FACTOR = 1.5  # least growth of a limit per step
STEP_SHARE = 0.25  # a limit also grows by this share of the declared cores
MAX_FLOOR = 0.25  # share of the declared cores below which eviction is preferred, at weight 0
MIN_LIMIT_CORES = 0.05  # a task with less could not even renew its own connections
AT_LIMIT = 0.9  # a task that uses a smaller share of its limit wants no more


Name = tuple[str, int]  # task id and attempt


class Stage(StrEnum):
    """How far the reaction has gone."""

    NORMAL = "normal"
    THROTTLED = "throttled"
    CHECKPOINTED = "checkpointed"
    EVICTED = "evicted"


class StagedPressure(PressurePolicy):
    """Throttles to the budget in one round and evicts in a second one if that was not enough.

    The second round also throttles the remaining tasks without a floor, so the host is within its
    budget afterwards. Excess memory is evicted at once, outside rounds and limits.

    Parameters
    ----------
    min_run_seconds
        Time a task runs before it may be evicted.
    """

    def __init__(self, evictions_per_minute: int, min_run_seconds: float, weights: Weights) -> None:
        self.evictions = EvictionBudget(evictions_per_minute)
        self.min_run_seconds = min_run_seconds
        self.weights = weights
        self.stage = Stage.NORMAL
        self.rounds = 0
        self.limits: dict[Name, float] = {}
        self._demand: dict[Name, float] = {}
        self._victims: set[Name] = set()
        self._surging = False
        self._next = float("-inf")
        self._last_round = float("-inf")
        self._quiet_since: float | None = None

    @property
    def shedding(self) -> bool:
        """Whether any reaction is in force."""
        return self.stage is not Stage.NORMAL

    def decide(self, view: HostView, now: float) -> list[Action]:
        """Return the next step."""
        self._begin(view, now)
        actions = self._free_memory(view, now)
        gone = {(action.task_id, action.attempt) for action in actions}
        tasks = [task for task in view.batch if _name(task) not in gone]
        is_overloaded = sum(task.usage.cores for task in tasks) > view.budget_cores + 1e-9
        if is_overloaded:
            self._quiet_since = None
        elif self._quiet_since is None:
            self._quiet_since = now
        if now < self._next:
            return actions
        if self.stage is Stage.CHECKPOINTED:
            return actions + self._evict(view, tasks, now)
        if is_overloaded:
            return actions + self._react(view, tasks, now)
        return actions + self._step_back(view, tasks, now)

    # Private

    def _begin(self, view: HostView, now: float) -> None:
        # A round just before the surge was detected belongs to it: noisy tasks come with the rain.
        begins = view.surging and not self._surging
        if (begins or not view.surging) and now - self._last_round >= ROUND_SECONDS:
            self.rounds = 0
        self._surging = view.surging
        present = {_name(task): task for task in view.batch}
        self.limits = {name: limit for name, limit in self.limits.items() if name in present}
        self._demand = {name: cores for name, cores in self._demand.items() if name in present}
        for name, limit in self.limits.items():
            used = present[name].usage.cores
            if used < limit * AT_LIMIT:
                self._demand[name] = used

    def _free_memory(self, view: HostView, now: float) -> list[Action]:
        actions = evictions_for_memory(view, eviction_order(view.batch))
        for _ in actions:
            self.evictions.spend(now)
        if actions and self.stage is Stage.NORMAL:
            self.stage = Stage.EVICTED
        return actions

    def _react(self, view: HostView, tasks: list[TaskView], now: float) -> list[Action]:
        if self.rounds >= MAX_ROUNDS_PER_SURGE:
            return []
        self._next = now + SETTLE_SECONDS
        last = self.rounds == MAX_ROUNDS_PER_SURGE - 1
        if not last or self.stage is Stage.NORMAL:
            self._count_round(now)
            self.stage = Stage.THROTTLED
            return self._throttle(view, tasks, self._floor)
        victims = self._choose(view, tasks, now)
        if not victims:
            return self._evict(view, tasks, now)
        self._victims = {_name(task) for task in victims}
        self.stage = Stage.CHECKPOINTED
        self._next = now + CHECKPOINT_SECONDS
        return [task.action(ActionKind.CHECKPOINT, _cause(view)) for task in victims]

    def _count_round(self, now: float) -> None:
        self.rounds += 1
        self._last_round = now

    @property
    def _floor(self) -> float:
        return MAX_FLOOR * (1.0 - self.weights.eviction_share)

    def _throttle(self, view: HostView, tasks: list[TaskView], floor: float) -> list[Action]:
        for task in tasks:
            name = _name(task)
            # Use that is not reported yet is taken for the declared size.
            used = task.usage.cores or task.size.cores
            self._demand[name] = max(self._demand.get(name, 0.0), used)
        limits = self._shares(tasks, view.budget_cores, floor)
        return self._apply(tasks, limits, _cause(view))

    def _shares(self, tasks: list[TaskView], budget: float, floor: float) -> dict[Name, float]:
        """Divide the budget in proportion to the demand; no share is below the floor."""
        demand = {_name(task): self._demand.get(_name(task), task.usage.cores) for task in tasks}
        least = {_name(task): max(floor * task.size.cores, MIN_LIMIT_CORES) for task in tasks}
        at_floor: set[Name] = set()
        for _ in tasks:  # each pass moves at least one task to the floor
            rest = budget - sum(least[name] for name in at_floor)
            total = sum(cores for name, cores in demand.items() if name not in at_floor)
            scale = min(1.0, max(0.0, rest) / total) if total > 0 else 1.0
            below = {name for name, cores in demand.items() if scale * cores < least[name]}
            if below <= at_floor:
                break
            at_floor |= below
        return {
            name: least[name] if name in at_floor else scale * cores
            for name, cores in demand.items()
        }

    def _apply(
        self, tasks: list[TaskView], limits: dict[Name, float], cause: Cause
    ) -> list[Action]:
        actions = []
        for task in tasks:
            limit = limits[_name(task)]
            if self.limits.get(_name(task)) != limit:
                self.limits[_name(task)] = limit
                actions.append(task.action(ActionKind.THROTTLE, cause, limit))
        return actions

    def _choose(self, view: HostView, tasks: list[TaskView], now: float) -> list[TaskView]:
        """Return the tasks whose eviction lets the others run at the floor or above."""
        allowed = self.evictions.available(now)
        needed = sum(self._floor * task.size.cores for task in tasks) - view.budget_cores
        chosen: list[TaskView] = []
        for task in eviction_order(tasks):
            if needed <= 0.0 or len(chosen) >= allowed:
                break
            if task.run_seconds >= self.min_run_seconds:
                chosen.append(task)
                needed -= self._floor * task.size.cores
        return chosen

    def _evict(self, view: HostView, tasks: list[TaskView], now: float) -> list[Action]:
        victims = [task for task in tasks if _name(task) in self._victims]
        victims = victims[: self.evictions.available(now)]
        for _ in victims:
            self.evictions.spend(now)
        self._victims = set()
        self._count_round(now)
        self.stage = Stage.EVICTED
        self._next = now + SETTLE_SECONDS
        evicted = {_name(task) for task in victims}
        kept = [task for task in tasks if _name(task) not in evicted]
        actions = [task.action(ActionKind.EVICT, _cause(view)) for task in victims]
        return actions + self._throttle(view, kept, 0.0)

    def _step_back(self, view: HostView, tasks: list[TaskView], now: float) -> list[Action]:
        quiet = self._quiet_since is not None and now - self._quiet_since >= QUIET_SECONDS
        if self.stage is Stage.NORMAL or view.surging or not quiet:
            return []
        self._next = now + STEP_SECONDS
        wanted = self._shares(tasks, view.budget_cores, 0.0)
        raised: dict[Name, float] = {}
        for task in tasks:
            current = self.limits.get(_name(task))
            if current is not None:
                grown = max(current * STEP_FACTOR, current + STEP_SHARE * task.size.cores)
                raised[_name(task)] = max(current, min(wanted[_name(task)], grown))
        if all(self._satisfied(task, raised) for task in tasks):
            return self._end(tasks)
        limited = [task for task in tasks if _name(task) in raised]
        return self._relax(limited, raised)

    def _satisfied(self, task: TaskView, raised: dict[Name, float]) -> bool:
        name = _name(task)
        return name not in raised or raised[name] >= self._demand.get(name, 0.0) - 1e-9

    def _relax(self, tasks: list[TaskView], limits: dict[Name, float]) -> list[Action]:
        actions = self._apply(tasks, limits, Cause.CORES)
        return [action.replace(kind=ActionKind.RELEASE) for action in actions]

    def _end(self, tasks: list[TaskView]) -> list[Action]:
        limited = [task for task in tasks if _name(task) in self.limits]
        self.stage = Stage.NORMAL
        self.limits, self._demand = {}, {}
        return [task.action(ActionKind.RELEASE, Cause.CORES) for task in limited]


def eviction_order(tasks: list[TaskView]) -> list[TaskView]:
    """Return tasks in the order of eviction: least lost work first, urgent ones last."""
    return sorted(tasks, key=lambda task: (task.urgent, task.unsaved_seconds, task.task_id))


def _name(task: TaskView) -> Name:
    return task.task_id, task.attempt


def _cause(view: HostView) -> Cause:
    return Cause.SURGE if view.surging else Cause.CORES
