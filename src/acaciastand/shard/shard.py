"""The aggregate of one shard: commands decide events, events change state, effects follow commits.

Events change the state at once, so that later commands see them, but the effects of a command are
handed out only after its events and all earlier ones are committed. An owner that is fenced drops
the aggregate with everything that was not committed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any

from acaciastand.errors import NotFound
from acaciastand.record import Record
from acaciastand.resources import Resources
from acaciastand.shard.errors import commands_queued, shard_full
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
    AgentContact,
    AgentRuntime,
    AttemptEndReport,
    AttemptRuntime,
    GrantState,
    LeaseDeadlines,
    ListedAttempt,
)
from acaciastand.shard.state import ShardState, Task, TaskState, job_id_of

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


class Transition(Record):
    """An event that waits for its commit, with the effects that follow."""

    __slots__ = ("event", "effects")

    def __init__(self, event: Event, effects: list[OutgoingMessage]) -> None:
        self.event = event
        self.effects = effects


class Submission(Record):
    """Accepted submission; it is durable once `ticket` is committed."""

    __slots__ = ("job_id", "ticket", "created")

    def __init__(self, job_id: str, ticket: int, created: bool) -> None:
        self.job_id = job_id
        self.ticket = ticket
        self.created = created


class Shard:
    """A shard in the hands of its owner.

    Parameters
    ----------
    state
        State folded from the whole journal.
    timings
        Grant and hold times of this owner.

    Attributes
    ----------
    durable
        State after the committed events only; snapshots and answers to callers come from it.
    sequence
        Number of events decided; commands return it as the ticket of their last event.
    committed
        Number of events committed; a ticket up to it is durable.
    ends
        Ends of attempts that the scheduler has not taken in yet.
    """

    def __init__(self, state: ShardState, timings: Timings) -> None:
        self.state = state
        self.committed_state = ShardState.from_snapshot(state.number, state.snapshot())
        self.timings = timings
        self.wanted_timings = timings
        self.sequence = 0
        self.committed_sequence = 0
        self.pending: deque[Transition] = deque()
        self.ready: list[OutgoingMessage] = []
        self.attempts: dict[str, AttemptRuntime] = {}
        self.agents: dict[str, AgentRuntime] = {}
        self.not_before: dict[str, float] = {}
        self.avoid: dict[str, str] = {}
        self.refusals: dict[str, int] = {}
        self.service_seen: dict[str, float] = {}
        self.uncommitted_jobs: set[str] = set()
        self.releasing = False
        self.unprocessed_ends: deque[AttemptEnded] = deque(maxlen=MAX_UNPROCESSED_ENDS)

    # Ownership

    def takeover_event(self, owner: str) -> OwnerChanged:
        """Return the event that a new owner commits before anything else."""
        return OwnerChanged(self.state.epoch + 1, owner, self.timings)

    def apply_takeover(self, event: OwnerChanged, now: float) -> None:
        """Start as owner after `event` is committed; `now` is read after the commit."""
        released = self.state.released
        former = self.state.timings
        self.state.apply(event)
        self.committed_state.apply(event)
        full = former.largest(self.timings).takeover_seconds()
        short = former.largest(self.timings).expiry_seconds()
        for task_id in self.state.running:
            clean = released is not None and task_id not in released.unconfirmed
            until = now + (short if clean else full)
            self.attempts[task_id] = AttemptRuntime(GrantState.UNKNOWN, False, until)

    def release(self) -> int:
        """Stop renewing and starting, and hand the shard over; returns the ticket."""
        self.releasing = True
        unconfirmed = [name for name, known in self.attempts.items() if not known.confirmed]
        return self._add(OwnerReleased(self.state.epoch, unconfirmed))

    def change_timings(self, timings: Timings) -> None:
        """Grant by other times once they are committed, so that every later owner knows them."""
        if timings != self.wanted_timings and not self.releasing:
            self.wanted_timings = timings
            self._add(TimingsChanged(timings))

    # Commits

    def next_batch(self) -> list[Event]:
        """Return the next events to commit, at most `MAX_EVENTS_PER_COMMIT`."""
        count = min(len(self.pending), MAX_EVENTS_PER_COMMIT)
        return [self.pending[index].event for index in range(count)]

    def mark_committed(self, count: int) -> None:
        """Take note that the first `count` pending events are committed."""
        for _ in range(count):
            transition = self.pending.popleft()
            self.committed_sequence += 1
            self.committed_state.apply(transition.event)
            self.ready.extend(transition.effects)
            if isinstance(transition.event, JobSubmitted):
                self.uncommitted_jobs.discard(transition.event.job_id)
            elif isinstance(transition.event, TimingsChanged):
                self.timings = transition.event.timings

    def pop_ready_messages(self) -> list[OutgoingMessage]:
        """Return the effects that may be carried out now, once each."""
        effects, self.ready = self.ready, []
        return effects

    def withdraw_uncommitted_jobs(self) -> list[str]:
        """Undo submissions whose commit certainly had no effect, and return their job ids.

        No other event can depend on them: tasks of a job start only after its submission is
        committed, and nobody knows its id before.
        """
        withdrawn = list(self.uncommitted_jobs)
        for job_id in withdrawn:
            self.state.withdraw_job(job_id)
        for transition in self.pending:
            if isinstance(transition.event, JobSubmitted):
                transition.event = OwnershipAffirmed()  # keeps the tickets of later events
        self.uncommitted_jobs.clear()
        return withdrawn

    # Jobs

    def submit(self, spec: JobSpec, key: str, job_id: str) -> Submission:
        """Accept a job, or find the one that was submitted with the same key.

        Raises
        ------
        ShardFull
            A bound on jobs or tasks is reached.
        CommandsQueued
            Too many changes wait for the store.
        """
        known = self.state.job_of_key.get(key) if key else None
        if known is not None:
            return Submission(known, self.sequence, False)
        if len(self.state.jobs) >= MAX_JOBS or self.state.unfinished_tasks + spec.tasks > MAX_TASKS:
            raise shard_full(self.state.number)
        self._check_queue()
        self.uncommitted_jobs.add(job_id)
        return Submission(job_id, self._add(JobSubmitted(job_id, key, spec)), True)

    def cancel(self, job_id: str) -> int:
        """Cancel a job and return the ticket; its running attempts are asked to stop.

        Raises
        ------
        NotFound
            No job has this id.
        CommandsQueued
            Too many changes wait for the store.
        """
        job = self.state.jobs.get(job_id)
        if job_id in self.uncommitted_jobs or (job is None and job_id not in self.state.finished):
            raise job_not_found(job_id)
        if job is None or job.cancelled:
            return self.sequence
        self._check_queue()
        running = [task for task in job.tasks if task.state == TaskState.RUNNING]
        stops: list[OutgoingMessage] = [
            StopRequest(t.agent_id, t.task_id, t.attempt) for t in running
        ]
        for task in job.tasks:
            self._forget(task.task_id)
        return self._add(JobCancelled(job_id), stops)

    # Agents

    def process_contact(
        self, contact: AgentContact, now: float, authority: LeaseDeadlines
    ) -> list[ListedAttempt]:
        """Take in a hello or heartbeat and return the attempts that are renewed at `now`.

        Attempts that the owner does not know as current on this agent are stopped, and missing
        ones are ended by proof 2 or asked to be confirmed as stopped.
        """
        agent = self.agents.setdefault(contact.agent_id, AgentRuntime())
        if not agent.apply_contact(contact) or self.releasing or now >= authority.renew_until:
            return []
        renewed = [
            listed for listed in contact.listed if self._renew(contact, listed, now, authority)
        ]
        self._check_missing(contact, agent)
        return renewed

    def _renew(
        self, contact: AgentContact, listed: ListedAttempt, now: float, authority: LeaseDeadlines
    ) -> bool:
        if listed.ended or listed.epoch > self.state.epoch:
            return False
        if not self._is_current(contact, listed):
            self._send_stop(contact.agent_id, listed.task_id, listed.attempt)
            return False
        # Without a valid lease a newer owner may exist, which this agent may have obeyed before
        # it restarted. Only attempts that it holds under this epoch are certainly still ours.
        if listed.epoch < self.state.epoch and now >= authority.valid_until:
            return False
        known = self.attempts[listed.task_id]
        known.last_sent = now
        known.confirmed = known.confirmed or listed.epoch == self.state.epoch
        if known.grant_state is GrantState.UNKNOWN:
            known.grant_state = GrantState.ACCEPTED
        return True

    def _is_current(self, contact: AgentContact, listed: ListedAttempt) -> bool:
        task = self.state.running.get(listed.task_id)
        return (
            task is not None
            and task.attempt == listed.attempt
            and task.agent_id == contact.agent_id
            and not self._is_cancelled(task)
        )

    def _is_cancelled(self, task: Task) -> bool:
        return not task.is_bucket and self.state.jobs[job_id_of(task.task_id)].cancelled

    def _check_missing(self, contact: AgentContact, agent: AgentRuntime) -> None:
        missing = [
            task
            for task in self.state.running_on(contact.agent_id)
            if (task.task_id, task.attempt) not in agent.listed
        ]
        for task in missing:
            replaced = contact.incarnation and contact.incarnation != task.incarnation
            if replaced and not task.is_bucket:
                self._end(task, AttemptEnd.ABSENT)
            elif replaced or self._should_be_listed(task, contact):
                # The agent answers with a report, which is proof 1, and refuses late grants.
                self._send_stop(task.agent_id, task.task_id, task.attempt, True)

    def _should_be_listed(self, task: Task, contact: AgentContact) -> bool:
        known = self.attempts[task.task_id]
        if known.grant_state is GrantState.UNKNOWN:
            return True
        if known.grant_state is not GrantState.ACCEPTED:
            return False
        if contact.connection != known.answered_connection:
            return True
        # The next heartbeat may have been sent before the agent took the grant.
        return contact.sequence >= known.answered_sequence + 2

    def record_disconnect(self, agent_id: str) -> None:
        """Take note that the connection of an agent ended; its attempts wait for a proof."""
        for task in self.state.running_on(agent_id):
            known = self.attempts[task.task_id]
            if known.grant_state is GrantState.SENT:
                known.grant_state = GrantState.UNKNOWN
        if not self.state.running_on(agent_id):
            self.agents.pop(agent_id, None)

    def stop_bucket(self, task_id: str) -> None:
        """Ask the home of a bucket to give it up."""
        task = self.state.running[task_id]
        self._send_stop(task.agent_id, task_id, task.attempt, True)

    def process_report(self, report: AttemptEndReport, now: float) -> int:
        """Take in the end of an attempt; it may be confirmed once the returned ticket is committed.

        A report on an attempt that this owner does not know is confirmed only after a commit,
        because a fenced owner does not know the attempts of the next one.
        """
        task = self.state.find_task(report.task_id)
        finished = job_id_of(report.task_id) in self.state.finished
        if finished or (task is not None and report.attempt < task.attempt):
            return self.sequence
        if task is None or report.attempt > task.attempt or report.agent_id != task.agent_id:
            return self._affirm()
        end = AttemptEnd(report.result) if report.result in REPORTED_ENDS else AttemptEnd.STOPPED
        late = task.state == TaskState.WAITING and task.last_end in UNREPORTED_ENDS
        if task.state != TaskState.RUNNING and not late:
            return self.sequence
        if late and end not in (AttemptEnd.COMPLETED, AttemptEnd.EVICTED):
            return self.sequence
        fits = len(report.checkpoint.encode()) <= MAX_CHECKPOINT_BYTES
        self._end(task, end, report.checkpoint if fits else "")
        self._back_off(task, end, now)
        return self.sequence

    # Grants

    def start_attempt(self, task: Task, agent_id: str, incarnation: str, size: Resources) -> None:
        """Assign the next attempt of a waiting task; its grant follows the commit."""
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
        self._add(AttemptStarted(task.task_id, attempt, agent_id, incarnation, epoch), [grant])

    def begin_sending_grant(self, task_id: str, attempt: int, now: float) -> bool:
        """Return whether a grant may be sent now; it counts as sent from then on."""
        task = self._queued(task_id, attempt)
        if task is None:
            return False
        if self._is_cancelled(task) or self.releasing:
            self._end(task, AttemptEnd.REFUSED)
            return False
        known = self.attempts[task_id]
        known.grant_state = GrantState.SENT
        known.last_sent = now
        return True

    def record_unsent_grant(self, task_id: str, attempt: int, now: float) -> None:
        """Take note that the grant certainly was not sent, for example to a closed connection."""
        task = self.state.running.get(task_id)
        if task is not None and task.attempt == attempt:
            self._refused(task, now)

    def record_grant_reply(self, task_id: str, attempt: int, accepted: bool, now: float) -> None:
        """Take in the agent's reply; a refusal means that the attempt did not and will not run."""
        task = self.state.running.get(task_id)
        if task is None or task.attempt != attempt:
            return
        if not accepted:
            self._refused(task, now)
            return
        known, agent = self.attempts[task_id], self.agents.get(task.agent_id)
        known.grant_state = GrantState.ACCEPTED
        if agent is not None:
            known.answered_connection = agent.connection
            known.answered_sequence = agent.sequence
        self.refusals.pop(task_id, None)

    def record_lost_grant_reply(self, task_id: str, attempt: int) -> None:
        """Take note that the reply to a grant was lost; the attempt waits for a proof."""
        task = self.state.running.get(task_id)
        if task is not None and task.attempt == attempt:
            known = self.attempts[task_id]
            if known.grant_state is GrantState.SENT:
                known.grant_state = GrantState.UNKNOWN

    def _queued(self, task_id: str, attempt: int) -> Task | None:
        task = self.state.running.get(task_id)
        if task is None or task.attempt != attempt:
            return None
        return task if self.attempts[task_id].grant_state is GrantState.QUEUED else None

    def _refused(self, task: Task, now: float) -> None:
        agent = self.agents.get(task.agent_id)
        if agent is not None:
            agent.refused_at = agent.sequence
        refusals = min(self.refusals.get(task.task_id, 0) + 1, 8)
        self.refusals[task.task_id] = refusals
        self.not_before[task.task_id] = now + REFUSAL_BACKOFF_SECONDS * 2 ** (refusals - 1)
        self._end(task, AttemptEnd.REFUSED)

    # Time

    def expire_attempts(self, now: float) -> int:
        """End all attempts whose grant has certainly expired (proof 3) and return their number."""
        expiry = self.state.timings.largest(self.timings).expiry_seconds()
        expired = [
            task
            for task_id, task in self.state.running.items()
            if now >= self.attempts[task_id].expires_at(expiry)
        ]
        for task in expired:
            self._end(task, AttemptEnd.EXPIRED)
        return len(expired)

    def may_start(self, task_id: str, now: float) -> bool:
        """Return whether the back-off of a task has passed."""
        return now >= self.not_before.get(task_id, now)

    # Common parts

    def _end(self, task: Task, end: AttemptEnd, checkpoint: str = "") -> None:
        ended = AttemptEnded(task.task_id, task.attempt, end, checkpoint)
        self._add(ended)
        if not task.is_bucket:
            self.unprocessed_ends.append(ended)
        self.attempts.pop(task.task_id, None)
        if task.state != TaskState.WAITING:
            self._forget(task.task_id)

    def _affirm(self) -> int:
        # Any later commit shows that the shard is still owned; repeated reports add no events.
        return self.sequence if self.pending else self._add(OwnershipAffirmed())

    def _forget(self, task_id: str) -> None:
        self.not_before.pop(task_id, None)
        self.avoid.pop(task_id, None)
        self.refusals.pop(task_id, None)

    def _back_off(self, task: Task, end: AttemptEnd, now: float) -> None:
        if end not in FAILED_ENDS or task.state != TaskState.WAITING:
            return
        self.avoid[task.task_id] = task.agent_id
        wait = min(FIRST_BACKOFF_SECONDS * 2 ** (task.failures - 1), MAX_BACKOFF_SECONDS)
        self.not_before[task.task_id] = now + wait

    def _send_stop(
        self, agent_id: str, task_id: str, attempt: int, keep_progress: bool = False
    ) -> None:
        stop = StopRequest(agent_id, task_id, attempt, keep_progress)
        # The decision may rest on events that are not committed; then the stop follows them.
        if self.pending:
            self.pending[-1].effects.append(stop)
        else:
            self.ready.append(stop)

    def _check_queue(self) -> None:
        if len(self.pending) >= MAX_PENDING_EVENTS:
            raise commands_queued(self.state.number)

    def _add(self, event: Event, effects: Iterable[OutgoingMessage] = ()) -> int:
        self.state.apply(event)
        self.pending.append(Transition(event, list(effects)))
        self.sequence += 1
        return self.sequence

    def describe_job(self, job_id: str) -> dict[str, Any]:
        """Return the job for a caller.

        Raises
        ------
        NotFound
            No job has this id.
        """
        job = self.committed_state.jobs.get(job_id)
        if job is not None:
            counts = [job.counts[state] for state in TaskState]
            return _description(job_id, job.spec.name, job.cancelled, counts)
        finished = self.committed_state.finished.get(job_id)
        if finished is None:
            raise job_not_found(job_id)
        return _description(job_id, finished.name, finished.cancelled, finished.counts)


def job_not_found(job_id: str) -> NotFound:
    """Return the error for an unknown or forgotten job."""
    return NotFound(
        f"no job {job_id!r}", "check the id; finished jobs are forgotten after some time"
    )


def _description(job_id: str, name: str, cancelled: bool, counts: list[int]) -> dict[str, Any]:
    by_state = {state.name.lower(): counts[state] for state in TaskState}
    return {
        "job_id": job_id,
        "name": name,
        "state": _job_state(cancelled, by_state),
        "tasks": by_state,
        "reason": "",
    }


def _job_state(cancelled: bool, by_state: dict[str, int]) -> str:
    if by_state["running"]:
        return "cancelling" if cancelled else "running"
    if cancelled:
        return "cancelled"
    if by_state["waiting"]:
        return "waiting"
    return "failed" if by_state["failed"] else "completed"
