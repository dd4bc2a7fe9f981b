"""One shard that this entry owns: its commit loop and the messages that follow commits."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import AsyncResult, Event
from gevent.pool import Pool

from acaciastand.coordination.journal import Journal
from acaciastand.coordination.journal_errors import AppendUnresolved, CompactionNeeded, Fenced
from acaciastand.coordination.ownership import Ownership
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.errors import AcaciastandError, OutcomeUnknown, Refused
from acaciastand.record import Record
from acaciastand.shard.contacts import ContactProcessor
from acaciastand.shard.events import Event as ShardEvent
from acaciastand.shard.limits import Timings
from acaciastand.shard.outbox import Grant, OutgoingMessage, StopRequest
from acaciastand.shard.runtime_state import LeaseDeadlines
from acaciastand.shard.scheduling import Scheduler
from acaciastand.shard.shard import Shard
from acaciastand.wire.messages import GrantAttempt, GrantReply, StopAttempt

logger = logging.getLogger(__name__)

GRANT_REPLY_SECONDS = 5.0  # wait for the reply to a grant
BUCKET_INTERVAL_SECONDS = 0.5  # between two looks at buckets without a home
IDLE_SECONDS = 0.1  # between two looks at grants and waiting tasks while nothing changes
RETRY_SECONDS = 0.25  # between two appends while the store is unavailable
MAX_SENDING = 512  # grants and stops of one shard that are sent at once
RELEASE_SECONDS = 5.0  # for the commits of a graceful release


class NotOwner(Refused):
    """Another entry owns the shard, or nobody does."""

    code = "no_owner"

    def __init__(self, shard: int) -> None:
        super().__init__(f"this entry does not own shard {shard}", "send it to the owner or later")
        self.shard = shard


class ShardLost(Refused):
    """The shard moved to another owner before the change was committed."""

    code = "no_owner"


class CommitUnknown(OutcomeUnknown):
    """The change may have been committed."""

    code = "store_answer_lost"


def timings_of(settings: Any) -> Timings:
    """Return the times of effective settings that decide when a grant has ended."""
    return Timings(settings.grant_seconds, settings.stop_seconds, settings.outage_hold_seconds)


class Waiter(Record):
    """Somebody who waits for the commit of a ticket."""

    __slots__ = ("ticket", "job_id", "result")

    def __init__(self, ticket: int, job_id: str) -> None:
        self.ticket = ticket
        self.job_id = job_id
        self.result = AsyncResult()


class OwnedShard:
    """A shard in the hands of this entry, from its takeover to its release or loss.

    Parameters
    ----------
    journal
        Journal that this entry took over.
    context
        The owner service, which knows sessions, settings, workers and the clock.
    on_lost
        Called once when the shard was fenced.
    """

    def __init__(
        self,
        shard: Shard,
        scheduler: Scheduler,
        journal: Journal,
        ownership: Ownership,
        context: Any,
        on_lost: Callable[[OwnedShard], None],
    ) -> None:
        self.shard = shard
        self.contacts = ContactProcessor(shard)
        self.scheduler = scheduler
        self.journal = journal
        self.ownership = ownership
        self.context = context
        self.on_lost = on_lost
        self.number = shard.state.number
        self.store_down = False
        self.lost = False
        self.stopping = Event()
        self.wake = Event()
        self.last_renewal = ownership.session.last_renewal if ownership.session else float("-inf")
        self._in_doubt = 0
        self._waiters: list[Waiter] = []
        self._sending = Pool(MAX_SENDING)
        self._next_buckets = 0.0
        self._next_tasks = 0.0
        self._loop = gevent.spawn(self._run)

    def authority(self, now: float) -> LeaseDeadlines:
        """Return until when this entry may renew attempts of the shard."""
        session = self.ownership.session
        holds_lease = session is not None and session.lease_id == self.ownership.lease_id
        if session is not None and holds_lease:
            self.last_renewal = session.last_renewal
        renewal_seconds = min(
            self.shard.timings.outage_hold_seconds, self.shard.state.timings.outage_hold_seconds
        )
        valid_until = session.valid_until if session is not None and holds_lease else float("-inf")
        return LeaseDeadlines(valid_until, self.last_renewal + renewal_seconds)

    def wait(self, ticket: int, seconds: float, job_id: str = "") -> None:
        """Wait until a ticket is committed.

        Raises
        ------
        StoreUnavailable, ShardLost
            It was not committed and will not be.
        CommitUnknown
            It was not committed in time and may be later.
        """
        if ticket <= self.shard.committed_sequence:
            return
        if self.lost:
            raise self._lost_error()
        self.wake.set()
        waiter = Waiter(ticket, job_id)
        self._waiters.append(waiter)
        try:
            waiter.result.get(timeout=max(seconds, 0.0))
        except gevent.Timeout as error:
            raise CommitUnknown(
                f"a change of shard {self.number} was not committed in {seconds:.1f} s",
                "query it before you send it again, or repeat it with the same key",
            ) from error
        finally:
            self._waiters = [other for other in self._waiters if other is not waiter]

    def release(self) -> None:
        """Commit a graceful release and give up the owner key."""
        ticket = self.shard.release()
        try:
            self.wait(ticket, RELEASE_SECONDS)
        except AcaciastandError:
            self.context.counters.increment("owner.release_not_committed")
        self.stop()
        try:
            self.ownership.release()
        except AcaciastandError:
            self.context.counters.increment("owner.key_not_released")

    def stop(self) -> None:
        """End the commit loop without a release."""
        self.lost = True
        self.stopping.set()
        self.wake.set()
        if gevent.getcurrent() is not self._loop:
            self._loop.join(timeout=RELEASE_SECONDS)
        self._fail_waiters(self._lost_error())

    def _lost_error(self) -> AcaciastandError:
        return ShardLost(f"shard {self.number} moved to another owner", "send it again")

    # Commit loop

    def _run(self) -> None:
        while not self.stopping.is_set():
            self._pause()
            if not self.lost and not self.context.holds(self.ownership):
                self._lose()
            if self.lost:
                return
            self._step()

    def _pause(self) -> None:
        if self.store_down:
            self.stopping.wait(RETRY_SECONDS)
            return
        if not self.shard.pending:
            self.wake.wait(IDLE_SECONDS)
        self.wake.clear()
        # Further changes of this interval go into the same journal entry.
        self.stopping.wait(self.context.settings().commit_interval_ms / 1000.0)

    def _step(self) -> None:
        now = self.context.clock()
        expired = self.shard.expire_attempts(now)
        if expired:
            self.context.counters.increment("owner.attempts_expired", expired)
        self.scheduler.process_ends(now)
        if not self.store_down and not self.shard.releasing:
            self.shard.change_timings(timings_of(self.context.settings()))
            self._schedule(now)
        try:
            self._commit()
        except (Fenced, AppendUnresolved):
            self._lose()
        except AcaciastandError as error:
            # The journal can be read again; the next claim starts from what is committed.
            logger.error("shard %d is dropped: %s", self.number, error)
            self._lose()

    def _schedule(self, now: float) -> None:
        if now >= self._next_buckets:
            self._next_buckets = now + BUCKET_INTERVAL_SECONDS
            self.scheduler.start_buckets(self.context.workers(), now)
        if now >= self._next_tasks and self.scheduler.has_waiting_tasks():
            remaining_quotas = self.context.remaining_quotas()
            started = self.scheduler.start_tasks(self.context.workers(), remaining_quotas, now)
            quarantined = len(self.scheduler.quarantine.quarantined)
            self.context.counters.gauge("owner.workers_set_aside", quarantined)
            self._next_tasks = now if started else now + IDLE_SECONDS

    def _commit(self) -> None:
        events = self.shard.next_batch()
        try:
            if self.journal.unresolved:
                self._resolve()
            elif events:
                self._append(events)
            self.store_down = False
        except StoreAnswerLost:
            self.store_down = True
        except StoreUnavailable as error:
            self.store_down = True
            self._refuse_submissions(error)
        self._send_ready_messages()

    def _append(self, events: list[ShardEvent]) -> None:
        plain = [event.plain() for event in events]
        self._compact_if_due()
        self._in_doubt = len(events)
        try:
            self.journal.append(plain)
        except CompactionNeeded:
            self._in_doubt = 0
            raise StoreUnavailable("the journal has no free slot", "wait for the store") from None
        self._committed()

    def _resolve(self) -> None:
        self.journal.resolve()
        self._committed()

    def _committed(self) -> None:
        self.shard.mark_committed(self._in_doubt)
        self._in_doubt = 0
        self._next_tasks = 0.0  # a job may be committed or a worker free now
        self.wake.set()
        for waiter in list(self._waiters):
            if waiter.ticket <= self.shard.committed_sequence:
                waiter.result.set(None)

    def _compact_if_due(self) -> None:
        if not self.journal.compaction_due:
            return
        try:
            self.journal.compact(self.shard.committed_state.snapshot())
        except (StoreAnswerLost, StoreUnavailable):
            self.context.counters.increment("owner.compaction_failed")

    def _refuse_submissions(self, error: StoreUnavailable) -> None:
        self._in_doubt = 0
        withdrawn = set(self.shard.withdraw_uncommitted_jobs())
        for waiter in list(self._waiters):
            if waiter.job_id in withdrawn:
                waiter.result.set_exception(error)

    def _lose(self) -> None:
        self.lost = True
        self.stopping.set()
        self.context.counters.increment("owner.shard_lost")
        self._fail_waiters(self._lost_error())
        self.on_lost(self)

    def _fail_waiters(self, error: AcaciastandError) -> None:
        in_doubt = self.shard.committed_sequence + self._in_doubt
        unknown = CommitUnknown(
            f"shard {self.number} moved while the outcome of a commit was unknown",
            "query it before you send it again, or repeat it with the same key",
        )
        for waiter in list(self._waiters):
            if not waiter.result.ready():
                waiter.result.set_exception(unknown if waiter.ticket <= in_doubt else error)

    # Messages

    def _send_ready_messages(self) -> None:
        for message in self.shard.pop_ready_messages():
            self._sending.spawn(self._send, message)

    def send_ready(self) -> None:
        """Send messages that need no commit, such as stops of unknown attempts."""
        if self.lost:
            return
        self._send_ready_messages()
        if self.shard.pending:
            self.wake.set()

    def _send(self, message: OutgoingMessage) -> None:
        if isinstance(message, Grant):
            self._send_grant(message)
        elif isinstance(message, StopRequest):
            self._send_stop(message)

    def _send_stop(self, stop: StopRequest) -> None:
        session = self.context.registry.get(stop.agent_id)
        if session is None:
            return
        epoch = self.shard.state.epoch
        message = StopAttempt(self.number, epoch, stop.task_id, stop.attempt, stop.keep_progress)
        try:
            session.send(message)
        except AcaciastandError:
            self.context.counters.increment("owner.stop_not_sent")  # the next heartbeat repeats it

    def _send_grant(self, grant: Grant) -> None:
        session = self.context.registry.get(grant.agent_id)
        if self.lost:
            return
        if session is None or not session.last_heartbeat_sequence:
            self.shard.record_unsent_grant(grant.task_id, grant.attempt, self.context.clock())
            return
        if not self.shard.begin_sending_grant(grant.task_id, grant.attempt, self.context.clock()):
            return
        try:
            reply = session.request(self._message(grant, session), GRANT_REPLY_SECONDS)
        except AcaciastandError as error:
            self._grant_failed(grant, error)
            return
        accepted = isinstance(reply, GrantReply) and reply.accepted
        if not accepted and isinstance(reply, GrantReply):
            self.context.counters.increment(f"owner.grant_refused.{reply.reason}")
        if not self.lost:
            now = self.context.clock()
            self.shard.record_grant_reply(grant.task_id, grant.attempt, accepted, now)

    def _grant_failed(self, grant: Grant, error: AcaciastandError) -> None:
        self.context.counters.increment(f"owner.grant_failed.{error.code}")
        if self.lost:
            return
        if error.code == "not_sent":
            self.shard.record_unsent_grant(grant.task_id, grant.attempt, self.context.clock())
        else:
            self.shard.record_lost_grant_reply(grant.task_id, grant.attempt)

    def _message(self, grant: Grant, session: Any) -> GrantAttempt:
        return GrantAttempt(
            self.number,
            self.shard.state.epoch,
            grant.task_id,
            grant.attempt,
            grant.size,
            grant.run_seconds,
            grant.checkpoint,
            grant.batch_class,
            session.last_heartbeat_sequence,
            self.shard.timings.grant_seconds,
            grant.urgent,
        )
