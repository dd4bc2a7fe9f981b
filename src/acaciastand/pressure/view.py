"""What a pressure policy sees of its host and what it may ask for."""

from __future__ import annotations

from enum import StrEnum

from acaciastand.record import Record
from acaciastand.resources import Resources


class ActionKind(StrEnum):
    """What is to be done with a task."""

    THROTTLE = "throttle"
    RELEASE = "release"
    CHECKPOINT = "checkpoint"
    EVICT = "evict"


class Cause(StrEnum):
    """Why a task is throttled or evicted; each one has its own counter."""

    CORES = "cores"
    MEMORY = "memory"
    SURGE = "surge"


class Action(Record):
    """One step for one attempt; `cores` is the new limit of a throttled task."""

    __slots__ = ("kind", "task_id", "attempt", "cause", "cores")

    def __init__(
        self,
        kind: ActionKind,
        task_id: str,
        attempt: int,
        cause: Cause = Cause.CORES,
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
    usage
        Observed use, which lags behind.
    run_seconds
        How long this attempt has been held.
    unsaved_seconds
        Work since the last checkpoint, which an eviction without one would lose.
    protected
        Part of a service; no policy touches it.
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

    def action(self, kind: ActionKind, cause: Cause, cores: float = 0.0) -> Action:
        """Return an action on this task."""
        return Action(kind, self.task_id, self.attempt, cause, cores)


class HostView(Record):
    """State of one host.

    Parameters
    ----------
    service
        Use of the service.
    headroom_cores
        Cores that batch tasks are to leave free now.
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
    def batch(self) -> list[TaskView]:
        """Tasks that a policy may touch."""
        return [task for task in self.tasks if not task.protected]

    @property
    def batch_cores(self) -> float:
        """Cores that batch tasks use."""
        return sum(task.usage.cores for task in self.batch)

    @property
    def budget_cores(self) -> float:
        """Cores left for batch tasks; the headroom counts only in a surge.

        Outside of surges the headroom limits admission, and a task that uses a little of it is
        not worth throttling.
        """
        protected = sum(task.usage.cores for task in self.tasks if task.protected)
        left = self.capacity.cores - self.service.cores - protected
        return max(0.0, left - (self.headroom_cores if self.surging else 0.0))

    @property
    def rigid_excess(self) -> Resources:
        """Memory and accelerators in use beyond the capacity; throttling cannot lower them."""
        used = self.service
        for task in self.tasks:
            used = used.plus(task.usage)
        excess = used.minus(self.capacity)
        return Resources(0.0, max(0, excess.memory_mb), max(0, excess.accelerators))
