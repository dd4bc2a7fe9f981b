"""Messages between the owner of the jobs and the agents that run their tasks."""

from __future__ import annotations

from typing import Any

from acaciastand.wire.values import Message


class OwnerHello(Message):
    """First message of an owner to an agent.

    Parameters
    ----------
    entry_id
        Entry that is the owner.
    epoch
        Epoch of the owner; an agent follows the owner with the highest one.
    """

    __slots__ = ("entry_id", "epoch")
    type_number = 19

    def __init__(self, entry_id: str = "", epoch: int = 0) -> None:
        self.entry_id = entry_id
        self.epoch = epoch


class OwnerHelloReply(Message):
    """Reply to `OwnerHello`.

    Parameters
    ----------
    agent_id
        Agent that replies.
    accepted
        Whether the agent follows the owner.
    epoch
        Highest epoch of an owner that the agent has accepted.
    """

    __slots__ = ("agent_id", "accepted", "epoch")
    type_number = 20

    def __init__(self, agent_id: str = "", accepted: bool = False, epoch: int = 0) -> None:
        self.agent_id = agent_id
        self.accepted = accepted
        self.epoch = epoch


class RunReport(Message):
    """Heartbeat of an agent with the state of its worker and of the runs on it.

    Parameters
    ----------
    sent_at
        Time on the agent's clock in seconds; the grant that answers the report counts from it.
    identity
        Fields of `acaciastand.workflow.reports.WorkerIdentity` in order, except the last; empty if
        it is unknown.
    look
        Number of the poll that `running` and `ended` come from; 0 if there was none.
    running, ended
        Fields of `acaciastand.workflow.reports.Running` and `Ended` in order, a row for each run.
    lapsed
        Whether every run on the worker has certainly ended, since its lease has expired.
    silent
        Whether the worker is unresponsive.
    untold
        Running tasks whose limits the agent does not know, since it was restarted.
    settled
        Whether the poll began after all starts of former owners had settled.
    pace_percent
        Lowest pace of a task on leftover processor time, in percent of full speed.
    tail_share
        Largest tail latency of a continuous task, as a share of its latency target.
    crashes
        Crashes of the worker whose consequences are not stored yet, the oldest first: rows of the
        start time of the incarnation in Unix milliseconds, and a list of the runs that were on it,
        with the fields of `acaciastand.workflow.reports.CrashedRun` in order, except the last.
    agent_incarnation
        Identifies the incarnation of the agent, which counts the polls of `look`.
    has_more_ends
        Whether `ended` may be incomplete.
    alive_seconds
        Time after `sent_at` for which runs can be alive without another grant.
    slow_start_seconds
        Last field of `WorkerIdentity`. It is not in `identity`, since owners of former versions
        accept no further field there.
    unconfirmed
        Task and number of each run in `crashes` that may not have begun, in rows. Owners of former
        versions take it for begun.
    unsettled
        Task and number of each run whose start keeps the report from being settled, in rows; empty
        if they are not known or too many. Owners of former versions wait for a settled report.
    """

    __slots__ = (
        "sent_at",
        "identity",
        "look",
        "running",
        "ended",
        "lapsed",
        "silent",
        "untold",
        "settled",
        "pace_percent",
        "tail_share",
        "crashes",
        "agent_incarnation",
        "has_more_ends",
        "alive_seconds",
        "slow_start_seconds",
        "unconfirmed",
        "unsettled",
    )
    type_number = 21

    def __init__(
        self,
        sent_at: float = 0.0,
        identity: list[Any] | None = None,
        look: int = 0,
        running: list[list[Any]] | None = None,
        ended: list[list[Any]] | None = None,
        lapsed: bool = False,
        silent: bool = False,
        untold: list[str] | None = None,
        settled: bool = False,
        pace_percent: int = 100,
        tail_share: float = 0.0,
        crashes: list[list[Any]] | None = None,
        agent_incarnation: int = 0,
        has_more_ends: bool = False,
        alive_seconds: float = 0.0,
        slow_start_seconds: float = 0.0,
        unconfirmed: list[list[Any]] | None = None,
        unsettled: list[list[Any]] | None = None,
    ) -> None:
        self.sent_at = sent_at
        self.identity = identity or []
        self.look = look
        self.running = running or []
        self.ended = ended or []
        self.lapsed = lapsed
        self.silent = silent
        self.untold = untold or []
        self.settled = settled
        self.pace_percent = pace_percent
        self.tail_share = tail_share
        self.crashes = crashes or []
        self.agent_incarnation = agent_incarnation
        self.has_more_ends = has_more_ends
        self.alive_seconds = alive_seconds
        self.slow_start_seconds = slow_start_seconds
        self.unconfirmed = unconfirmed or []
        self.unsettled = unsettled or []


class RunGrant(Message):
    """Reply to `RunReport`.

    Parameters
    ----------
    seconds
        Time after `sent_at` of the report for which runs may go on; 0 for no grant.
    born_ms
        Start time of the worker in Unix milliseconds; identifies its incarnation.
    acknowledged
        Number of the last end of that incarnation whose effect is stored.
    limits
        Limits of the tasks of `RunReport.untold` that the owner knows: rows of task, latency target
        in milliseconds (0 for none) and whether the task uses leftover processor time.
    services
        Continuous steps with tasks on the worker, as ``job_id.occurrence.step``.
    batch_costs
        Rows of batch task, cores at full speed, and for each of `services` the thousandths of
        headroom that one core of the task takes; -1 where that is not known.
    stored_crash_ms
        Start time in Unix milliseconds of the newest crashed incarnation up to which the
        consequences of all crashes are stored; 0 for none.
    """

    __slots__ = (
        "seconds",
        "born_ms",
        "acknowledged",
        "limits",
        "services",
        "batch_costs",
        "stored_crash_ms",
    )
    type_number = 22

    def __init__(
        self,
        seconds: float = 0.0,
        born_ms: int = 0,
        acknowledged: int = 0,
        limits: list[list[Any]] | None = None,
        services: list[str] | None = None,
        batch_costs: list[list[Any]] | None = None,
        stored_crash_ms: int = 0,
    ) -> None:
        self.seconds = seconds
        self.born_ms = born_ms
        self.acknowledged = acknowledged
        self.limits = limits or []
        self.services = services or []
        self.batch_costs = batch_costs or []
        self.stored_crash_ms = stored_crash_ms


class EndsStored(Message):
    """Notification that ends of runs are stored, sent as soon as they are.

    Parameters
    ----------
    born_ms
        Start time of the worker in Unix milliseconds; identifies its incarnation.
    acknowledged
        Number of the last end of that incarnation whose effect is stored.
    """

    __slots__ = ("born_ms", "acknowledged")
    type_number = 23

    def __init__(self, born_ms: int = 0, acknowledged: int = 0) -> None:
        self.born_ms = born_ms
        self.acknowledged = acknowledged


class StartRun(Message):
    """Command to start a run.

    Parameters
    ----------
    epoch
        Epoch of the owner.
    not_after
        Time on the agent's clock in seconds after which the command is dropped.
    born_ms
        Start time of the worker's incarnation that the run is meant for, in Unix milliseconds.
    order
        Fields of `acaciastand.workflow.reports.StartCommand` in order.
    """

    __slots__ = ("epoch", "not_after", "born_ms", "order")
    type_number = 24

    def __init__(
        self,
        epoch: int = 0,
        not_after: float = 0.0,
        born_ms: int = 0,
        order: list[Any] | None = None,
    ) -> None:
        self.epoch = epoch
        self.not_after = not_after
        self.born_ms = born_ms
        self.order = order or []


class StopRun(Message):
    """Command to stop a run.

    Parameters
    ----------
    epoch
        Epoch of the owner.
    not_after
        Time on the agent's clock in seconds after which the command is dropped.
    task, run
        Name of the task and number of the run.
    """

    __slots__ = ("epoch", "not_after", "task", "run")
    type_number = 25

    def __init__(
        self, epoch: int = 0, not_after: float = 0.0, task: str = "", run: int = 0
    ) -> None:
        self.epoch = epoch
        self.not_after = not_after
        self.task = task
        self.run = run


class RunReply(Message):
    """Reply to `StartRun` or `StopRun`.

    Parameters
    ----------
    outcome
        Value of `acaciastand.workflow.reports.StartOutcome`; ``started`` for an accepted stop.
    look
        Number of polls of the worker that had begun by then.
    agent_incarnation
        Identifies the incarnation of the agent, which counts the polls.
    """

    __slots__ = ("outcome", "look", "agent_incarnation")
    type_number = 26

    def __init__(self, outcome: str = "", look: int = 0, agent_incarnation: int = 0) -> None:
        self.outcome = outcome
        self.look = look
        self.agent_incarnation = agent_incarnation
