"""What a worker says of itself and of what runs on it, and the orders that it is given."""

from __future__ import annotations

from enum import StrEnum

from acaciastand.record import Record
from acaciastand.resources import Resources


class RunEnd(StrEnum):
    """How a run ended at its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # the lease of the worker's runs expired
    BROKEN = "broken"  # another member of the gang ended
    ALONE = "alone"  # the other members of the gang did not come in time


class TaskName(Record):
    """Name of a task: its job, occurrence, step and index within the step."""

    __slots__ = ("job_id", "occurrence", "step", "index")

    def __init__(self, job_id: str, occurrence: int, step: int, index: int) -> None:
        self.job_id = job_id
        self.occurrence = occurrence
        self.step = step
        self.index = index

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> TaskName | None:
        """Return the name in `text`, or None if it is not one."""
        parts = text.split(".")
        if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
            return None
        return cls(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


class ActiveRun(Record):
    """A run in progress.

    Parameters
    ----------
    task, run
        Name of the task and number of its attempt.
    checkpoint
        Last saved progress; empty for none.
    percent
        Share at which it works, 0 to 100.
    measurement
        Tail latency in milliseconds of a continuous task, else the cores in use, over the last
        half second; rough.
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


class EndedRun(Record):
    """The end of a run, number `number` in this life of the worker."""

    __slots__ = ("number", "task", "run", "how", "checkpoint")

    def __init__(self, number: int, task: str, run: int, how: str, checkpoint: str = "") -> None:
        self.number = number
        self.task = task
        self.run = run
        self.how = how
        self.checkpoint = checkpoint


class WorkerIdentity(Record):
    """A worker in one of its lives, as it announces itself.

    Parameters
    ----------
    worker_id
        Id of the worker; it may return after a restart.
    born_ms
        Unix milliseconds of its start; another value is another life.
    service
        Service that it belongs to.
    address
        Address of its calls.
    capacity
        Its whole room.
    labels
        Its kind and its rack.
    draining
        Whether it has announced that it leaves.
    remaining_seconds
        Least time left while draining.
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


class PollResult(Record):
    """What one look at a worker showed.

    Parameters
    ----------
    born_ms
        Life of the worker that answered.
    clock_ms
        The worker's own clock when it answered.
    running, ended
        What runs and what has ended since the last acknowledged end.
    """

    __slots__ = ("born_ms", "clock_ms", "running", "ended")

    def __init__(
        self, born_ms: int, clock_ms: float, running: list[ActiveRun], ended: list[EndedRun]
    ) -> None:
        self.born_ms = born_ms
        self.clock_ms = clock_ms
        self.running = running
        self.ended = ended


class StartCommand(Record):
    """Order to start one run.

    Parameters
    ----------
    task, run
        Name of the task and number of the attempt.
    payload
        Text the task is started with.
    checkpoint
        Saved progress to resume from; empty for none.
    target_ms
        Limit on the tail latency of a continuous task; 0 for none.
    uses_leftover
        Whether it runs on leftover processor time and may be slowed down.
    ticket
        Permission of the placement service; empty where none is needed.
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
    """What became of an order to start."""

    STARTED = "started"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"  # the ticket of the placement service is missing or has expired
    REFUSED = "refused"  # the worker will not start this run
    UNKNOWN = "unknown"  # it may have started


class AgentReport(Record):
    """What an agent tells the owner.

    Parameters
    ----------
    identity
        The worker's last announcement; None if it has not been heard of.
    look
        Number of the look that `running` and `ended` come from; 0 if there was none.
    lapsed
        Whether every run on the worker has certainly ended, since its lease was not extended.
    silent
        Whether the worker does not answer at present.
    pace_percent
        Share at which tasks on leftover processor time may work at present.
    tail_share
        Largest tail latency of a continuous task, as a share of its limit.
    settled
        Whether the look began after all orders of former owners had taken effect or never will.
    """

    __slots__ = (
        "identity",
        "look",
        "running",
        "ended",
        "lapsed",
        "silent",
        "settled",
        "pace_percent",
        "tail_share",
    )

    def __init__(
        self,
        identity: WorkerIdentity | None,
        look: int = 0,
        running: list[ActiveRun] | None = None,
        ended: list[EndedRun] | None = None,
        lapsed: bool = False,
        silent: bool = False,
        settled: bool = True,
        pace_percent: int = 100,
        tail_share: float = 0.0,
    ) -> None:
        self.identity = identity
        self.look = look
        self.running = running or []
        self.ended = ended or []
        self.lapsed = lapsed
        self.silent = silent
        self.settled = settled
        self.pace_percent = pace_percent
        self.tail_share = tail_share
