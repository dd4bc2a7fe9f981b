"""Effects of the agents' replies to commands to start and to stop runs."""

from __future__ import annotations

from acaciastand.workflow import crashes
from acaciastand.workflow.job import StartState, Task, TaskState
from acaciastand.workflow.reports import PollPosition, StartOutcome
from acaciastand.workflow.scheduler_state import SchedulerState
from acaciastand.workflow.task_copy import TaskCopy

# A worker that rejected a start for lack of capacity gets no other start for this long.
NO_CAPACITY_PAUSE_SECONDS = 0.5
START_RETRY_SECONDS = 0.15  # Time from a refused start of a task to its next start.
COPY_RETRY_SECONDS = 1.0  # As above for a copy, which is less urgent.


class CommandProcessor:
    """Brings the state of the scheduler up to date with the replies to its commands.

    Parameters
    ----------
    state
        State of the scheduler.
    """

    def __init__(self, state: SchedulerState) -> None:
        self.state = state

    def process_start_result(
        self, task: Task, run: int, outcome: StartOutcome, position: PollPosition, now: float
    ) -> None:
        """Update a task from the outcome of a command to start a run.

        Parameters
        ----------
        task, run
            Task and number of the run.
        outcome
            Outcome of the command.
        position
            Position of the last poll that had begun by the time of the outcome.
        now
            Seconds of the owner's clock.
        """
        task = task.find_run(run) or task  # A copy may have become the current run.
        if outcome == StartOutcome.STARTED:
            self.state.record_begin(task)
        if task.run != run or task.state not in (TaskState.STARTING, TaskState.STOPPING):
            return
        worker = self.state.workers[task.agent_id]
        if outcome == StartOutcome.UNKNOWN:
            self.state.record_decision("start unknown", task.key, run=run, agent=task.agent_id)
            task.start_state = StartState.UNKNOWN
            self.state.request_stop(task, now)
        elif outcome == StartOutcome.STARTED:
            task.start_state = StartState.CONFIRMED
            task.after_poll = position
            if task.state == TaskState.STARTING:
                task.state = TaskState.RUNNING
                task.started_at = now
                task.is_run_timed = True
                if worker.observed_task == task.key:
                    worker.observe(task, now + crashes.observation_seconds(task.crashes))
        else:
            self.state.record_decision(
                "start refused", task.key, run=run, agent=task.agent_id, why=outcome.value
            )
            if outcome == StartOutcome.NO_CAPACITY:
                worker.full_until = now + NO_CAPACITY_PAUSE_SECONDS
            elif outcome == StartOutcome.NO_TICKET:
                self.state.advice.drop_ticket(task, worker)
            is_copy = isinstance(task, TaskCopy)
            task.not_before = now + (COPY_RETRY_SECONDS if is_copy else START_RETRY_SECONDS)
            self.state.record_refused_start(task, run, outcome.value)
            self.state.release(task)
            self.state.restart(task)

    def process_stop_result(
        self, task_key: str, run: int, position: PollPosition, sent_at: float, now: float
    ) -> None:
        """Record that a worker accepted a command to stop a run that was sent at `sent_at`.

        `position` is the position of the last poll that had begun by the agent's answer.
        """
        task = self.state.find_run(task_key, run)
        if task is None or task.state != TaskState.STOPPING:
            return
        # A repeated command must not change the time and the position.
        if not task.stop_confirmed_at:
            task.stop_confirmed_at = now
            task.after_poll = position
        elif not task.stop_is_over and sent_at > task.stop_confirmed_at + self.state.stop_seconds:
            task.stop_is_over = True
            task.after_poll = position
