"""Input and output of a pressure policy: the state of its host, and actions on tasks."""

from __future__ import annotations

from enum import StrEnum

from acaciastand.record import Record
from acaciastand.resources import Resources


class ActionKind(StrEnum):
    """Kind of an action on a task."""

    THROTTLE = "throttle"
    RELEASE = "release"  # Raises or lifts the limit of a throttled task.
    CHECKPOINT = "checkpoint"
    EVICT = "evict"


class ActionCause(StrEnum):
    """Reason of an action; evictions are counted separately for each one."""

    CORES = "cores"
    MEMORY = "memory"
    SURGE = "surge"


class Action(Record):
    """One action on one attempt.

    Parameters
    ----------
    cores
        New limit of a task that is throttled or released; 0 lifts the limit.
    """

    __slots__ = ("kind", "task_id", "attempt", "cause", "cores")

    def __init__(
        self,
        kind: ActionKind,
        task_id: str,
        attempt: int,
        cause: ActionCause = ActionCause.CORES,
        cores: float = 0.0,
    ) -> None:
        self.kind = kind
        self.task_id = task_id
        self.attempt = attempt
        self.cause = cause
        self.cores = cores


class TaskView(Record):
    """A task that runs on the host and is not being stopped.

    Parameters
    ----------
    size
        Resources that the task was granted.
    usage
        Last observed use, which lags behind the actual one.
    run_seconds
        Time for which the host has tracked this attempt.
    unsaved_seconds
        Work since the last checkpoint. An eviction without another checkpoint loses it.
    protected
        Whether the task is part of a service. Policies take no action on such tasks.
    """

    __slots__ = (
        "task_id",
        "attempt",
        "size",
        "usage",
        "run_seconds",
        "unsaved_seconds",
        "urgent",
        "protected",
    )

    def __init__(
        self,
        task_id: str,
        attempt: int,
        size: Resources,
        usage: Resources,
        run_seconds: float,
        unsaved_seconds: float = 0.0,
        urgent: bool = False,
        protected: bool = False,
    ) -> None:
        self.task_id = task_id
        self.attempt = attempt
        self.size = size
        self.usage = usage
        self.run_seconds = run_seconds
        self.unsaved_seconds = unsaved_seconds
        self.urgent = urgent
        self.protected = protected

    def action(self, kind: ActionKind, cause: ActionCause, cores: float = 0.0) -> Action:
        """Return an action on this task."""
        return Action(kind, self.task_id, self.attempt, cause, cores)


class HostView(Record):
    """State of one host.

    Parameters
    ----------
    service
        Resources that the service on the host uses.
    headroom_cores
        Cores that batch tasks must leave free now.
    surging
        Whether a service of the region surges.
    """

    __slots__ = ("capacity", "service", "headroom_cores", "surging", "tasks")

    def __init__(
        self,
        capacity: Resources,
        service: Resources,
        headroom_cores: float,
        surging: bool,
        tasks: list[TaskView],
    ) -> None:
        self.capacity = capacity
        self.service = service
        self.headroom_cores = headroom_cores
        self.surging = surging
        self.tasks = tasks

    @property
    def batch_tasks(self) -> list[TaskView]:
        """Tasks on which a policy may take action."""
        return [task for task in self.tasks if not task.protected]

    @property
    def batch_cores(self) -> float:
        """Cores that batch tasks use."""
        return sum(task.usage.cores for task in self.batch_tasks)

    @property
    def budget_cores(self) -> float:
        """Cores that batch tasks may use; the headroom is subtracted only in a surge.

        Outside of surges the headroom only limits the admission of tasks. A task that uses a small
        part of it is not worth throttling.
        """
        protected = sum(task.usage.cores for task in self.tasks if task.protected)
        available = self.capacity.cores - self.service.cores - protected
        return max(0.0, available - (self.headroom_cores if self.surging else 0.0))

    @property
    def incompressible_excess(self) -> Resources:
        """Memory and accelerators in use beyond the capacity; throttling does not reduce them."""
        used = self.service
        for task in self.tasks:
            used = used.plus(task.usage)
        excess = used.minus(self.capacity)
        return Resources(0.0, max(0, excess.memory_mb), max(0, excess.accelerators))
