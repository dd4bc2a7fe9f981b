"""Decisions of the scheduler: commands for agents, and records for the log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from acaciastand.record import Record
from acaciastand.workflow.job import Task
from acaciastand.workflow.reports import StartCommand

RecordDecision = Callable[..., None]  # As `SchedulerState.record_decision`.


class StartDecision(Record):
    """Decision that an agent starts a run.

    Parameters
    ----------
    agent_id
        Agent beside the worker of the run.
    task
        Task that starts, or the copy of it that starts beside its current run.
    command
        Command for the agent.
    """

    __slots__ = ("agent_id", "task", "command")

    def __init__(self, agent_id: str, task: Task, command: StartCommand) -> None:
        self.agent_id = agent_id
        self.task = task
        self.command = command


class StopDecision(Record):
    """Decision that an agent stops a run.

    Parameters
    ----------
    agent_id
        Agent beside the worker of the run.
    task_key, run
        Key of the task and number of the run.
    is_tracked
        Whether the scheduler tracks the run and has to process the result of the stop.
    """

    __slots__ = ("agent_id", "task_key", "run", "is_tracked")

    def __init__(self, agent_id: str, task_key: str, run: int, is_tracked: bool = True) -> None:
        self.agent_id = agent_id
        self.task_key = task_key
        self.run = run
        self.is_tracked = is_tracked


class DecisionRecord(Record):
    """A decision with the inputs that led to it, for the log.

    Parameters
    ----------
    what
        Kind of the decision; the message of the log line.
    subject
        Key of the task, id of the job, id of the agent or name of the step that it is about.
    inputs
        Further keys of the log line with their values.
    """

    __slots__ = ("what", "subject", "inputs")

    def __init__(self, what: str, subject: str, inputs: dict[str, Any]) -> None:
        self.what = what
        self.subject = subject
        self.inputs = inputs
