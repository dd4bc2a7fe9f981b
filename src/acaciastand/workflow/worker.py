"""The owner's view of one worker and of the agent beside it."""

from __future__ import annotations

from acaciastand.resources import Resources
from acaciastand.workflow.job import Task
from acaciastand.workflow.reports import WorkerIdentity


class WorkerView:
    """One worker, as far as the owner knows.

    Attributes
    ----------
    identity
        Last announcement of the worker; None before the first.
    heard
        Whether the agent has reported to this owner.
    granted_until
        Until when the agent may at the latest keep its runs alive without another grant.
    tasks
        Attempts assigned to the worker, by task.
    pending_ends
        Ends that are not acknowledged, with the job and the version that must be stored first.
    """

    __slots__ = (
        "agent_id",
        "identity",
        "heard",
        "last_report",
        "granted_until",
        "reachable",
        "worker_silent",
        "tasks",
        "pending_ends",
        "acknowledged",
        "failing_since",
        "recent_failures",
        "set_aside_until",
        "probing",
        "set_asides",
        "full_until",
    )

    def __init__(self, agent_id: str) -> None:
        self.agent_id = agent_id
        self.identity: WorkerIdentity | None = None
        self.heard = False
        self.last_report = float("-inf")
        self.granted_until = float("-inf")
        self.reachable = False
        self.worker_silent = False
        self.tasks: dict[str, Task] = {}
        self.pending_ends: list[tuple[int, str, int]] = []
        self.acknowledged = 0
        self.failing_since = 0.0
        self.recent_failures: list[str] = []  # jobs whose tasks failed since the last success
        self.set_aside_until = 0.0
        self.probing = ""
        self.set_asides = 0
        self.full_until = 0.0

    @property
    def born_ms(self) -> int:
        """Life of the worker."""
        return self.identity.born_ms if self.identity else 0

    @property
    def rack(self) -> str:
        """Rack of the worker; by convention the last label."""
        labels = self.identity.labels if self.identity else []
        return labels[-1] if labels else ""

    def free(self) -> Resources:
        """Return the room that no assigned attempt reserves."""
        assert self.identity is not None
        room = self.identity.capacity
        for task in self.tasks.values():
            room = room.minus(task.step.reserved)
        return room

    def leftover_cores(self) -> float:
        """Return the cores that neither reservations nor tasks on leftover time ask for."""
        assert self.identity is not None
        asked = sum(task.step.size.cores for task in self.tasks.values())
        return self.identity.capacity.cores - asked

    def can_take(self, now: float, fresh_seconds: float) -> bool:
        """Return whether the worker may be given new work."""
        return (
            self.identity is not None
            and not self.identity.draining
            and self.reachable
            and not self.worker_silent
            and now - self.last_report <= fresh_seconds
            and now >= self.set_aside_until
        )
