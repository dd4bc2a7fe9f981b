"""The owner's view of one worker and of the agent beside it."""

from __future__ import annotations

from acaciastand.resources import Resources
from acaciastand.workflow.job import Task
from acaciastand.workflow.reports import WorkerIdentity

SERVING_USE_SHARE = 0.5  # of its reserved cores that a continuous task uses on average
ROUNDING_CORES = 1e-6  # sums of fractions are inexact


class WorkerView:
    """One worker, as far as the owner knows.

    Attributes
    ----------
    identity
        Last announcement of the worker; None before the first.
    has_reported
        Whether the agent has reported to this owner.
    granted_until
        Until when the agent may at the latest keep its runs alive without another grant.
    tasks
        Attempts assigned to the worker, by task.
    reserved_cores, reserved_memory_mb, reserved_accelerators
        What the assigned attempts reserve.
    expected_cores, serving_cores
        Cores that all of them are expected to use, and that the continuous ones reserve.
    leftover_tasks
        How many of them run on leftover processor time.
    pace_percent, tail_share
        Share at which tasks on leftover time may work, and the largest tail latency of a
        continuous task as a share of its limit.
    serving_images
        How many continuous tasks of each image are on the worker.
    tails
        Largest tail latency of the continuous tasks of each image at the last look, as a share of
        their limit.
    measured_poll
        Number of the last look whose figures were learned from.
    leftover_started_at
        When the latest task on leftover time was assigned.
    pending_ends
        Ends that are not acknowledged, with the job and the version that must be stored first.
    """

    __slots__ = (
        "agent_id",
        "identity",
        "has_reported",
        "last_report",
        "granted_until",
        "reachable",
        "worker_unresponsive",
        "tasks",
        "reserved_cores",
        "reserved_memory_mb",
        "reserved_accelerators",
        "expected_cores",
        "serving_cores",
        "leftover_tasks",
        "pace_percent",
        "tail_share",
        "serving_images",
        "tails",
        "measured_poll",
        "leftover_started_at",
        "pending_ends",
        "acknowledged",
        "recent_failures",
        "quarantined_until",
        "quarantine_count",
        "full_until",
    )

    def __init__(self, agent_id: str) -> None:
        self.agent_id = agent_id
        self.identity: WorkerIdentity | None = None
        self.has_reported = False
        self.last_report = float("-inf")
        self.granted_until = float("-inf")
        self.reachable = False
        self.worker_unresponsive = False
        self.tasks: dict[str, Task] = {}
        self.reserved_cores = 0.0
        self.reserved_memory_mb = 0
        self.reserved_accelerators = 0
        self.expected_cores = 0.0
        self.serving_cores = 0.0
        self.leftover_tasks = 0
        self.pace_percent = 100
        self.tail_share = 0.0
        self.serving_images: dict[str, int] = {}
        self.tails: dict[str, float] = {}
        self.measured_poll = 0
        self.leftover_started_at = float("-inf")
        self.pending_ends: list[tuple[int, str, int]] = []
        self.acknowledged = 0
        self.recent_failures: list[str] = []  # jobs whose tasks failed since the last success
        self.quarantined_until = 0.0
        self.quarantine_count = 0
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

    def assign(self, task: Task) -> None:
        """Count an attempt as on this worker."""
        if task.key not in self.tasks:
            self.tasks[task.key] = task
            self._count(task, 1)

    def remove(self, task: Task) -> None:
        """Count an attempt as gone from this worker."""
        if self.tasks.pop(task.key, None) is not None:
            self._count(task, -1)

    def has_capacity(self, size: Resources) -> bool:
        """Return whether the reservations leave room for `size`."""
        assert self.identity is not None
        capacity = self.identity.capacity
        return (
            self.reserved_cores + size.cores <= capacity.cores + ROUNDING_CORES
            and self.reserved_memory_mb + size.memory_mb <= capacity.memory_mb
            and self.reserved_accelerators + size.accelerators <= capacity.accelerators
        )

    def leftover_cores(self) -> float:
        """Return the cores that the assigned attempts are expected to leave unused."""
        assert self.identity is not None
        return self.identity.capacity.cores - self.expected_cores

    def _count(self, task: Task, sign: int) -> None:
        step = task.step
        share = SERVING_USE_SHARE if step.continuous else 1.0
        self.expected_cores += sign * share * step.size.cores
        self.reserved_memory_mb += sign * step.size.memory_mb
        self.reserved_accelerators += sign * step.size.accelerators
        if step.uses_leftover:
            self.leftover_tasks += sign
        else:
            self.reserved_cores += sign * step.size.cores
        if step.continuous:
            self.serving_cores += sign * step.size.cores
            count = self.serving_images.get(step.image, 0) + sign
            self.serving_images[step.image] = count
            if not count:
                del self.serving_images[step.image]

    def measured(self) -> None:
        """Take note of the tail latencies that the last look showed."""
        self.tails = {}
        for task in self.tasks.values():
            if task.step.target_ms and task.measurement > 0:
                share = task.measurement / task.step.target_ms
                self.tails[task.step.image] = max(share, self.tails.get(task.step.image, 0.0))

    def can_accept_work(self, now: float, fresh_seconds: float) -> bool:
        """Return whether the worker may be given new work."""
        return (
            self.identity is not None
            and not self.identity.draining
            and self.reachable
            and not self.worker_unresponsive
            and now - self.last_report <= fresh_seconds
            and now >= self.quarantined_until
        )
