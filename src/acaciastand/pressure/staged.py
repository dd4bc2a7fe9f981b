"""The staged policy: throttle first, checkpoint next, evict last."""

from __future__ import annotations

from enum import StrEnum

from acaciastand.pressure.budget import EvictionBudget
from acaciastand.pressure.policy import PressurePolicy, evictions_for_memory
from acaciastand.pressure.view import Action, ActionCause, ActionKind, HostView, TaskView
from acaciastand.pressure.weights import Weights

MAX_ROUNDS_PER_SURGE = 2  # Rounds of throttling or eviction.
# Time for which a round outside of surges counts against the limit of rounds.
ROUND_WINDOW_SECONDS = 60.0
# Time between an action and the next decision. The reported use follows a command with a delay of
# up to a poll interval plus the worker's own lag.
SETTLE_SECONDS = 2.0
CHECKPOINT_WAIT_SECONDS = 1.0  # Time between the checkpoint and the eviction of a task.
# Time within the budget before limits are raised for the first time.
RAISE_DELAY_SECONDS = 5.0
RAISE_INTERVAL_SECONDS = 5.0  # Time between two raises of the limits.
RAISE_FACTOR = 1.5  # Factor by which one raise can increase a limit.
# Share of the declared cores by which one raise can increase a limit, if that is more.
RAISE_SHARE = 0.25
# Floor as a share of the declared cores, if evictions have no weight. Eviction is preferred to
# throttling below the floor.
MAX_FLOOR_SHARE = 0.25
# Lowest limit of a task; with less, a task could not even renew its own connections.
MIN_LIMIT_CORES = 0.05
# A task that uses less than this share of its limit has no demand for more.
LIMIT_REACHED_SHARE = 0.9


AttemptKey = tuple[str, int]  # Task id and attempt number.


class Stage(StrEnum):
    """Progress of a reaction; `NORMAL` while there is none."""

    NORMAL = "normal"
    THROTTLED = "throttled"
    CHECKPOINTED = "checkpointed"
    EVICTED = "evicted"


class StagedPressure(PressurePolicy):
    """Throttles tasks to the budget in a first round, and evicts tasks in a second one if needed.

    In the first round, each limit is at least a share of the declared cores, the floor. The second
    round also throttles the remaining tasks, without a floor, so that the host is within its budget
    afterwards. Tasks are evicted at once while memory or accelerators exceed the capacity; neither
    the number of rounds nor the eviction rate limits this.

    Parameters
    ----------
    min_run_seconds
        Time that a task must have run before it may be evicted.
    """

    def __init__(self, evictions_per_minute: int, min_run_seconds: float, weights: Weights) -> None:
        self.evictions = EvictionBudget(evictions_per_minute)
        self.min_run_seconds = min_run_seconds
        self.weights = weights
        self.stage = Stage.NORMAL
        self.rounds = 0
        self.limits: dict[AttemptKey, float] = {}  # Cores of each throttled task.
        self._demand: dict[AttemptKey, float] = {}  # Cores that each task would use without limit.
        self._victims: set[AttemptKey] = set()  # Tasks to evict after their checkpoint.
        self._was_surging = False
        self._next_decision_at = float("-inf")
        self._last_round_at = float("-inf")
        self._within_budget_since: float | None = None

    @property
    def shedding(self) -> bool:
        """Whether any reaction is in force."""
        return self.stage is not Stage.NORMAL

    def decide(self, view: HostView, now: float) -> list[Action]:
        """Return the next actions of the reaction."""
        self._update_state(view, now)
        actions = self._evict_for_memory(view, now)
        evicted = {(action.task_id, action.attempt) for action in actions}
        tasks = [task for task in view.batch_tasks if _key(task) not in evicted]
        is_overloaded = sum(task.usage.cores for task in tasks) > view.budget_cores + 1e-9
        if is_overloaded:
            self._within_budget_since = None
        elif self._within_budget_since is None:
            self._within_budget_since = now
        if now < self._next_decision_at:
            return actions
        if self.stage is Stage.CHECKPOINTED:
            return actions + self._evict(view, tasks, now)
        if is_overloaded:
            return actions + self._reduce_load(view, tasks, now)
        return actions + self._raise_limits(view, tasks, now)

    def _update_state(self, view: HostView, now: float) -> None:
        # A round just before a surge is detected counts as part of the surge, because noisy batch
        # tasks arrive together with it.
        surge_begins = view.surging and not self._was_surging
        if (surge_begins or not view.surging) and now - self._last_round_at >= ROUND_WINDOW_SECONDS:
            self.rounds = 0
        self._was_surging = view.surging
        present = {_key(task): task for task in view.batch_tasks}
        self.limits = {key: limit for key, limit in self.limits.items() if key in present}
        self._demand = {key: cores for key, cores in self._demand.items() if key in present}
        for key, limit in self.limits.items():
            used = present[key].usage.cores
            if used < limit * LIMIT_REACHED_SHARE:
                self._demand[key] = used

    def _evict_for_memory(self, view: HostView, now: float) -> list[Action]:
        actions = evictions_for_memory(view, eviction_order(view.batch_tasks))
        for _ in actions:
            self.evictions.record_eviction(now)
        if actions and self.stage is Stage.NORMAL:
            self.stage = Stage.EVICTED
        return actions

    def _reduce_load(self, view: HostView, tasks: list[TaskView], now: float) -> list[Action]:
        if self.rounds >= MAX_ROUNDS_PER_SURGE:
            return []
        self._next_decision_at = now + SETTLE_SECONDS
        is_last_round = self.rounds == MAX_ROUNDS_PER_SURGE - 1
        if not is_last_round or self.stage is Stage.NORMAL:
            self._count_round(now)
            self.stage = Stage.THROTTLED
            return self._throttle(view, tasks, self._floor_share)
        victims = self._choose_victims(view, tasks, now)
        if not victims:
            return self._evict(view, tasks, now)
        self._victims = {_key(task) for task in victims}
        self.stage = Stage.CHECKPOINTED
        self._next_decision_at = now + CHECKPOINT_WAIT_SECONDS
        return [task.action(ActionKind.CHECKPOINT, _cause(view)) for task in victims]

    def _count_round(self, now: float) -> None:
        self.rounds += 1
        self._last_round_at = now

    @property
    def _floor_share(self) -> float:
        return MAX_FLOOR_SHARE * (1.0 - self.weights.eviction_share)

    def _throttle(self, view: HostView, tasks: list[TaskView], floor: float) -> list[Action]:
        for task in tasks:
            key = _key(task)
            # A task whose use has not been reported yet counts with its declared size.
            used = task.usage.cores or task.size.cores
            self._demand[key] = max(self._demand.get(key, 0.0), used)
        limits = self._divide_budget(tasks, view.budget_cores, floor)
        return self._apply_limits(tasks, limits, _cause(view))

    def _divide_budget(
        self, tasks: list[TaskView], budget: float, floor: float
    ) -> dict[AttemptKey, float]:
        """Return limits that divide the budget in proportion to demand, none below the floor.

        Parameters
        ----------
        budget
            Cores to divide.
        floor
            Lowest limit as a share of the declared cores; at least `MIN_LIMIT_CORES`.
        """
        demand = {_key(task): self._demand.get(_key(task), task.usage.cores) for task in tasks}
        lowest = {_key(task): max(floor * task.size.cores, MIN_LIMIT_CORES) for task in tasks}
        at_floor: set[AttemptKey] = set()
        for _ in tasks:  # Each pass moves at least one task to its lowest limit.
            remaining = budget - sum(lowest[key] for key in at_floor)
            total_demand = sum(cores for key, cores in demand.items() if key not in at_floor)
            scale = min(1.0, max(0.0, remaining) / total_demand) if total_demand > 0 else 1.0
            below_floor = {key for key, cores in demand.items() if scale * cores < lowest[key]}
            if below_floor <= at_floor:
                break
            at_floor |= below_floor
        return {
            key: lowest[key] if key in at_floor else scale * cores for key, cores in demand.items()
        }

    def _apply_limits(
        self, tasks: list[TaskView], limits: dict[AttemptKey, float], cause: ActionCause
    ) -> list[Action]:
        actions = []
        for task in tasks:
            limit = limits[_key(task)]
            if self.limits.get(_key(task)) != limit:
                self.limits[_key(task)] = limit
                actions.append(task.action(ActionKind.THROTTLE, cause, limit))
        return actions

    def _choose_victims(self, view: HostView, tasks: list[TaskView], now: float) -> list[TaskView]:
        """Return the tasks whose eviction lets the others run at the floor or above."""
        allowed_evictions = self.evictions.available(now)
        missing_cores = (
            sum(self._floor_share * task.size.cores for task in tasks) - view.budget_cores
        )
        victims: list[TaskView] = []
        for task in eviction_order(tasks):
            if missing_cores <= 0.0 or len(victims) >= allowed_evictions:
                break
            if task.run_seconds >= self.min_run_seconds:
                victims.append(task)
                missing_cores -= self._floor_share * task.size.cores
        return victims

    def _evict(self, view: HostView, tasks: list[TaskView], now: float) -> list[Action]:
        victims = [task for task in tasks if _key(task) in self._victims]
        victims = victims[: self.evictions.available(now)]
        for _ in victims:
            self.evictions.record_eviction(now)
        self._victims = set()
        self._count_round(now)
        self.stage = Stage.EVICTED
        self._next_decision_at = now + SETTLE_SECONDS
        evicted = {_key(task) for task in victims}
        kept = [task for task in tasks if _key(task) not in evicted]
        actions = [task.action(ActionKind.EVICT, _cause(view)) for task in victims]
        return actions + self._throttle(view, kept, 0.0)

    def _raise_limits(self, view: HostView, tasks: list[TaskView], now: float) -> list[Action]:
        may_raise = (
            self._within_budget_since is not None
            and now - self._within_budget_since >= RAISE_DELAY_SECONDS
        )
        if self.stage is Stage.NORMAL or view.surging or not may_raise:
            return []
        self._next_decision_at = now + RAISE_INTERVAL_SECONDS
        targets = self._divide_budget(tasks, view.budget_cores, 0.0)
        raised: dict[AttemptKey, float] = {}
        for task in tasks:
            current = self.limits.get(_key(task))
            if current is not None:
                highest = max(current * RAISE_FACTOR, current + RAISE_SHARE * task.size.cores)
                raised[_key(task)] = max(current, min(targets[_key(task)], highest))
        if all(self._meets_demand(task, raised) for task in tasks):
            return self._lift_limits(tasks)
        limited = [task for task in tasks if _key(task) in raised]
        return self._apply_raised_limits(limited, raised)

    def _meets_demand(self, task: TaskView, raised: dict[AttemptKey, float]) -> bool:
        key = _key(task)
        return key not in raised or raised[key] >= self._demand.get(key, 0.0) - 1e-9

    def _apply_raised_limits(
        self, tasks: list[TaskView], limits: dict[AttemptKey, float]
    ) -> list[Action]:
        actions = self._apply_limits(tasks, limits, ActionCause.CORES)
        return [action.replace(kind=ActionKind.RELEASE) for action in actions]

    def _lift_limits(self, tasks: list[TaskView]) -> list[Action]:
        limited = [task for task in tasks if _key(task) in self.limits]
        self.stage = Stage.NORMAL
        self.limits, self._demand = {}, {}
        return [task.action(ActionKind.RELEASE, ActionCause.CORES) for task in limited]


def eviction_order(tasks: list[TaskView]) -> list[TaskView]:
    """Return tasks in the order of eviction: least unsaved work first, urgent tasks last."""
    return sorted(tasks, key=lambda task: (task.urgent, task.unsaved_seconds, task.task_id))


def _key(task: TaskView) -> AttemptKey:
    return task.task_id, task.attempt


def _cause(view: HostView) -> ActionCause:
    return ActionCause.SURGE if view.surging else ActionCause.CORES
