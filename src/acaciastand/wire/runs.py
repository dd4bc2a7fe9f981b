"""Messages between the owner of the jobs and the agents that start their tasks."""

from __future__ import annotations

from typing import Any

from acaciastand.wire.values import Message


class OwnerHello(Message):
    """First message of an owner to an agent; a higher epoch supersedes all lower ones."""

    __slots__ = ("entry_id", "epoch")
    type_number = 19

    def __init__(self, entry_id: str = "", epoch: int = 0) -> None:
        self.entry_id = entry_id
        self.epoch = epoch


class OwnerHelloReply(Message):
    """Whether the agent follows the owner, and the highest epoch that it has seen."""

    __slots__ = ("agent_id", "accepted", "epoch")
    type_number = 20

    def __init__(self, agent_id: str = "", accepted: bool = False, epoch: int = 0) -> None:
        self.agent_id = agent_id
        self.accepted = accepted
        self.epoch = epoch


class RunReport(Message):
    """Heartbeat of an agent with what its worker runs.

    Parameters
    ----------
    sent_at
        The agent's clock in seconds; grants count from it.
    identity
        Fields of the worker's identity; empty if it is not known.
    look, running, ended, lapsed, silent, settled, pace_percent, tail_share
        As in `acaciastand.workflow.reports.AgentReport`; rows hold the fields in order.
    untold
        Runs whose limits on latency the agent does not know, since it was restarted.
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


class RunGrant(Message):
    """Answer to a report.

    Parameters
    ----------
    seconds
        How long after `sent_at` of the report the runs may go on; 0 for no grant.
    born_ms, acknowledged
        Life of the worker and the number of its last end that is stored.
    limits
        Rows of task, latency limit in milliseconds and whether it uses leftover processor time.
    gentle
        Batch tasks that are known to disturb no service on the worker.
    """

    __slots__ = ("seconds", "born_ms", "acknowledged", "limits", "gentle")
    type_number = 22

    def __init__(
        self,
        seconds: float = 0.0,
        born_ms: int = 0,
        acknowledged: int = 0,
        limits: list[list[Any]] | None = None,
        gentle: list[str] | None = None,
    ) -> None:
        self.seconds = seconds
        self.born_ms = born_ms
        self.acknowledged = acknowledged
        self.limits = limits or []
        self.gentle = gentle or []


class EndsStored(Message):
    """Ends up to this number are stored; sent as soon as they are."""

    __slots__ = ("born_ms", "acknowledged")
    type_number = 23

    def __init__(self, born_ms: int = 0, acknowledged: int = 0) -> None:
        self.born_ms = born_ms
        self.acknowledged = acknowledged


class StartRun(Message):
    """Order to start a run; `not_after` is on the agent's clock and `order` in field order."""

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
    """Order to stop a run."""

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
    """What became of an order, and the number of looks that had begun by then."""

    __slots__ = ("outcome", "look")
    type_number = 26

    def __init__(self, outcome: str = "", look: int = 0) -> None:
        self.outcome = outcome
        self.look = look
