"""Reports of agents on their workers and runs, and commands to start runs."""

from __future__ import annotations

import re
import sys
from enum import StrEnum
from typing import Any

from acaciastand.checks import check_integer, check_number, check_text, shorten
from acaciastand.record import Record
from acaciastand.resources import Resources

# Written form of `TaskName`. Its numbers are no longer than `int` reads.
TASK_NAME = re.compile(rf"[^.]*(?:\.\d{{1,{sys.int_info.default_max_str_digits}}}){{3}}")


class RunEnd(StrEnum):
    """How a run ended at its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"  # The lease of the worker's runs expired.
    BROKEN = "broken"  # Another member of the gang ended.
    ALONE = "alone"  # The other members of the gang did not start in time.


class TaskName(Record):
    """Name of a task, written as ``job_id.occurrence.step.index``.

    Parameters
    ----------
    job_id
        Id of the job.
    occurrence
        Number of the occurrence of the job.
    step
        Number of the step.
    index
        Number of the task within the step.
    """

    __slots__ = ("job_id", "occurrence", "step", "index")

    def __init__(self, job_id: str, occurrence: int, step: int, index: int) -> None:
        self.job_id = job_id
        self.occurrence = occurrence
        self.step = step
        self.index = index

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


class ActiveRun(Record):
    """A run in progress.

    Parameters
    ----------
    task, run
        Key of the task and number of the run.
    checkpoint
        Last saved progress; empty for none.
    percent
        Progress of the run, 0 to 100; a continuous task is at work at 100.
    measurement
        Rough measurement over the last half second: the tail latency of a continuous task in
        milliseconds, else the processor use in thousandths of a core.
    """

    __slots__ = ("task", "run", "checkpoint", "percent", "measurement")

    def __init__(
        self,
        task: str,
        run: int,
        checkpoint: str = "",
        percent: float = 100,
        measurement: float = 0.0,
    ) -> None:
        self.task = task
        self.run = run
        self.checkpoint = checkpoint
        self.percent = percent
        self.measurement = measurement


class PollPosition(Record):
    """Position in the sequence of polls that one incarnation of an agent makes.

    Parameters
    ----------
    agent_incarnation
        Identifies the incarnation of the agent, which counts its polls from 1; 0 for none.
    number
        Number of polls that had begun.
    """

    __slots__ = ("agent_incarnation", "number")

    def __init__(self, agent_incarnation: int = 0, number: int = 0) -> None:
        self.agent_incarnation = agent_incarnation
        self.number = number

    def is_after(self, earlier: PollPosition) -> bool:
        """Return whether there is a poll at this position that began after `earlier`.

        An agent begins its polls after its former incarnation has ended.
        """
        if self.agent_incarnation != earlier.agent_incarnation:
            return self.number > 0
        return self.number > earlier.number


class EndedRun(Record):
    """The end of a run.

    Parameters
    ----------
    number
        Number of the end within the incarnation of the worker.
    task, run
        Key of the task and number of the run.
    how
        How the run ended; a value of `RunEnd`.
    checkpoint
        Last saved progress; empty for none.
    """

    __slots__ = ("number", "task", "run", "how", "checkpoint")

    def __init__(self, number: int, task: str, run: int, how: str, checkpoint: str = "") -> None:
        self.number = number
        self.task = task
        self.run = run
        self.how = how
        self.checkpoint = checkpoint


def check_task_name(value: Any) -> str:
    """Return the name of a task in its written form.

    Raises
    ------
    ValueError
        It is not such a name.
    """
    if not TASK_NAME.fullmatch(check_text(value)):
        raise ValueError(f"{shorten(value)} is not the name of a task")
    return str(value)


def check_active_run(run: ActiveRun) -> ActiveRun:
    """Return a run whose fields all hold what they may.

    Raises
    ------
    ValueError
        A field is of another type or out of range.
    """
    check_task_name(run.task)
    check_integer(run.run)
    check_text(run.checkpoint)
    check_number(run.percent)
    check_number(run.measurement)
    return run


def check_ended_run(end: EndedRun) -> EndedRun:
    """Return an end whose fields all hold what they may.

    Raises
    ------
    ValueError
        A field is of another type or out of range.
    """
    check_integer(end.number)
    check_task_name(end.task)
    check_integer(end.run)
    RunEnd(check_text(end.how))
    check_text(end.checkpoint)
    return end


class CrashedRun(Record):
    """A run that was on a worker when the worker crashed.

    Parameters
    ----------
    task, run
        Key of the task and number of the run.
    ran_seconds
        Time from the start of the run to the crash, in seconds.
    confirmed
        Whether the run had certainly begun: the worker had accepted its start or listed it.
    """

    __slots__ = ("task", "run", "ran_seconds", "confirmed")

    def __init__(self, task: str, run: int, ran_seconds: float, confirmed: bool = True) -> None:
        self.task = task
        self.run = run
        self.ran_seconds = ran_seconds
        self.confirmed = confirmed


class WorkerCrash(Record):
    """Crash of a worker, as the agent beside it has seen it.

    Parameters
    ----------
    born_ms
        Start time of the crashed incarnation in Unix milliseconds.
    runs
        Runs that were on the worker.
    """

    __slots__ = ("born_ms", "runs")

    def __init__(self, born_ms: int, runs: list[CrashedRun]) -> None:
        self.born_ms = born_ms
        self.runs = runs


class WorkerIdentity(Record):
    """Announcement of one incarnation of a worker.

    Parameters
    ----------
    worker_id
        Id of the worker; a restarted worker may announce the same id.
    born_ms
        Start time of the worker in Unix milliseconds; identifies its incarnation.
    service
        Service that the worker belongs to.
    address
        ``ip:port`` at which the worker is called.
    availability_zone
        Availability zone of the worker.
    capacity
        Total resources of the worker.
    labels
        Kind and rack of the worker.
    draining
        Whether the worker has announced that it will leave.
    remaining_seconds
        Minimum time until a draining worker leaves.
    slow_start_seconds
        How much longer the worker is slow after its start.
    """

    __slots__ = (
        "worker_id",
        "born_ms",
        "service",
        "address",
        "availability_zone",
        "capacity",
        "labels",
        "draining",
        "remaining_seconds",
        "slow_start_seconds",
    )

    def __init__(
        self,
        worker_id: str = "",
        born_ms: int = 0,
        service: str = "",
        address: str = "",
        availability_zone: str = "",
        capacity: Resources | None = None,
        labels: list[str] | None = None,
        draining: bool = False,
        remaining_seconds: float = 0.0,
        slow_start_seconds: float = 0.0,
    ) -> None:
        self.worker_id = worker_id
        self.born_ms = born_ms
        self.service = service
        self.address = address
        self.availability_zone = availability_zone
        self.capacity = capacity or Resources()
        self.labels = labels or []
        self.draining = draining
        self.remaining_seconds = remaining_seconds
        self.slow_start_seconds = slow_start_seconds


class PollResult(Record):
    """Result of one poll of a worker.

    Parameters
    ----------
    born_ms
        Start time of the worker in Unix milliseconds; identifies the incarnation that answered.
    clock_ms
        Time of the worker's own clock in milliseconds when it answered.
    running, ended
        Runs in progress, and ends of runs after the last acknowledged end.
    has_more_ends
        Whether `ended` may be incomplete: the worker lists the other ends once these are
        acknowledged.
    """

    __slots__ = ("born_ms", "clock_ms", "running", "ended", "has_more_ends")

    def __init__(
        self,
        born_ms: int,
        clock_ms: float,
        running: list[ActiveRun],
        ended: list[EndedRun],
        has_more_ends: bool = False,
    ) -> None:
        self.born_ms = born_ms
        self.clock_ms = clock_ms
        self.running = running
        self.ended = ended
        self.has_more_ends = has_more_ends


class StartCommand(Record):
    """Command to start one run.

    Parameters
    ----------
    task, run
        Key of the task and number of the run.
    payload
        Text that is passed to the task at its start.
    checkpoint
        Saved progress to resume from; empty for none.
    target_ms
        Latency target of a continuous task in milliseconds; 0 for none.
    uses_leftover
        Whether the run uses leftover processor time, so that its pace may be lowered.
    ticket
        Ticket of the placement service; empty if none is needed.
    """

    __slots__ = ("task", "run", "payload", "checkpoint", "target_ms", "uses_leftover", "ticket")

    def __init__(
        self,
        task: str = "",
        run: int = 0,
        payload: str = "",
        checkpoint: str = "",
        target_ms: float = 0.0,
        uses_leftover: bool = False,
        ticket: str = "",
    ) -> None:
        self.task = task
        self.run = run
        self.payload = payload
        self.checkpoint = checkpoint
        self.target_ms = target_ms
        self.uses_leftover = uses_leftover
        self.ticket = ticket


class StartOutcome(StrEnum):
    """Outcome of a command to start a run."""

    STARTED = "started"
    NO_CAPACITY = "no_room"  # The worker lacks free capacity for the run.
    NO_TICKET = "no_ticket"  # The ticket of the placement service is missing or has expired.
    REFUSED = "refused"  # The worker will not start this run.
    UNKNOWN = "unknown"  # The run may have started.


class AgentReport(Record):
    """Report of an agent to the owner.

    Parameters
    ----------
    identity
        Last announcement of the worker; None before the first.
    position
        Position of the poll that `running` and `ended` come from; number 0 if there was none.
    running, ended
        Runs in progress, and ends of runs after the last acknowledged end.
    lapsed
        Whether every run on the worker has certainly ended, because its lease expired.
    silent
        Whether the worker is unresponsive at present.
    settled
        Whether no command of a former owner could take effect any more when the poll began.
    pace_percent
        Lowest pace of a batch task at present, in percent of full speed.
    tail_share
        Largest tail latency of a continuous task, as a share of its latency target.
    crashes
        Crashes of the worker whose consequences are not stored yet, the oldest first.
    has_more_ends
        Whether `ended` may be incomplete, as in `PollResult`. A run that is not listed may then
        have ended in any way.
    alive_seconds
        Time for which runs can be alive without another grant if the worker is never reached again.
    untold_tasks
        Running tasks whose limits the agent does not know, since it was restarted.
    unsettled_starts
        Tasks and numbers of the runs whose starts keep the report from being settled: no other
        command of a former owner could take effect when the poll began. Empty if they are not
        known or too many.
    """

    __slots__ = (
        "identity",
        "position",
        "running",
        "ended",
        "lapsed",
        "silent",
        "settled",
        "pace_percent",
        "tail_share",
        "crashes",
        "has_more_ends",
        "alive_seconds",
        "untold_tasks",
        "unsettled_starts",
    )

    def __init__(
        self,
        identity: WorkerIdentity | None,
        position: PollPosition | None = None,
        running: list[ActiveRun] | None = None,
        ended: list[EndedRun] | None = None,
        lapsed: bool = False,
        silent: bool = False,
        settled: bool = True,
        pace_percent: int = 100,
        tail_share: float = 0.0,
        crashes: list[WorkerCrash] | None = None,
        has_more_ends: bool = False,
        alive_seconds: float = 0.0,
        untold_tasks: list[str] | None = None,
        unsettled_starts: list[tuple[str, int]] | None = None,
    ) -> None:
        self.identity = identity
        self.position = position or PollPosition()
        self.running = running or []
        self.ended = ended or []
        self.lapsed = lapsed
        self.silent = silent
        self.settled = settled
        self.pace_percent = pace_percent
        self.tail_share = tail_share
        self.crashes = crashes or []
        self.has_more_ends = has_more_ends
        self.alive_seconds = alive_seconds
        self.untold_tasks = untold_tasks or []
        self.unsettled_starts = unsettled_starts or []
