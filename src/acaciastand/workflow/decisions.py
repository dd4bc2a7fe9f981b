"""What the scheduler hands out: orders for agents, and its decisions for the log."""

from __future__ import annotations

from typing import Any

from acaciastand.record import Record
from acaciastand.workflow.job import Task
from acaciastand.workflow.reports import StartCommand


class StartDecision(Record):
    """Order for an agent to start a run."""

    __slots__ = ("agent_id", "task", "command")

    def __init__(self, agent_id: str, task: Task, command: StartCommand) -> None:
        self.agent_id = agent_id
        self.task = task
        self.command = command


class StopDecision(Record):
    """Order for an agent to stop a run; `is_tracked` tells whether the owner tracks the attempt."""

    __slots__ = ("agent_id", "task_key", "run", "is_tracked")

    def __init__(self, agent_id: str, task_key: str, run: int, is_tracked: bool = True) -> None:
        self.agent_id = agent_id
        self.task_key = task_key
        self.run = run
        self.is_tracked = is_tracked


class DecisionRecord(Record):
    """A decision with the inputs that led to it, for the log."""

    __slots__ = ("what", "subject", "inputs")

    def __init__(self, what: str, subject: str, inputs: dict[str, Any]) -> None:
        self.what = what
        self.subject = subject
        self.inputs = inputs
