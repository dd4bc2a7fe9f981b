"""Owner service of an entry: claims shards and serves their jobs and agents."""

from __future__ import annotations

import logging
import os
import time
import zlib
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent.event import Event

from acaciastand.coordination.journal import Journal
from acaciastand.coordination.journal_errors import CompactionNeeded
from acaciastand.coordination.lease import LeaseSession
from acaciastand.coordination.ownership import Ownership, rendezvous_order
from acaciastand.coordination.store import KeyValueStore, StoreUnavailable
from acaciastand.entry.owned_shard import NotOwner, OwnedShard, timings_of
from acaciastand.errors import AcaciastandError, InvalidInput
from acaciastand.placement.estimates import SizeEstimator
from acaciastand.placement.failure_attribution import EvidenceBasedAttribution, FailureAttribution
from acaciastand.placement.placer import BestFit, Placer
from acaciastand.placement.worker import WorkerView
from acaciastand.reasons import Reason
from acaciastand.resources import Resources
from acaciastand.shard.errors import job_not_found
from acaciastand.shard.events import OwnerChanged, event_from_plain
from acaciastand.shard.job import parse_job
from acaciastand.shard.limits import MAX_KEY_BYTES
from acaciastand.shard.runtime_state import AgentContact, AttemptEndReport, ListedAttempt
from acaciastand.shard.scheduling import Scheduler
from acaciastand.shard.shard import Shard
from acaciastand.shard.state import ShardState
from acaciastand.wire.messages import (
    AttemptName,
    AttemptReport,
    Heartbeat,
    HeldAttempt,
    Hello,
    ReportConfirmed,
    ShardEpoch,
)

logger = logging.getLogger(__name__)

CLAIM_INTERVAL_SECONDS = 0.5  # between two looks at shards without an owner
RANK_DELAY_SECONDS = 1.0  # an entry waits this long per more preferred entry before it claims
HANDOVER_SECONDS = 5.0  # another entry is preferred for this long before a shard is released
REPORT_SECONDS = 20.0  # wait for the commit of a report; the agent repeats it
CANCEL_SECONDS = 10.0  # wait for the commit of a cancellation
NONCE_BYTES = 16
JOB_ID_BYTES = 6
RUNNING_STATE = "running"  # acaciastand.host.AttemptState.RUNNING on the wire
ENDED_STATE = "ended"  # acaciastand.host.AttemptState.ENDED on the wire


def monotonic() -> float:
    """Return seconds of the monotonic clock."""
    return time.monotonic()


def random_nonce() -> bytes:
    """Return bytes that no other writer uses."""
    return os.urandom(NONCE_BYTES)


class OwnerService:
    """Owns shards for one entry.

    Parameters
    ----------
    store
        The platform's key-value service.
    entry_id
        Id of this entry.
    session
        Lease of this entry; the caller starts and renews it.
    shards
        Number of shards.
    registry
        Agents connected to this entry: ``sessions()`` and ``get(agent_id)``.
    settings_service
        ``effective(path)`` returns the settings in force.
    counters
        Counts refusals and retries.
    path
        Path of the entry in the settings tree.
    live_entries
        Returns the ids of the entries that are alive; by default those in the store's directory.
    """

    def __init__(
        self,
        store: KeyValueStore,
        entry_id: str,
        session: LeaseSession,
        shards: int,
        registry: Any,
        settings_service: Any,
        counters: Any,
        path: str = "",
        placer: Placer | None = None,
        live_entries: Callable[[], list[str]] | None = None,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.store = store
        self.entry_id = entry_id
        self.session = session
        self.shard_count = shards
        self.registry = registry
        self.settings_service = settings_service
        self.counters = counters
        self.path = path
        self.placer = placer or BestFit()
        self.live_entries = live_entries or self._directory
        self.clock = clock
        self.estimator = SizeEstimator()
        self.failure_attribution: FailureAttribution = EvidenceBasedAttribution()
        self.owned: dict[int, OwnedShard] = {}
        self._ownerships = {
            number: Ownership(store, number, entry_id) for number in range(self.shard_count)
        }
        self._unowned_since: dict[int, float] = {}
        self._foreign_since: dict[int, float] = {}
        self._connections: dict[str, tuple[Any, int]] = {}
        self._last_connection = 0
        self._stopping = Event()
        self._claims: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to claim shards."""
        self._claims = gevent.spawn(self._run_claims)

    def stop(self) -> None:
        """Release all shards gracefully, with the release committed."""
        self._stopping.set()
        if self._claims is not None:
            self._claims.join()
        gevent.joinall([gevent.spawn(self._release, owned) for owned in list(self.owned.values())])

    def owned_shards(self) -> list[ShardEpoch]:
        """Return the shards this entry owns, with their epochs."""
        return [
            ShardEpoch(number, owned.shard.state.epoch)
            for number, owned in sorted(self.owned.items())
            if not owned.shard.releasing
        ]

    def settings(self) -> Any:
        """Return the settings in force for this entry."""
        return self.settings_service.effective(self.path)

    def workers(self) -> list[WorkerView]:
        """Return the workers that can be granted attempts."""
        return [
            WorkerView(
                session.agent_id,
                session.incarnation,
                session.availability_zone,
                session.rack,
                session.capacity,
                session.free,
                session.services,
                session.draining,
            )
            for session in self.registry.sessions()
            if session.connected and session.last_heartbeat_sequence
        ]

    def holds(self, ownership: Ownership) -> bool:
        """Return whether the lease of a claim was not lost; it may be without renewal for long."""
        return self.session.lease_id is not None and ownership.lease_id == self.session.lease_id

    # Jobs

    def shard_of_job(self, job_id: str) -> int:
        """Return the shard in a job id.

        Raises
        ------
        NotFound
            It is no job id of this system.
        """
        number, separator, _ = job_id.removeprefix("j").partition("-")
        if not separator or not job_id.startswith("j") or not number.isdecimal():
            raise job_not_found(job_id)
        if int(number) >= self.shard_count:
            raise job_not_found(job_id)
        return int(number)

    def submit_job(self, payload: dict[str, Any], key: str, deadline: float) -> dict[str, Any]:
        """Accept a job and return its description after it is committed.

        Parameters
        ----------
        payload
            Job fields as callers state them.
        key
            Makes the submission repeatable; empty for none. It determines the shard.
        deadline
            When the caller stops waiting, seconds of the monotonic clock.

        Raises
        ------
        InvalidInput, ShardFull, CommitQueueFull, NotOwner, StoreUnavailable
            The job was not accepted.
        CommitUnknown
            The job may have been accepted; submitting again with the same key finds it.
        """
        spec = parse_job(payload)
        if not isinstance(key, str) or len(key.encode()) > MAX_KEY_BYTES:
            raise InvalidInput(f"the key exceeds {MAX_KEY_BYTES} bytes", "use a shorter key")
        owned = self._owned(self._shard_for(key))
        if owned.store_down:
            raise StoreUnavailable(
                "the store does not take changes at present", "submit the job again later"
            )
        job_id = f"j{owned.number}-{os.urandom(JOB_ID_BYTES).hex()}"
        scoped = f"{spec.team}/{key}" if key else ""
        submission = owned.shard.submit(spec, scoped, job_id)
        owned.wait(submission.ticket, deadline - self.clock(), submission.job_id)
        return self._describe(owned, submission.job_id)

    def query_job(self, job_id: str) -> dict[str, Any]:
        """Return the committed state of a job; raises `NotFound` or `NotOwner`."""
        return self._describe(self._owned(self.shard_of_job(job_id)), job_id)

    def cancel_job(self, job_id: str) -> dict[str, Any]:
        """Cancel a job and return its description after the commit."""
        owned = self._owned(self.shard_of_job(job_id))
        owned.wait(owned.shard.cancel(job_id), CANCEL_SECONDS)
        return self._describe(owned, job_id)

    def remaining_quotas(self) -> dict[str, float]:
        """Return the cores that each team with a quota may still take here.

        The entry uses the share of a quota that its shards are of all shards, so the shares of
        all entries never exceed the quota.
        """
        quotas: dict[str, float] = self.settings().team_quotas
        share = len(self.owned) / self.shard_count
        used: Counter[str] = Counter()
        for owned in self.owned.values():
            used.update(owned.shard.state.team_cores)
        return {team: quota * share - used[team] for team, quota in quotas.items()}

    def grant_seconds(self) -> float:
        """Return the length that heartbeat replies must state for the grants they renew."""
        timings = [owned.shard.timings.grant_seconds for owned in self.owned.values()]
        return min(timings, default=0.0)

    def _shard_for(self, key: str) -> int:
        if key:
            return zlib.crc32(key.encode()) % self.shard_count
        free = [owned for owned in self.owned.values() if not owned.shard.releasing]
        if not free:
            raise NotOwner(0)
        return min(free, key=lambda owned: (len(owned.shard.state.jobs), owned.number)).number

    def _describe(self, owned: OwnedShard, job_id: str) -> dict[str, Any]:
        description = owned.shard.describe_job(job_id)
        job = owned.shard.committed_state.jobs.get(job_id)
        if job is not None and owned.scheduler.never_fits(job.spec, self._empty_workers()):
            description["reason"] = str(Reason.NEVER_FITS)
        return description

    def _empty_workers(self) -> Iterator[WorkerView]:
        # Agents keep the headroom free of tasks, so even an empty worker has no room for more.
        headroom = self.settings().headroom
        for worker in self.workers():
            kept = Resources(worker.capacity.cores * headroom)
            yield worker.replace(capacity=worker.capacity.minus(kept))

    def _owned(self, number: int) -> OwnedShard:
        owned = self.owned.get(number)
        if owned is None or owned.shard.releasing:
            raise NotOwner(number)
        return owned

    # Agents

    def on_hello(self, session: Any, hello: Hello) -> None:
        """Take in a new connection of an agent."""
        self._last_connection += 1
        self._connections[session.agent_id] = (session, self._last_connection)
        self._contact(session, 0, hello.attempts, renew=False)

    def on_heartbeat(self, session: Any, heartbeat: Heartbeat) -> list[AttemptName]:
        """Take in a heartbeat and return the attempts that its reply renews."""
        if session.agent_id not in self._connections:
            self._last_connection += 1
            self._connections[session.agent_id] = (session, self._last_connection)
        renewed = self._contact(session, heartbeat.sequence, heartbeat.attempts, renew=True)
        return [AttemptName(listed.task_id, listed.attempt) for listed in renewed]

    def on_report(self, session: Any, report: AttemptReport) -> ReportConfirmed:
        """Commit the end of an attempt and return its confirmation.

        Raises
        ------
        NotOwner, ShardLost, CommitUnknown
            It is not known to be committed; the agent reports it again.
        """
        owned = self._owned(report.shard)
        self._record_usage(owned, report)
        ticket = owned.shard.process_report(
            AttemptEndReport(
                session.agent_id, report.task_id, report.attempt, report.result, report.checkpoint
            ),
            self.clock(),
        )
        owned.wait(ticket, REPORT_SECONDS)
        return ReportConfirmed(report.shard, report.task_id, report.attempt)

    def on_agent_gone(self, session: Any) -> None:
        """Take note that a connection ended."""
        known = self._connections.get(session.agent_id)
        if known is None or known[0] is not session:
            return
        del self._connections[session.agent_id]
        for owned in list(self.owned.values()):
            owned.contacts.record_disconnect(session.agent_id)

    def _contact(
        self, session: Any, sequence: int, attempts: list[HeldAttempt], renew: bool
    ) -> list[ListedAttempt]:
        known = self._connections.get(session.agent_id)
        if known is None or known[0] is not session:
            return []  # a newer connection replaced this one
        renewed: list[ListedAttempt] = []
        now = self.clock()
        by_shard: dict[int, list[ListedAttempt]] = {number: [] for number in self.owned}
        for item in attempts:
            if item.shard in by_shard:
                if item.state == RUNNING_STATE:
                    self.failure_attribution.record_running(
                        session.agent_id, item.task_id, item.attempt, now
                    )
                listed = ListedAttempt(
                    item.task_id, item.attempt, item.epoch, item.state == ENDED_STATE
                )
                by_shard[item.shard].append(listed)
        for number, listed_here in by_shard.items():
            owned = self.owned.get(number)
            if owned is None:  # it was lost while messages of another shard were sent
                continue
            contact = AgentContact(
                session.agent_id, session.incarnation, known[1], sequence, listed_here
            )
            now = self.clock()
            renewed.extend(owned.contacts.process(contact, now, owned.authority(now)))
            owned.send_ready()
        return renewed if renew else []

    def _record_usage(self, owned: OwnedShard, report: AttemptReport) -> None:
        job = owned.shard.state.jobs.get(report.task_id.rpartition("/")[0])
        if job is not None and report.result == "completed":
            spec = job.spec
            self.estimator.learn(spec.team, spec.batch_class, report.observed, report.run_seconds)

    # Claims

    def _run_claims(self) -> None:
        while not self._stopping.wait(CLAIM_INTERVAL_SECONDS):
            try:
                self._claim_round()
            except AcaciastandError as error:
                self.counters.increment(f"owner.claim_failed.{error.code}")
                logger.warning("shards were not claimed: %s", error)

    def _claim_round(self) -> None:
        if self.session.lease_id is None or not self.session.valid(self.clock()):
            return
        live = sorted({*self.live_entries(), self.entry_id})
        for number in range(self.shard_count):
            if self._stopping.is_set():
                return
            rank = rendezvous_order(number, live).index(self.entry_id)
            if number in self.owned:
                self._hand_over(number, rank)
            else:
                self._claim(number, rank)

    def _hand_over(self, number: int, rank: int) -> None:
        if not rank:
            self._foreign_since.pop(number, None)
            return
        now = self.clock()
        if now - self._foreign_since.setdefault(number, now) >= HANDOVER_SECONDS:
            self._foreign_since.pop(number, None)
            self._unowned_since[number] = now
            self._release(self.owned[number])

    def _claim(self, number: int, rank: int) -> None:
        ownership = self._ownerships[number]
        owner = ownership.owner()
        now = self.clock()
        if owner is not None and owner.lease_id != self.session.lease_id:
            self._unowned_since.pop(number, None)
            return
        if now - self._unowned_since.setdefault(number, now) < rank * RANK_DELAY_SECONDS:
            return
        if ownership.claim(self.session):
            self._unowned_since.pop(number, None)
            self._take_over(number, ownership)

    def _take_over(self, number: int, ownership: Ownership) -> None:
        timings = timings_of(self.settings())
        journal = Journal(self.store, f"shards/{number}", self.entry_id, random_nonce)

        def events(epoch: int) -> list[Any]:
            return [OwnerChanged(epoch, self.entry_id, timings).plain()]

        try:
            state = journal.take_over(events)
        except CompactionNeeded:
            loaded = journal.load()
            journal.compact(fold(number, loaded.snapshot, loaded.entries).snapshot())
            return  # the next round takes over
        *entries, last = state.entries
        shard = Shard(fold(number, state.snapshot, entries), timings)
        changed = event_from_plain(last.events[0])
        assert isinstance(changed, OwnerChanged)
        shard.apply_takeover(changed, self.clock())
        scheduler = Scheduler(
            shard, self.shard_count, self.placer, self.estimator, self.failure_attribution
        )
        self.owned[number] = OwnedShard(shard, scheduler, journal, ownership, self, self._lost)
        self.counters.increment("owner.takeovers")
        logger.info("took over shard %d with epoch %d", number, changed.epoch)

    def _release(self, owned: OwnedShard) -> None:
        owned.release()
        self.failure_attribution.forget_attempts(list(owned.shard.state.running))
        if self.owned.get(owned.number) is owned:
            del self.owned[owned.number]

    def _lost(self, owned: OwnedShard) -> None:
        self.failure_attribution.forget_attempts(list(owned.shard.state.running))
        if self.owned.get(owned.number) is owned:
            del self.owned[owned.number]

    def _directory(self) -> list[str]:
        return [found.key.removeprefix("entries/") for found in self.store.list("entries/")]


def fold(number: int, snapshot: Any, entries: list[Any]) -> ShardState:
    """Return the state after a snapshot (None for none) and the entries that follow it."""
    state = ShardState(number)
    if snapshot is not None:
        state = ShardState.from_snapshot(number, snapshot)
    for entry in entries:
        for event in entry.events:
            state.apply(event_from_plain(event))
    return state
