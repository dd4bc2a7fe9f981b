"""Aggregate of one shard: commands create events, which change the state and cause messages.

Events change the state at once, so that later commands see them. The messages that they cause are
released only after the events and all earlier ones are committed. An owner that is fenced drops
the aggregate with everything that was not committed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any

from acaciastand.record import Record
from acaciastand.resources import Resources
from acaciastand.shard.description import describe_job
from acaciastand.shard.errors import commit_queue_full_error, job_not_found, shard_full_error
from acaciastand.shard.events import (
    UNREPORTED_ENDS,
    AttemptEnd,
    AttemptEnded,
    AttemptStarted,
    Event,
    JobCancelled,
    JobSubmitted,
    OwnerChanged,
    OwnerReleased,
    OwnershipAffirmed,
    TimingsChanged,
)
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import (
    FIRST_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    MAX_CHECKPOINT_BYTES,
    MAX_EVENTS_PER_COMMIT,
    MAX_JOBS,
    MAX_PENDING_EVENTS,
    MAX_TASKS,
    MAX_UNPROCESSED_ENDS,
    REFUSAL_BACKOFF_SECONDS,
    Timings,
)
from acaciastand.shard.outbox import Grant, OutgoingMessage, StopRequest
from acaciastand.shard.runtime_state import (
    AgentRuntime,
    AttemptEndReport,
    AttemptRuntime,
    GrantState,
)
from acaciastand.shard.state import ShardState, Task, TaskState, job_id_of

# Ends that an agent may report.
REPORTED_ENDS = frozenset(
    {
        AttemptEnd.COMPLETED,
        AttemptEnd.FAILED,
        AttemptEnd.START_FAILED,
        AttemptEnd.EVICTED,
        AttemptEnd.STOPPED,
        AttemptEnd.LOST,
    }
)
FAILED_ENDS = frozenset({AttemptEnd.FAILED, AttemptEnd.START_FAILED})


class PendingEvent(Record):
    """An event that is not committed yet, with the messages to send after its commit."""

    __slots__ = ("event", "messages")

    def __init__(self, event: Event, messages: list[OutgoingMessage]) -> None:
        self.event = event
        self.messages = messages


class SubmissionResult(Record):
    """Result of a submission that a shard accepted.

    Parameters
    ----------
    ticket
        The submission is durable once this ticket is committed.
    created
        False when an earlier submission with the same idempotency key created the job.
    """

    __slots__ = ("job_id", "ticket", "created")

    def __init__(self, job_id: str, ticket: int, created: bool) -> None:
        self.job_id = job_id
        self.ticket = ticket
        self.created = created


class Shard:
    """A shard as its owner runs it.

    Parameters
    ----------
    state
        State after all events of the journal. Later events change it before they are committed.
    timings
        Timings of this owner's grants.

    Attributes
    ----------
    committed_state
        State after the committed events only; snapshots and replies to callers come from it.
    latest_timings
        Timings of the last change, which may not be committed yet.
    sequence
        Number of events created so far. Commands return it as the ticket of their last event.
    committed_sequence
        Number of events committed so far. Tickets up to this number are durable.
    pending
        Events that are not committed yet, in order.
    ready_messages
        Messages that may be sent now.
    attempts
        Runtime state of each running attempt, by task id.
    agents
        Runtime state of the agents, by agent id.
    not_before
        Earliest time of the next attempt, by task id, for tasks that back off.
    last_failed_agents
        Agent of the last failed attempt, by task id.
    refusal_counts
        Number of refused grants since the last accepted one, by task id.
    service_first_seen_at
        Time at which a worker of the service was first seen, by service.
    uncommitted_jobs
        Ids of jobs whose submission is not committed yet.
    releasing
        Whether the release of the shard has begun.
    unprocessed_ends
        Ends of attempts that the scheduler has not processed yet.
    """

    def __init__(self, state: ShardState, timings: Timings) -> None:
        self.state = state
        self.committed_state = ShardState.from_snapshot(state.number, state.snapshot())
        self.timings = timings
        self.latest_timings = timings
        self.sequence = 0
        self.committed_sequence = 0
        self.pending: deque[PendingEvent] = deque()
        self.ready_messages: list[OutgoingMessage] = []
        self.attempts: dict[str, AttemptRuntime] = {}
        self.agents: dict[str, AgentRuntime] = {}
        self.not_before: dict[str, float] = {}
        self.last_failed_agents: dict[str, str] = {}
        self.refusal_counts: dict[str, int] = {}
        self.service_first_seen_at: dict[str, float] = {}
        self.uncommitted_jobs: set[str] = set()
        self.releasing = False
        self.unprocessed_ends: deque[AttemptEnded] = deque(maxlen=MAX_UNPROCESSED_ENDS)

    # Ownership

    def takeover_event(self, owner: str) -> OwnerChanged:
        """Return the event that the new owner `owner` commits first."""
        return OwnerChanged(self.state.epoch + 1, owner, self.timings)

    def apply_takeover(self, event: OwnerChanged, now: float) -> None:
        """Become the owner after the commit of `event`; `now` has to be read after the commit."""
        release = self.state.release
        former_timings = self.state.timings
        self.state.apply(event)
        self.committed_state.apply(event)
        takeover_expiry = former_timings.largest(self.timings).takeover_expiry_seconds()
        release_expiry = former_timings.largest(self.timings).expiry_seconds()
        for task_id in self.state.running:
            is_released = release is not None and task_id not in release.unconfirmed
            former_grants_until = now + (release_expiry if is_released else takeover_expiry)
            self.attempts[task_id] = AttemptRuntime(GrantState.UNKNOWN, False, former_grants_until)

    def release(self) -> int:
        """Stop renewals and starts, release the shard, and return the ticket."""
        self.releasing = True
        unconfirmed = [
            task_id for task_id, runtime in self.attempts.items() if not runtime.epoch_confirmed
        ]
        return self._add_event(OwnerReleased(self.state.epoch, unconfirmed))

    def change_timings(self, timings: Timings) -> None:
        """Use other timings for grants once they are committed, so that later owners know them."""
        if timings != self.latest_timings and not self.releasing:
            self.latest_timings = timings
            self._add_event(TimingsChanged(timings))

    # Commits

    def next_batch(self) -> list[Event]:
        """Return the next events to commit, at most `MAX_EVENTS_PER_COMMIT`."""
        count = min(len(self.pending), MAX_EVENTS_PER_COMMIT)
        return [self.pending[index].event for index in range(count)]

    def mark_committed(self, count: int) -> None:
        """Apply the first `count` pending events as committed and release their messages."""
        for _ in range(count):
            pending_event = self.pending.popleft()
            self.committed_sequence += 1
            self.committed_state.apply(pending_event.event)
            self.ready_messages.extend(pending_event.messages)
            if isinstance(pending_event.event, JobSubmitted):
                self.uncommitted_jobs.discard(pending_event.event.job_id)
            elif isinstance(pending_event.event, TimingsChanged):
                self.timings = pending_event.event.timings

    def pop_ready_messages(self) -> list[OutgoingMessage]:
        """Remove and return the messages that may be sent now."""
        messages, self.ready_messages = self.ready_messages, []
        return messages

    def withdraw_uncommitted_jobs(self) -> list[str]:
        """Undo submissions that were certainly not committed, and return their job ids.

        No other event can depend on them: before its submission is committed, the tasks of a job
        do not start and nobody else knows its id.
        """
        withdrawn = list(self.uncommitted_jobs)
        for job_id in withdrawn:
            self.state.withdraw_job(job_id)
        for pending_event in self.pending:
            if isinstance(pending_event.event, JobSubmitted):
                # An event without a change replaces it, so that later events keep their tickets.
                pending_event.event = OwnershipAffirmed()
        self.uncommitted_jobs.clear()
        return withdrawn

    # Jobs

    def submit(self, spec: JobSpec, key: str, job_id: str) -> SubmissionResult:
        """Accept a job under `job_id`, or find the job that was submitted with the same key.

        Parameters
        ----------
        key
            Idempotency key, with the team as prefix; empty for none.

        Raises
        ------
        ShardFull
            The shard has reached its limit of unfinished jobs or tasks.
        CommitQueueFull
            Too many changes are waiting to be committed.
        """
        existing_id = self.state.job_ids_by_key.get(key) if key else None
        if existing_id is not None:
            return SubmissionResult(existing_id, self.sequence, False)
        if (
            len(self.state.jobs) >= MAX_JOBS
            or self.state.unfinished_task_count + spec.tasks > MAX_TASKS
        ):
            raise shard_full_error(self.state.number)
        self._check_pending_limit()
        self.uncommitted_jobs.add(job_id)
        return SubmissionResult(job_id, self._add_event(JobSubmitted(job_id, key, spec)), True)

    def cancel(self, job_id: str) -> int:
        """Cancel a job, request the stop of its running attempts, and return the ticket.

        Raises
        ------
        NotFound
            No job has this id.
        CommitQueueFull
            Too many changes are waiting to be committed.
        """
        job = self.state.jobs.get(job_id)
        if job_id in self.uncommitted_jobs or (
            job is None and job_id not in self.state.finished_jobs
        ):
            raise job_not_found(job_id)
        if job is None or job.cancelled:
            return self.sequence
        self._check_pending_limit()
        running = [task for task in job.tasks if task.state == TaskState.RUNNING]
        stops: list[OutgoingMessage] = [
            StopRequest(t.agent_id, t.task_id, t.attempt) for t in running
        ]
        for task in job.tasks:
            self._clear_backoff(task.task_id)
        return self._add_event(JobCancelled(job_id), stops)

    def is_cancelled(self, task: Task) -> bool:
        """Return whether the job of a task is cancelled; buckets have none."""
        return not task.is_bucket and self.state.jobs[job_id_of(task.task_id)].cancelled

    # Stops and ends

    def stop_bucket(self, task_id: str) -> None:
        """Ask the home agent of a bucket to stop serving it."""
        task = self.state.running[task_id]
        self.send_stop(task.agent_id, task_id, task.attempt, True)

    def process_report(self, report: AttemptEndReport, now: float) -> int:
        """Record the end of an attempt, and return a ticket.

        The report may be confirmed to the agent once the ticket is committed. A report on an
        attempt that this owner does not know also needs a commit: a newer owner may have started
        the attempt, and then this owner is fenced and its commit fails.
        """
        task = self.state.find_task(report.task_id)
        is_job_finished = job_id_of(report.task_id) in self.state.finished_jobs
        if is_job_finished or (task is not None and report.attempt < task.attempt):
            return self.sequence
        if task is None or report.attempt > task.attempt or report.agent_id != task.agent_id:
            return self._affirm_ownership()
        end = AttemptEnd(report.result) if report.result in REPORTED_ENDS else AttemptEnd.STOPPED
        is_late = task.state == TaskState.WAITING and task.last_end in UNREPORTED_ENDS
        if task.state != TaskState.RUNNING and not is_late:
            return self.sequence
        if is_late and end not in (AttemptEnd.COMPLETED, AttemptEnd.EVICTED):
            return self.sequence
        checkpoint_fits = len(report.checkpoint.encode()) <= MAX_CHECKPOINT_BYTES
        self.end_attempt(task, end, report.checkpoint if checkpoint_fits else "")
        self._back_off(task, end, now)
        return self.sequence

    def end_attempt(self, task: Task, end: AttemptEnd, checkpoint: str = "") -> None:
        """Record the end of a running attempt."""
        ended = AttemptEnded(task.task_id, task.attempt, end, checkpoint)
        self._add_event(ended)
        if not task.is_bucket:
            self.unprocessed_ends.append(ended)
        self.attempts.pop(task.task_id, None)
        if task.state != TaskState.WAITING:
            self._clear_backoff(task.task_id)

    def send_stop(
        self, agent_id: str, task_id: str, attempt: int, keep_progress: bool = False
    ) -> None:
        """Ask an agent to stop an attempt."""
        stop = StopRequest(agent_id, task_id, attempt, keep_progress)
        # The stop may depend on events that are not committed yet, so it is sent after them.
        if self.pending:
            self.pending[-1].messages.append(stop)
        else:
            self.ready_messages.append(stop)

    # Grants

    def start_attempt(self, task: Task, agent_id: str, incarnation: str, size: Resources) -> None:
        """Assign the next attempt of a waiting task; its grant is sent after the commit."""
        attempt = task.attempt + 1
        spec = JobSpec() if task.is_bucket else self.state.jobs[job_id_of(task.task_id)].spec
        grant = Grant(
            agent_id,
            task.task_id,
            attempt,
            size,
            spec.run_seconds,
            task.checkpoint,
            spec.batch_class,
            spec.urgent,
        )
        self.attempts[task.task_id] = AttemptRuntime(GrantState.QUEUED, True, float("-inf"))
        epoch = self.state.epoch
        self._add_event(
            AttemptStarted(task.task_id, attempt, agent_id, incarnation, epoch), [grant]
        )

    def begin_sending_grant(self, task_id: str, attempt: int, now: float) -> bool:
        """Return whether a queued grant may still be sent; if so, it counts as sent at `now`."""
        task = self._task_with_queued_grant(task_id, attempt)
        if task is None:
            return False
        if self.is_cancelled(task) or self.releasing:
            self.end_attempt(task, AttemptEnd.REFUSED)
            return False
        runtime = self.attempts[task_id]
        runtime.grant_state = GrantState.SENT
        runtime.last_sent_at = now
        return True

    def record_unsent_grant(self, task_id: str, attempt: int, now: float) -> None:
        """End an attempt whose grant was certainly not sent, as after a closed connection."""
        task = self.state.running.get(task_id)
        if task is not None and task.attempt == attempt:
            self._end_refused(task, now)

    def record_grant_reply(self, task_id: str, attempt: int, accepted: bool, now: float) -> None:
        """Record the agent's reply to a grant.

        After a refusal the attempt has certainly not run and never will, so it ends.
        """
        task = self.state.running.get(task_id)
        if task is None or task.attempt != attempt:
            return
        if not accepted:
            self._end_refused(task, now)
            return
        runtime, agent = self.attempts[task_id], self.agents.get(task.agent_id)
        runtime.grant_state = GrantState.ACCEPTED
        if agent is not None:
            runtime.answered_connection = agent.connection
            runtime.answered_sequence = agent.sequence
        self.refusal_counts.pop(task_id, None)

    def record_lost_grant_reply(self, task_id: str, attempt: int) -> None:
        """Mark a grant whose reply was lost as unknown.

        The attempt counts as running until its end is reported or proven.
        """
        task = self.state.running.get(task_id)
        if task is not None and task.attempt == attempt:
            runtime = self.attempts[task_id]
            if runtime.grant_state is GrantState.SENT:
                runtime.grant_state = GrantState.UNKNOWN

    def _task_with_queued_grant(self, task_id: str, attempt: int) -> Task | None:
        task = self.state.running.get(task_id)
        if task is None or task.attempt != attempt:
            return None
        return task if self.attempts[task_id].grant_state is GrantState.QUEUED else None

    def _end_refused(self, task: Task, now: float) -> None:
        agent = self.agents.get(task.agent_id)
        if agent is not None:
            agent.last_refusal_sequence = agent.sequence
        count = min(self.refusal_counts.get(task.task_id, 0) + 1, 8)
        self.refusal_counts[task.task_id] = count
        self.not_before[task.task_id] = now + REFUSAL_BACKOFF_SECONDS * 2 ** (count - 1)
        self.end_attempt(task, AttemptEnd.REFUSED)

    # Timeouts

    def expire_attempts(self, now: float) -> int:
        """End all attempts whose grant has certainly expired, and return their number."""
        expiry_seconds = self.state.timings.largest(self.timings).expiry_seconds()
        expired = [
            task
            for task_id, task in self.state.running.items()
            if now >= self.attempts[task_id].expires_at(expiry_seconds)
        ]
        for task in expired:
            self.end_attempt(task, AttemptEnd.EXPIRED)
        return len(expired)

    def may_start(self, task_id: str, now: float) -> bool:
        """Return whether the backoff of a task has passed."""
        return now >= self.not_before.get(task_id, now)

    # Helpers

    def _affirm_ownership(self) -> int:
        # The commit of any event proves ownership, so repeated reports add no further events.
        return self.sequence if self.pending else self._add_event(OwnershipAffirmed())

    def _clear_backoff(self, task_id: str) -> None:
        self.not_before.pop(task_id, None)
        self.last_failed_agents.pop(task_id, None)
        self.refusal_counts.pop(task_id, None)

    def _back_off(self, task: Task, end: AttemptEnd, now: float) -> None:
        if end not in FAILED_ENDS or task.state != TaskState.WAITING:
            return
        self.last_failed_agents[task.task_id] = task.agent_id
        backoff_seconds = min(FIRST_BACKOFF_SECONDS * 2 ** (task.failures - 1), MAX_BACKOFF_SECONDS)
        self.not_before[task.task_id] = now + backoff_seconds

    def _check_pending_limit(self) -> None:
        if len(self.pending) >= MAX_PENDING_EVENTS:
            raise commit_queue_full_error(self.state.number)

    def _add_event(self, event: Event, messages: Iterable[OutgoingMessage] = ()) -> int:
        self.state.apply(event)
        self.pending.append(PendingEvent(event, list(messages)))
        self.sequence += 1
        return self.sequence

    def describe_job(self, job_id: str) -> dict[str, Any]:
        """Return the committed state of a job as callers see it.

        Raises
        ------
        NotFound
            No job has this id, or the job finished and is no longer kept.
        """
        return describe_job(self.committed_state, job_id)
