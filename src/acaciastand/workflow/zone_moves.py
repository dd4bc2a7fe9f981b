"""Choice of the runs in drained zones that are stopped in order to continue elsewhere."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from enum import StrEnum
from itertools import islice
from typing import TYPE_CHECKING

from acaciastand.record import Record
from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.exclusions import is_schedulable
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.limits import COMMAND_SECONDS, MAX_REPORT_AGE_SECONDS
from acaciastand.workflow.placement import Placement, could_hold
from acaciastand.workflow.task_copy import TaskCopy
from acaciastand.workflow.worker import WorkerView

if TYPE_CHECKING:
    from acaciastand.workflow.scheduler_state import SchedulerState

MAX_SIMULTANEOUS_MOVES = 4  # Of all jobs, from the stop until the task is at work again.
# A run that is expected to end sooner stays: its stop, start and restore take as long.
MIN_REMAINING_SECONDS = 3.0
FULL_PERCENT = 100.0  # Progress at which a continuous task is at work.
CHECK_INTERVAL_SECONDS = 0.4  # Minimum time between two checks of all runs in drained zones.
# A stop that a former owner sent shows in the reports within this time.
FORMER_STOPS_SECONDS = COMMAND_SECONDS + 0.6
LOG_INTERVAL_SECONDS = 5.0  # Time between two log lines on the runs that stay in a zone.


class StayReason(StrEnum):
    """Why a run stays in a drained zone."""

    IN_TRANSITION = "in_transition"  # It is being started or stopped, or is not at work yet.
    GANG = "gang"  # A gang runs as a whole.
    HAS_COPY = "has_copy"  # Another run of its task goes on.
    NO_CHECKPOINTS = "no_checkpoints"  # A stop would throw its work away.
    ENDS_SOON = "ends_soon"
    NOT_REACHED = "not_reached"  # Its worker cannot be reached, or leaves by itself.
    UNCONFIRMED = "unconfirmed"  # The request may have been removed meanwhile.
    NO_QUEUE = "no_queue"  # Its queue is not in the configuration, so nothing of it starts.
    IN_TURN = "in_turn"  # Other runs move first.
    ABSENCES = "absences"  # Too many tasks of its step are absent.
    NO_CAPACITY = "no_capacity"  # No worker elsewhere takes it at once.


class ZoneMoves(ABC):
    """Policy on the runs in drained zones.

    Attributes
    ----------
    staying
        Number of runs in drained zones by the reason for which they stay, at the last check.
    """

    def __init__(self) -> None:
        self.staying: Counter[StayReason] = Counter()

    @abstractmethod
    def request_moves(self, now: float) -> None:
        """Have the runs stopped that are to continue on workers elsewhere."""


class NoZoneMoves(ZoneMoves):
    """Baseline: nothing moves, and what runs in a drained zone ends there."""

    def request_moves(self, now: float) -> None:
        """Leave all runs where they are."""


class Move(Record):
    """A run that is stopped in order to continue elsewhere.

    Parameters
    ----------
    task, run
        The task, and the number of the run that is stopped.
    """

    __slots__ = ("task", "run")

    def __init__(self, task: Task, run: int) -> None:
        self.task = task
        self.run = run

    def is_over(self) -> bool:
        """Return whether the task is at work again or does not need to be."""
        task = self.task
        if task.job.has_ended or task.state in (TaskState.DONE, TaskState.FAILED):
            return True
        return task.run > self.run and _is_at_work(task)

    def waits(self) -> bool:
        """Return whether the task still needs a worker."""
        return self.task.run == self.run or self.task.state == TaskState.WAITING


class Destinations(Record):
    """Workers to which runs may move in one check.

    Parameters
    ----------
    workers
        Workers to which new work may be assigned.
    contended_services
        Services for which tasks wait. These take the capacity first.

    Attributes
    ----------
    exhausted
        Job and step of the tasks for which no worker has capacity.
    """

    __slots__ = ("workers", "contended_services", "exhausted")

    def __init__(self, workers: list[WorkerView], contended_services: set[str]) -> None:
        self.workers = workers
        self.contended_services = contended_services
        self.exhausted: set[tuple[str, int]] = set()


class GradualZoneMoves(ZoneMoves):
    """Moves of runs that lose nothing by a stop, while workers elsewhere have capacity for them.

    Designed for a zone that is drained while the others carry most of the load. Short runs end by
    themselves. A few runs move at a time; of the tasks of a continuous step only one, and only
    while fewer others than `StepSpec.max_absent` are absent for any reason, so that callers lose no
    more of a service than its owner allows.

    Parameters
    ----------
    state
        State of the scheduler.
    placement
        Policy that says whether a worker takes a task.
    began_at
        When the term of this owner began, in seconds of its clock.

    Attributes
    ----------
    moves
        Moves that are not over.
    checked_at
        When the runs were last checked.
    moves_from
        Time from which runs move. Stops of a former owner may still take effect before.
    logged_at
        When the runs that stay in a zone were last logged, by zone.
    """

    def __init__(self, state: SchedulerState, placement: Placement, began_at: float) -> None:
        super().__init__()
        self.state = state
        self.placement = placement
        self.moves: list[Move] = []
        self.checked_at = float("-inf")
        self.moves_from = began_at + FORMER_STOPS_SECONDS
        self.logged_at: dict[str, float] = {}

    def request_moves(self, now: float) -> None:
        """Stop the runs that may move now, and count the others by their reasons to stay."""
        drains = self.state.zone_drains
        if now - self.checked_at < CHECK_INTERVAL_SECONDS:
            return
        self.checked_at = now
        self.staying = Counter()
        self.moves = [move for move in self.moves if not move.is_over()]
        if not drains.drained:
            return
        destinations = self._find_destinations(now)
        by_zone: dict[str, Counter[StayReason]] = {zone: Counter() for zone in drains.drained}
        for worker in self.state.workers.values():
            if not drains.is_drained(worker):
                continue
            for task in list(worker.tasks.values()):
                reason = self._reason_to_stay(task, worker, destinations, now)
                if reason is None:
                    self._move(task, worker, now)
                else:
                    by_zone[worker.availability_zone][reason] += 1
        for zone, reasons in by_zone.items():
            self.staying.update(reasons)
            self._log_staying(zone, reasons, now)

    def _find_destinations(self, now: float) -> Destinations:
        workers = [
            w for w in self.state.workers.values() if is_schedulable(w, now) and now >= w.full_until
        ]
        return Destinations(workers, self._contended_services(workers))

    def _contended_services(self, workers: list[WorkerView]) -> set[str]:
        """Return the services for which other tasks wait that one of the workers could hold."""
        moved = {move.task.key for move in self.moves}
        waiting = {
            (task.job.job_id, task.name.step): task
            for key, task in self.state.waiting.items()
            if key not in moved
        }
        services: set[str] = set()
        for task in waiting.values():
            queue = self.state.catalog.by_name(task.job.queue)
            if queue is None or queue.service in services:
                continue
            if any(
                worker.identity is not None
                and worker.identity.service == queue.service
                and could_hold(task.step, worker)
                for worker in workers
            ):
                services.add(queue.service)
        return services

    def _reason_to_stay(
        self, task: Task, worker: WorkerView, destinations: Destinations, now: float
    ) -> StayReason | None:
        """Return why a run stays where it is, or None if it moves."""
        reason = _reason_of_run(task, now)
        if reason is not None:
            return reason
        if not _is_sound(worker, now):
            return StayReason.NOT_REACHED
        if not self.state.zone_drains.is_confirmed(now):
            return StayReason.UNCONFIRMED
        if now < self.moves_from or len(self.moves) >= MAX_SIMULTANEOUS_MOVES:
            return StayReason.IN_TURN
        if task.step.continuous and not self._may_be_absent(task, now):
            return StayReason.ABSENCES
        return self._check_destinations(task, destinations, now)

    def _may_be_absent(self, task: Task, now: float) -> bool:
        """Return whether one more task of a continuous step may be absent.

        A step without a limit is treated as one that allows a single absence.
        """
        siblings = [other for other in task.job.siblings(task) if other is not task]
        if any(move.task is other for move in self.moves for other in siblings):
            return False
        absent = sum(not self._is_present(other, now) for other in siblings)
        return absent < max(1, task.step.max_absent)

    def _is_present(self, task: Task, now: float) -> bool:
        worker = self.state.workers.get(task.agent_id)
        return worker is not None and _is_at_work(task) and _has_recent_report(worker, now)

    def _check_destinations(
        self, task: Task, destinations: Destinations, now: float
    ) -> StayReason | None:
        """Return why no worker elsewhere can take a task at once, or None if one can."""
        queue = self.state.catalog.by_name(task.job.queue)
        if queue is None:
            return StayReason.NO_QUEUE
        group = (task.job.job_id, task.name.step)
        if queue.service in destinations.contended_services or group in destinations.exhausted:
            return StayReason.NO_CAPACITY
        # Each move on its way takes the capacity of one worker at most.
        needed = 1 + sum(move.waits() for move in self.moves)
        willing = (w for w in destinations.workers if self._takes(w, task, queue, now))
        if len(list(islice(willing, needed))) == needed:
            return None
        destinations.exhausted.add(group)
        return StayReason.NO_CAPACITY

    def _takes(self, worker: WorkerView, task: Task, queue: Queue, now: float) -> bool:
        """Return whether a task could start on a worker now."""
        if worker.identity is None or worker.identity.service != queue.service:
            return False
        if queue.advised and not self.state.advice.find_ticket(task, worker, now):
            return False
        return self.placement.choose(task, [worker], now) is not None

    def _move(self, task: Task, worker: WorkerView, now: float) -> None:
        self.moves.append(Move(task, task.run))
        self.state.record_decision(
            "run moved",
            task.key,
            run=task.run,
            agent=worker.agent_id,
            why="zone drained",
            zone=worker.availability_zone,
        )
        self.state.request_stop(task, now)

    def _log_staying(self, zone: str, reasons: Counter[StayReason], now: float) -> None:
        if not reasons or now - self.logged_at.get(zone, float("-inf")) < LOG_INTERVAL_SECONDS:
            return
        self.logged_at[zone] = now
        drained = self.state.zone_drains.drained[zone]
        self.state.record_decision(
            "runs in drained zone",
            zone,
            after_s=round(now - drained.seen_at, 2),
            runs=reasons.total(),
            why={reason.value: count for reason, count in sorted(reasons.items())},
        )


def _reason_of_run(task: Task, now: float) -> StayReason | None:
    """Return why a run itself may not move, or None if it may."""
    if not _is_at_work(task):
        return StayReason.IN_TRANSITION
    if task.step.gang:
        return StayReason.GANG
    if isinstance(task, TaskCopy) or task.copies:
        return StayReason.HAS_COPY
    if task.step.continuous:
        return None
    if not task.step.saves_progress:
        return StayReason.NO_CHECKPOINTS
    remaining_seconds = task.step.estimate_seconds - (now - task.started_at)
    return StayReason.ENDS_SOON if remaining_seconds < MIN_REMAINING_SECONDS else None


def _is_at_work(task: Task) -> bool:
    """Return whether a task runs and, if it is continuous, has reached its full progress."""
    is_ready = not task.step.continuous or task.percent >= FULL_PERCENT
    return task.state == TaskState.RUNNING and is_ready


def _has_recent_report(worker: WorkerView, now: float) -> bool:
    is_recent = now - worker.last_report_at <= MAX_REPORT_AGE_SECONDS
    return worker.reachable and not worker.worker_unresponsive and is_recent


def _is_sound(worker: WorkerView, now: float) -> bool:
    """Return whether a worker carries out a stop and does not leave by itself."""
    return (
        _has_recent_report(worker, now)
        and worker.identity is not None
        and not worker.identity.draining
    )
