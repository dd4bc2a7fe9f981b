"""The owner's view of one worker and of the agent beside it."""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum

from acaciastand.placement.quarantine import Access
from acaciastand.record import Record
from acaciastand.resources import Resources
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.reports import PollPosition, WorkerIdentity

SERVING_USE_SHARE = 0.5  # Average share of its reserved cores that a continuous task uses.
MEASURED_AFTER_SECONDS = 1.0  # From this age, a measurement covers a whole half second of a run.
ROUNDING_TOLERANCE_CORES = 1e-6  # Sums of fractions of cores are inexact.


class Standing(Enum):
    """What a worker's failures say of it."""

    TRUSTED = "trusted"
    SUSPECTED = "suspected"  # It fails what it starts, but too many are in quarantine already.
    QUARANTINED = "quarantined"


class LeavingRun(Record):
    """A run that is being stopped without being the current run of a task.

    Parameters
    ----------
    size
        Resources that it reserves.
    until
        Time on the owner's clock at which it has certainly ended unless it is listed again.
    """

    __slots__ = ("size", "until")

    def __init__(self, size: Resources, until: float) -> None:
        self.size = size
        self.until = until


class WorkerView:
    """State of one worker and its agent as the owner knows it.

    Times are seconds of the owner's clock.

    Attributes
    ----------
    identity
        Last announcement of the worker; None before the first.
    has_reported
        Whether it is known what former owners started on the worker: the agent has reported it to
        this owner, or all runs there have ended. The tasks of `unsettled_starts` are excepted.
    unsettled_starts
        Tasks and numbers of the runs that former owners started and the worker may yet begin.
    last_report_at
        When the agent last reported.
    granted_until
        Latest time until which the agent may keep its runs alive without another grant.
    reachable
        Whether the owner has a connection to the agent.
    worker_unresponsive
        Whether the worker does not answer its agent, by the last report.
    starts_withheld
        Whether the worker gets no new work, because its zone is drained or all starts are paused.
    in_slow_start
        Whether other workers are preferred because the worker is slow after its start.
    tasks
        Tasks and copies of tasks whose run is assigned to the worker, by key of the task.
    leaving_runs
        Runs that are being stopped although no assigned task has them, by task and run.
    reserved_cores, reserved_memory_mb, reserved_accelerators
        Resources that the assigned tasks reserve.
    expected_cores
        Cores that the assigned tasks are expected to use at full speed.
    idle_batch_cores
        Cores that slowed batch tasks left unused at the last poll.
    serving_cores
        Cores that the assigned continuous tasks reserve.
    leftover_task_count
        Number of assigned tasks that use leftover processor time.
    pace_percent
        Pace at which interfering batch tasks may work, by the last report.
    tail_share
        Largest tail latency of a continuous task as a share of its latency target, by the last
        report.
    serving_images
        Number of assigned continuous tasks of each image.
    tail_share_by_image
        Largest tail latency of the continuous tasks of each image at the last poll, as a share of
        their latency target.
    measured_poll
        Position of the last poll whose measurements were processed.
    leftover_started_at
        When a task that uses leftover processor time was last assigned.
    pending_ends
        Ends of runs that are not acknowledged yet: number of the end, id of the job, and version
        of the job that must be stored first.
    acknowledged
        Number of the last end that is acknowledged.
    standing
        Whether the worker is in quarantine or suspected, since it fails what it starts.
    is_probe_due
        Whether a task may start on it although it is in quarantine, to show whether it works again.
    access
        How many tasks without another place may start on it in spite of its standing.
    full_until
        Time until which the worker gets no starts, because it rejected one for lack of capacity.
    last_start_at
        When a task was last assigned.
    reserved_until
        Time until which only tasks that are suspected of a crash may start.
    observed_task, observed_until
        Key of the suspect that was last started in isolation, empty without one, and the time
        until which nothing else starts on the worker.
    crashed_at
        When the last crash of the worker was reported.
    crash_ms
        Start time in Unix milliseconds of the incarnation that crashed last, by the reports.
    crash_versions
        Versions of jobs that must be stored before the crashes are acknowledged, by job id.
    """

    __slots__ = (
        "agent_id",
        "identity",
        "has_reported",
        "unsettled_starts",
        "last_report_at",
        "granted_until",
        "reachable",
        "worker_unresponsive",
        "starts_withheld",
        "in_slow_start",
        "tasks",
        "leaving_runs",
        "reserved_cores",
        "reserved_memory_mb",
        "reserved_accelerators",
        "expected_cores",
        "idle_batch_cores",
        "serving_cores",
        "leftover_task_count",
        "pace_percent",
        "tail_share",
        "serving_images",
        "tail_share_by_image",
        "measured_poll",
        "leftover_started_at",
        "pending_ends",
        "acknowledged",
        "standing",
        "is_probe_due",
        "access",
        "full_until",
        "last_start_at",
        "reserved_until",
        "observed_task",
        "observed_until",
        "crashed_at",
        "crash_ms",
        "crash_versions",
    )

    def __init__(self, agent_id: str) -> None:
        self.agent_id = agent_id
        self.identity: WorkerIdentity | None = None
        self.has_reported = False
        self.unsettled_starts: set[tuple[str, int]] = set()
        self.last_report_at = float("-inf")
        self.granted_until = float("-inf")
        self.reachable = False
        self.worker_unresponsive = False
        self.starts_withheld = False
        self.in_slow_start = False
        self.tasks: dict[str, Task] = {}
        self.leaving_runs: dict[tuple[str, int], LeavingRun] = {}
        self.reserved_cores = 0.0
        self.reserved_memory_mb = 0
        self.reserved_accelerators = 0
        self.expected_cores = 0.0
        self.idle_batch_cores = 0.0
        self.serving_cores = 0.0
        self.leftover_task_count = 0
        self.pace_percent = 100
        self.tail_share = 0.0
        self.serving_images: dict[str, int] = {}
        self.tail_share_by_image: dict[str, float] = {}
        self.measured_poll = PollPosition()
        self.leftover_started_at = float("-inf")
        self.pending_ends: list[tuple[int, str, int]] = []
        self.acknowledged = 0
        self.standing = Standing.TRUSTED
        self.is_probe_due = False
        self.access = Access.NONE
        self.full_until = 0.0
        self.last_start_at = float("-inf")
        self.reserved_until = 0.0
        self.observed_task = ""
        self.observed_until = 0.0
        self.crashed_at = float("-inf")
        self.crash_ms = 0
        self.crash_versions: dict[str, int] = {}

    @property
    def born_ms(self) -> int:
        """Start time of the worker in Unix milliseconds; identifies its incarnation."""
        return self.identity.born_ms if self.identity else 0

    @property
    def availability_zone(self) -> str:
        """Availability zone of the worker; empty before its first announcement."""
        return self.identity.availability_zone if self.identity else ""

    @property
    def incarnation(self) -> str:
        """Incarnation of the worker as text; empty before its first announcement."""
        return str(self.identity.born_ms) if self.identity else ""

    @property
    def redundancy_group(self) -> str:
        """Service and availability zone; workers with the same can stand in for each other."""
        service = self.identity.service if self.identity else ""
        return f"{service}/{self.availability_zone}"

    @property
    def rack(self) -> str:
        """Rack of the worker; by convention the last label."""
        labels = self.identity.labels if self.identity else []
        return labels[-1] if labels else ""

    @property
    def depends_on_grant(self) -> bool:
        """Whether runs may be on the worker until its agent reports otherwise."""
        may_have_runs = self.tasks or self.leaving_runs or self.unsettled_starts
        return bool(may_have_runs) or not self.has_reported

    def may_have_unknown_run(self, task_key: str) -> bool:
        """Return whether a former owner may have started a run of a task here that is unknown."""
        return not self.has_reported or any(key == task_key for key, _ in self.unsettled_starts)

    def settle_former_starts(self) -> None:
        """Record that it is known what former owners started here."""
        self.has_reported = True
        self.unsettled_starts.clear()

    def assign(self, task: Task) -> None:
        """Assign a task and reserve its resources, unless it is assigned already."""
        if task.key not in self.tasks:
            self.tasks[task.key] = task
            self._add_to_sums(task, 1)

    def remove(self, task: Task) -> None:
        """Remove a task and release its resources, if it is assigned."""
        if self.tasks.pop(task.key, None) is not None:
            self._add_to_sums(task, -1)
        if self.observed_task == task.key:
            self.end_observation()

    def takes_starts(self, now: float, suspected: bool) -> bool:
        """Return whether a task may start in view of crashes; `suspected` tells of the task."""
        return now >= self.observed_until and (suspected or now >= self.reserved_until)

    def observe(self, task: Task, until: float) -> None:
        """Let nothing else start until `until`, so that a crash before is certainly the task's."""
        self.observed_task = task.key
        self.observed_until = until

    def end_observation(self) -> None:
        """Let other tasks start again."""
        self.observed_task = ""
        self.observed_until = 0.0

    def has_capacity(self, size: Resources) -> bool:
        """Return whether the resources that are not reserved cover `size`."""
        assert self.identity is not None
        capacity = self.identity.capacity
        for leaving in self.leaving_runs.values():
            size = size.plus(leaving.size)
        return (
            self.reserved_cores + size.cores <= capacity.cores + ROUNDING_TOLERANCE_CORES
            and self.reserved_memory_mb + size.memory_mb <= capacity.memory_mb
            and self.reserved_accelerators + size.accelerators <= capacity.accelerators
        )

    def forget_ended(self, ended: Collection[tuple[str, int]], now: float) -> None:
        """Release the resources of leaving runs that have ended."""
        if self.leaving_runs:
            self.leaving_runs = {
                key: leaving
                for key, leaving in self.leaving_runs.items()
                if key not in ended and now <= leaving.until
            }

    def leftover_cores(self) -> float:
        """Return the cores that the assigned tasks are expected to leave unused."""
        assert self.identity is not None
        return self.identity.capacity.cores - self.expected_cores + self.idle_batch_cores

    def _add_to_sums(self, task: Task, sign: int) -> None:
        """Add a task to the sums, or with a `sign` of -1 take it out of them."""
        step = task.step
        use_share = SERVING_USE_SHARE if step.continuous else 1.0
        self.expected_cores += sign * use_share * step.size.cores
        self.reserved_memory_mb += sign * step.size.memory_mb
        self.reserved_accelerators += sign * step.size.accelerators
        if step.uses_leftover:
            self.leftover_task_count += sign
        else:
            self.reserved_cores += sign * step.size.cores
        if step.continuous:
            self.serving_cores += sign * step.size.cores
            count = self.serving_images.get(step.image, 0) + sign
            self.serving_images[step.image] = count
            if not count:
                del self.serving_images[step.image]

    def update_measurements(self, now: float) -> None:
        """Set tail latencies by image and idle cores from the measurements of the last poll."""
        self.idle_batch_cores = self._measure_idle_cores(now)
        self.tail_share_by_image = {}
        for task in self.tasks.values():
            if task.step.target_ms and task.measurement > 0:
                share = task.measurement / task.step.target_ms
                self.tail_share_by_image[task.step.image] = max(
                    share, self.tail_share_by_image.get(task.step.image, 0.0)
                )

    def _measure_idle_cores(self, now: float) -> float:
        """Return the cores that batch tasks do not use because they are slowed down.

        Without this, a task that is paused for a service kept other tasks, which do not disturb
        that service, from the cores that it does not use.
        """
        if self.pace_percent >= 100:
            return 0.0
        return sum(
            max(0.0, task.step.size.cores - task.measurement / 1000)
            for task in self.tasks.values()
            if task.step.uses_leftover
            and task.state == TaskState.RUNNING
            and now - task.started_at >= MEASURED_AFTER_SECONDS
        )


def services_by_step(worker: WorkerView) -> dict[str, Task]:
    """Return one service task of each job, occurrence and step on a worker.

    The tasks of a step share the load of their service. The keys are those of the tasks without
    their last part.
    """
    return {
        key.rpartition(".")[0]: task for key, task in worker.tasks.items() if task.step.continuous
    }
