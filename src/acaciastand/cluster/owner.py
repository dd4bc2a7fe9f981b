"""The owner of all jobs: takes them over, schedules their tasks and stores their progress."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

import gevent
from gevent.event import Event

from acaciastand.cluster.advice_loop import advise_forever
from acaciastand.cluster.agent_link import AgentLink
from acaciastand.cluster.agent_registry import REMOVAL_INTERVAL_SECONDS, AgentRegistry
from acaciastand.cluster.batch_costs import encode_batch_costs
from acaciastand.cluster.clock import now, now_unix
from acaciastand.cluster.committer import Committer, OwnershipLost
from acaciastand.cluster.decision_log import log_accepted, log_decisions, measure_ended
from acaciastand.cluster.election import CONFIRMATION_VALID_SECONDS, OWNER_HEARTBEAT_SECONDS
from acaciastand.cluster.interference_store import InterferenceStore
from acaciastand.cluster.job_retention import JobRetention
from acaciastand.cluster.keys import (
    AGENTS_PREFIX,
    CANCELS_PREFIX,
    INBOX_PREFIX,
    JOBS_PREFIX,
    OWNER_HEARTBEAT_KEY,
    OWNER_KEY,
    OwnerRecord,
    StoredItemUnreadable,
    decode_job,
    encode_fields,
)
from acaciastand.cluster.prefix_watch import follow_prefix
from acaciastand.cluster.supervision import supervised
from acaciastand.cluster.takeover import StoredState
from acaciastand.cluster.wait_gauges import WaitGauges
from acaciastand.cluster.zone_drain_watch import ZoneDrainWatch
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import (
    CommitConflict,
    Item,
    TransactionalStore,
)
from acaciastand.errors import AcaciastandError, Refused
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.wire.messages import RunGrant
from acaciastand.workflow.advice import PlacementAdvisor
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.decisions import StartDecision, StopDecision
from acaciastand.workflow.job import Job, JobState
from acaciastand.workflow.limits import AUTHORITY_SECONDS, CLOCK_DRIFT, GRANT_SECONDS
from acaciastand.workflow.reports import AgentReport, PollPosition, StartOutcome
from acaciastand.workflow.run_numbers import RunNumbers
from acaciastand.workflow.scheduler import Scheduler

MAX_PLAN_INTERVAL_SECONDS = 0.1  # Longest time between two rounds of scheduling.
PLAN_DELAY_SECONDS = 0.004  # Events within this time are handled in one round of scheduling.
# Longest times that the watches of the inbox and of the agents wait for a change.
INBOX_WAIT_SECONDS = 1.0
AGENTS_WAIT_SECONDS = 2.0
REPLY_MARGIN_SECONDS = 0.1  # Runs count as alive for this much longer than their agent is granted.
RETRY_SECONDS = 0.1  # Pause after a failed call to the store.
LOAD_ATTEMPTS = 3  # Attempts to read the jobs before the takeover is left to another entry.

logger = logging.getLogger(__name__)


class Owner:
    """One term of ownership, from a claim until the ownership is released or lost.

    Parameters
    ----------
    record
        The owner key as this entry wrote it.
    fence
        Revision of the owner key at the claim; commits fail once it has changed.
    claimed_at
        When the claim was sent or, if its answer was lost, the read that showed it began.
    former_heartbeat_at
        Latest time at which a former owner can have sent its last stored heartbeat.
    catalog
        Configuration in use.
    stop_seconds
        Longest time that a worker takes to stop a run.
    on_lost
        Called when the ownership is lost.
    advisor
        Placement service; without one, jobs of advised queues wait.
    zone_drain_seconds
        Bound for requests to drain a zone; 0 if the operators drain no zones.

    Attributes
    ----------
    confirmed_at
        When the last heartbeat that was stored, or else the claim, was sent.
    agents
        The registered agents and the connections to them.
    plan_due
        Set when an event calls for a round of scheduling.
    heartbeat_due
        Set when the next heartbeat is to be sent before its interval has passed.
    is_ready
        Whether the jobs have been read, so that calls about them can be answered.
    is_lost, is_releasing
        Whether the term has ended, and whether it is ending; nothing is started then.
    unconfirmed_items
        Submissions, cancellations and registrations of agents, by key, that wait for the next
        stored heartbeat.
    """

    def __init__(
        self,
        store: TransactionalStore,
        record: OwnerRecord,
        fence: int,
        claimed_at: float,
        former_heartbeat_at: float,
        catalog: Catalog,
        stop_seconds: float,
        metrics: Metrics,
        on_lost: Callable[[Owner], None],
        advisor: PlacementAdvisor | None = None,
        zone_drain_seconds: float = 0.0,
    ) -> None:
        self.store = store
        self.record = record
        self.fence = fence
        self.confirmed_at = claimed_at
        self.former_heartbeat_at = former_heartbeat_at
        self.metrics = metrics
        self.on_lost = on_lost
        self.advisor = advisor
        run_numbers = RunNumbers.for_term(fence)
        self.scheduler = Scheduler(stop_seconds=stop_seconds, run_numbers=run_numbers)
        self.scheduler.catalog = catalog
        self.ignored = IgnoredValues(metrics, now)
        self.committer = Committer(store, self.scheduler, fence, metrics, self._handle_stored_jobs)
        self.wait_gauges = WaitGauges(metrics)
        self.job_retention = JobRetention(store, self.scheduler, fence)
        self.interference_store = InterferenceStore(
            store, self.scheduler.interference, fence, self.ignored
        )
        self.zone_drain_watch = ZoneDrainWatch(
            store, self.scheduler, zone_drain_seconds, metrics, self.ignored
        )
        self.agents = AgentRegistry(
            store, self.scheduler, fence, self._make_link, metrics, self.ignored
        )
        self.plan_due = Event()
        self.heartbeat_due = Event()
        self.is_ready = False
        self.is_lost = False
        self.is_releasing = False
        self.heartbeat_count = 0
        self.unconfirmed_items: dict[str, Item] = {}
        self.greenlets: list[gevent.Greenlet] = []

    @property
    def authority_seconds(self) -> float:
        """Seconds for which this owner may issue grants and commands without another heartbeat."""
        return self.confirmed_at + AUTHORITY_SECONDS - now()

    def start(self) -> None:
        """Begin the term: send heartbeats and read the jobs."""
        self._spawn(self._heartbeat_forever)
        self._spawn(self._take_over)

    def stop(self) -> None:
        """End the term: no command is sent and nothing is written any more."""
        self.is_lost = True
        gevent.killall(self.greenlets, block=False)
        self.metrics.set("owner_epoch", 0)

    def release(self) -> None:
        """Store changed jobs and clear the owner key, so that another entry can take over at once.

        Nothing is started meanwhile. Once the key is cleared another entry may own the jobs, even
        if the answer to that write is lost.
        """
        self.is_releasing = True
        try:
            with gevent.Timeout(1.0, False):
                while self.scheduler.dirty and self.committer.commit_batch():
                    pass
        except AcaciastandError as error:
            logger.warning("progress of jobs not stored", extra={"error": str(error)})
        self._clear_key()
        self.stop()

    def _clear_key(self) -> None:
        """Clear the owner key, so that the next entry that reads it claims the ownership."""
        try:
            self.store.commit({OWNER_KEY: self.fence}, {OWNER_KEY: b""})
            logger.info("ownership released", extra={"epoch": self.record.epoch})
        except AcaciastandError as error:
            logger.warning("ownership not released", extra={"error": str(error)})

    # Stored items

    def apply_item(self, item: Item) -> None:
        """Apply a stored submission or cancellation, or the registration of an agent.

        Another owner that was elected before the item was stored starts the job at once, and takes
        the agent for one on which no former owner has started anything. Without a recent heartbeat,
        the item is therefore kept until the next one shows that there is no other owner.
        """
        if self.is_releasing or not self._is_confirmed():
            self.unconfirmed_items[item.key] = item
            return
        if item.key.startswith(JOBS_PREFIX):
            job_id = item.key[len(JOBS_PREFIX) :]
            if job_id not in self.scheduler.jobs:
                self._add_new_job(job_id, item)
        elif item.key.startswith(CANCELS_PREFIX):
            job_id = item.key[len(CANCELS_PREFIX) :]
            self.scheduler.cancel_job(job_id, now(), now_unix())
            self.committer.commit_due.set()
        elif item.key.startswith(AGENTS_PREFIX):
            self.agents.add(item, None)
        self.plan_due.set()

    def _is_confirmed(self) -> bool:
        """Return whether no other owner had been elected before what was stored just now."""
        return now() - self.confirmed_at <= CONFIRMATION_VALID_SECONDS

    def _add_new_job(self, job_id: str, item: Item) -> None:
        try:
            job = decode_job(job_id, item.value)
        except StoredItemUnreadable as error:
            return self.ignored.record(JOBS_PREFIX, error)
        self.scheduler.add_job(job)
        log_accepted(job, item.revision, self.scheduler.catalog)

    def job_state(self, job_id: str) -> JobState | None:
        """Return the state of a job as callers see it; None if the owner does not know the job."""
        job = self.scheduler.jobs.get(job_id)
        if job is None:
            return None
        if job.stored_state == JobState.PENDING and job.has_started:
            return JobState.RUNNING
        return job.stored_state

    def count_waiting(self) -> dict[str, int]:
        """Return the number of accepted jobs that have not begun, by queue.

        Raises
        ------
        Refused
            Another owner may have been elected meanwhile and have accepted jobs.
        """
        if not self._is_confirmed():
            raise Refused("the ownership was not confirmed lately", "ask again later")
        return self.scheduler.count_waiting()

    # Takeover

    def _take_over(self) -> None:
        """Read the jobs and start all loops; release the ownership if the jobs cannot be read."""
        for _ in range(LOAD_ATTEMPTS):
            if self._load():
                break
            gevent.sleep(RETRY_SECONDS)
        else:
            # The store may refuse this host only. Its heartbeats then pass through peers, but the
            # lists of jobs do not, and another entry can read them.
            self.is_releasing = True
            self._clear_key()
            self._lose_ownership("the jobs cannot be read")
            return
        self.is_ready = True
        self._spawn(self._commit_forever)
        self._spawn(self._plan_forever)
        self._spawn(self._watch_inbox)
        self._spawn(self._watch_agents)
        self._spawn(self._remove_silent_agents)
        self._spawn(self.zone_drain_watch.follow_forever)
        self._spawn(self.job_retention.remove_forever)
        self._spawn(self.interference_store.store_forever)
        if self.advisor is not None:
            self._spawn(
                partial(advise_forever, self.advisor, self.scheduler, self.metrics, self.plan_due)
            )

    def _load(self) -> bool:
        """Read agents and jobs from the store and return whether that succeeded."""
        started_at = now()
        try:
            stored = StoredState.read(self.store)
            self.interference_store.load()
            self.zone_drain_watch.load()
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.warning(
                "takeover delayed: the store cannot be read", extra={"error": str(error)}
            )
            return False
        # Grants of a former owner end with its authority, which counts from its last stored
        # heartbeat.
        granted_until = max(now(), self.former_heartbeat_at + AUTHORITY_SECONDS * CLOCK_DRIFT)
        for item in stored.agents.items:
            self.agents.add(item, granted_until)
        self._load_jobs(stored)
        self.agents_revision = stored.agents.revision
        self.inbox_revision = stored.inbox.revision
        logger.info(
            "took over",
            extra={
                "epoch": self.record.epoch,
                "jobs": len(self.scheduler.jobs),
                "agents": len(self.agents.links),
                "highest_former_run": self.scheduler.run_numbers.highest_former,
                "seconds": round(now() - started_at, 3),
            },
        )
        self.metrics.set("owner_epoch", self.record.epoch)
        return True

    def _load_jobs(self, stored: StoredState) -> None:
        is_confirmed = self._is_confirmed()
        for item, job in stored.jobs(self.ignored.recorder(JOBS_PREFIX)):
            # Only this owner can have started a job that was accepted after its claim, unless
            # another one has been elected since.
            self.scheduler.add_job(job, certain=is_confirmed and item.revision > self.fence)
        self.scheduler.check_attempts(now(), now_unix())
        for item in stored.cancels:
            self.apply_item(item)

    # Loops

    def _spawn(self, loop: Callable[[], None]) -> None:
        self.greenlets = [greenlet for greenlet in self.greenlets if not greenlet.dead]
        self.greenlets.append(gevent.spawn(supervised(loop, self.metrics)))

    def _lose_ownership(self, reason: str) -> None:
        if not self.is_lost:
            logger.warning("ownership lost", extra={"epoch": self.record.epoch, "why": reason})
            self.on_lost(self)

    def _heartbeat_forever(self) -> None:
        while True:
            self.heartbeat_count += 1
            self.heartbeat_due.clear()
            sent_at = now()
            try:
                revision = self.store.commit(
                    {OWNER_KEY: self.fence},
                    {OWNER_HEARTBEAT_KEY: encode_fields(self.heartbeat_count)},
                )
                self.scheduler.run_numbers.record_stored(revision)
                self._record_confirmation(sent_at)
            except CommitConflict:
                return self._lose_ownership("the owner key was rewritten")
            except (StoreUnavailable, StoreAnswerLost) as error:
                logger.debug("owner heartbeat not stored", extra={"error": str(error)})
                gevent.sleep(RETRY_SECONDS)
                continue
            self.heartbeat_due.wait(OWNER_HEARTBEAT_SECONDS)

    def _record_confirmation(self, sent_at: float) -> None:
        """Record that the heartbeat sent at `sent_at` is stored, and apply the kept items."""
        self.confirmed_at = sent_at
        if self.unconfirmed_items and not self.is_releasing:
            items, self.unconfirmed_items = self.unconfirmed_items, {}
            for item in items.values():
                self.apply_item(item)

    def _commit_forever(self) -> None:
        try:
            self.committer.run()
        except OwnershipLost as error:
            self._lose_ownership(str(error))

    def _plan_forever(self) -> None:
        while True:
            self.plan_due.wait(MAX_PLAN_INTERVAL_SECONDS)
            gevent.sleep(PLAN_DELAY_SECONDS)
            self.plan_due.clear()
            self._plan()

    def _plan(self) -> None:
        if self.is_releasing or self.authority_seconds <= 0:
            return
        for worker in self.scheduler.workers.values():
            worker.reachable = self.agents.links[worker.agent_id].connection is not None
        starts, stops = self.scheduler.plan(now(), now_unix(), self.confirmed_at)
        if self.confirmed_at <= self.scheduler.unconfirmed_grant_end:
            self.heartbeat_due.set()
        for start in starts:
            gevent.spawn(self._send_start, start)
        for stop in stops:
            gevent.spawn(self._send_stop, stop)
        if self.scheduler.dirty:
            self.committer.commit_due.set()
        decisions, self.scheduler.decisions = self.scheduler.decisions, []
        log_decisions(decisions, self.metrics, self.record.epoch, now() - self.confirmed_at)
        self.wait_gauges.update(self.scheduler)

    def _send_start(self, start: StartDecision) -> None:
        decided_at = now()
        worker = self.scheduler.workers[start.agent_id]
        run = start.command.run
        link = self.agents.links[start.agent_id]
        if self.is_lost or self.is_releasing or self.authority_seconds <= 0:
            outcome, position = StartOutcome.REFUSED, PollPosition()
        else:
            outcome, position = link.start_run(worker.born_ms, start.command)
        self.metrics.observe("start_seconds", now() - decided_at)
        self.scheduler.process_start_result(start.task, run, outcome, position, now())
        self.plan_due.set()

    def _send_stop(self, stop: StopDecision) -> None:
        if self.is_lost or self.authority_seconds <= 0:
            return
        sent_at = now()
        outcome, position = self.agents.links[stop.agent_id].stop_run(stop.task_key, stop.run)
        if outcome == StartOutcome.STARTED and stop.is_tracked:
            self.scheduler.process_stop_result(stop.task_key, stop.run, position, sent_at, now())

    def _handle_report(self, link: AgentLink, report: AgentReport) -> RunGrant:
        """Apply the report of an agent and return the grant that answers it."""
        if self.is_lost:
            return RunGrant()
        events_before = self.scheduler.event_count
        self.scheduler.process_report(link.agent_id, report, now(), now_unix())
        if self.scheduler.event_count != events_before:
            self.plan_due.set()
        worker = self.scheduler.workers[link.agent_id]
        seconds = max(0.0, min(GRANT_SECONDS, self.authority_seconds))
        alive_seconds = max(seconds * CLOCK_DRIFT, report.alive_seconds) + REPLY_MARGIN_SECONDS
        worker.granted_until = max(worker.granted_until, now() + alive_seconds)
        services, batch_costs = encode_batch_costs(self.scheduler.batch_costs(worker), worker)
        return RunGrant(
            seconds,
            worker.born_ms,
            self.scheduler.acknowledge_stored_ends(worker),
            [
                [task, limits.target_ms, limits.uses_leftover]
                for task, limits in self.scheduler.limits_of(report.untold_tasks).items()
            ],
            services,
            batch_costs,
            self.scheduler.stored_crash_ms(worker),
        )

    def _handle_stored_jobs(self, jobs: list[Job]) -> None:
        """Measure the jobs that ended and acknowledge the ends of runs that are stored now."""
        measure_ended(jobs, self.metrics)
        for worker in self.scheduler.workers.values():
            if worker.pending_ends:
                acknowledged_before = worker.acknowledged
                number = self.scheduler.acknowledge_stored_ends(worker)
                if number > acknowledged_before:
                    gevent.spawn(
                        self.agents.links[worker.agent_id].send_stored_ends, worker.born_ms, number
                    )

    def _watch_inbox(self) -> None:
        follow_prefix(
            self.store, INBOX_PREFIX, self.inbox_revision, INBOX_WAIT_SECONDS, self._apply_items
        )

    def _watch_agents(self) -> None:
        follow_prefix(
            self.store, AGENTS_PREFIX, self.agents_revision, AGENTS_WAIT_SECONDS, self._apply_items
        )

    def _apply_items(self, items: list[Item]) -> None:
        for item in sorted(items, key=lambda item: item.key.startswith(CANCELS_PREFIX)):
            self.apply_item(item)

    def _remove_silent_agents(self) -> None:
        while True:
            gevent.sleep(REMOVAL_INTERVAL_SECONDS)
            if self.is_releasing or not self._is_confirmed():
                continue
            try:
                self.agents.remove_silent(self.confirmed_at)
            except OwnershipLost as error:
                return self._lose_ownership(str(error))

    def _make_link(self, agent_id: str, address: str) -> AgentLink:
        """Return a link to an agent that is dialled from now on."""
        link = AgentLink(
            agent_id,
            address,
            self.record.entry_id,
            self.record.epoch,
            self._handle_report,
            lambda epoch: self._lose_ownership(f"an agent follows epoch {epoch}"),
            self.ignored,
        )
        self._spawn(link.run)
        return link
