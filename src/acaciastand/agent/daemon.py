"""Agent daemon: connects the host aggregate with entries, target and worker."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import gevent
from gevent.event import Event

from acaciastand.agent.entry_link import EntryLink, EntryLinkHandler
from acaciastand.agent.entry_link_pool import EntryLinkPool
from acaciastand.agent.executor import CounterSink, RequestExecutor
from acaciastand.agent.reporter import ResultReporter
from acaciastand.agent.runner import CommandRunner
from acaciastand.agent.shedder import LoadShedder
from acaciastand.errors import AcaciastandError
from acaciastand.host import Attempt, AttemptResult, Grant, Host
from acaciastand.platform.target_client import TargetClient
from acaciastand.platform.worker_client import WorkerClient
from acaciastand.settings.process import AgentSettings
from acaciastand.settings.schema import EffectiveSettings
from acaciastand.telemetry import apply_level
from acaciastand.wire.codec import ProtocolError, VersionRefused
from acaciastand.wire.messages import (
    AttemptReport,
    Directory,
    Drain,
    Execute,
    GrantAttempt,
    GrantReply,
    Heartbeat,
    HeartbeatReply,
    HeldAttempt,
    Hello,
    Message,
    SettingsUpdate,
    StopAttempt,
    Welcome,
)

LINK_ADJUST_INTERVAL_SECONDS = 0.2
# A planned stop does not wait longer than this; grants of the remaining attempts then expire.
MAX_DRAIN_SECONDS = 60.0
DRAIN_POLL_INTERVAL_SECONDS = 0.05

log = logging.getLogger(__name__)


class Agent(EntryLinkHandler):
    """Daemon of one host.

    Parameters
    ----------
    settings
        Settings of the process, from its file.
    counters
        Counters of the process.
    clock
        Returns monotonic seconds.
    rng
        Source of jitter.

    Attributes
    ----------
    effective_settings
        Settings from the settings tree, at the highest revision received.
    stopped
        Event that is set when the process is to exit.
    stopping
        Whether a planned stop has been requested.
    exit_code
        Exit code of the process.
    """

    def __init__(
        self,
        settings: AgentSettings,
        counters: CounterSink,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.counters = counters
        self.clock = clock
        self.effective_settings = EffectiveSettings()
        self.host = Host(settings.services, settings.slots, settings.connections)
        self.target = TargetClient(settings.target_url)
        self.worker = WorkerClient(settings.worker_url, clock)
        self.executor = RequestExecutor(self.host, self.target, counters, clock)
        self.stopped = Event()
        self.stopping = False
        self.exit_code = 0
        self.runner = CommandRunner(
            self.host, self.worker, self.target, counters, clock, self._on_superseded
        )
        self.link_pool = EntryLinkPool(settings.entries, settings.availability_zone, self, rng)
        self.shedder = LoadShedder(
            self.host,
            self.executor,
            counters,
            clock,
            self.runner.wake.set,
            self._is_region_surging,
        )
        self.reporter = ResultReporter(self.host, self.link_pool, counters, clock)
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start polling; links to entries follow when it is known what runs on this host."""
        loops = (
            self.runner.poll_worker,
            self.runner.poll_target,
            self.runner.run_commands,
            self._adjust_links,
            self.reporter.run,
            self.shedder.run,
        )
        self._tasks = [gevent.spawn(loop) for loop in loops]

    def close(self) -> None:
        """Stop all loops and close all connections, without draining."""
        gevent.killall(self._tasks)
        self.link_pool.close()
        self.target.close()
        self.worker.close()

    def request_stop(self) -> None:
        """Drain in the background, then set `stopped`."""
        if not self.stopping:
            self.stopping = True
            gevent.spawn(self._drain_and_stop)

    def build_hello(self) -> Hello:
        """Return the announcement of this host, for a new connection."""
        return Hello(
            agent_id=self.settings.agent_id,
            incarnation=self.runner.incarnation,
            availability_zone=self.settings.availability_zone,
            rack=self.settings.rack,
            capacity=self.host.capacity,
            slots=self.settings.slots,
            connections=self.settings.connections,
            services=list(self.settings.services),
            target_healthy=self.host.target_up,
            draining=self.host.draining,
            settings_revision=self.effective_settings.revision,
            attempts=self._listed_attempts(),
            path=self.settings.path,
        )

    def on_welcome(self, link: EntryLink, welcome: Welcome) -> None:
        """Apply the epochs of the entry's shards, its directory and the settings."""
        log.info("connected to entry %s at %s", welcome.entry_id, link.address)
        self._observe_epochs(link)
        self.link_pool.update_directory(link.address, welcome.entries)
        self._apply_settings(welcome.settings_revision, welcome.settings)

    def prepare_heartbeat(self, link: EntryLink, sequence: int) -> Heartbeat:
        """Record the send time of a heartbeat and return the heartbeat."""
        self.host.record_heartbeat(link.name, sequence, self.clock())
        return Heartbeat(
            sequence=sequence,
            in_flight=self.host.requests.slots.in_flight,
            free=self.host.free_resources,
            settings_revision=self.effective_settings.revision,
            target_healthy=self.host.target_up,
            draining=self.host.draining,
            attempts=self._listed_attempts(),
        )

    def on_heartbeat_reply(self, link: EntryLink, reply: HeartbeatReply) -> None:
        """Extend the renewed grants of the shards that the entry still owns."""
        self._observe_epochs(link)
        now = self.clock()
        for name in reply.renewed:
            attempt = self.host.ledger.find_attempt(name.task_id, name.attempt)
            if attempt is None or not self._is_owner(link, attempt.grant.shard):
                self.counters.increment("agent.renewals.refused")
                continue
            self.host.renew_grant(
                link.name, reply.sequence, name.task_id, name.attempt, reply.grant_seconds, now
            )
        self.runner.wake.set()

    def on_message(self, link: EntryLink, message: Message) -> Message | None:
        """Handle a message from an entry and return the reply, or None."""
        if isinstance(message, Execute):
            return self.executor.execute(message)
        if isinstance(message, GrantAttempt):
            return self._handle_grant(link, message)
        if isinstance(message, StopAttempt):
            self._handle_stop(link, message)
        elif isinstance(message, SettingsUpdate):
            self._apply_settings(message.revision, message.settings)
        elif isinstance(message, Directory):
            self.link_pool.update_directory(link.address, message.entries)
        else:
            self.counters.increment("agent.messages.unexpected")
        return None

    def on_protocol_error(self, link: EntryLink, error: ProtocolError) -> None:
        """Count and log a frame that cannot be decoded."""
        if isinstance(error, VersionRefused):
            self.counters.increment("agent.wire.version_refused")
            log.error("protocol version of entry %s refused: %s", link.address, error)
            return
        self.counters.increment("agent.wire.protocol_errors")
        log.warning("closing the connection to entry %s: unreadable frame: %s", link.address, error)

    def on_closed(self, link: EntryLink) -> None:
        """Refuse grants of the closed connection from now on."""
        self.host.heartbeats.forget_link(link.name)

    def _listed_attempts(self) -> list[HeldAttempt]:
        return [
            HeldAttempt(
                attempt.grant.shard,
                attempt.grant.epoch,
                attempt.task_id,
                attempt.number,
                attempt.state,
                attempt.counted_resources,
            )
            for attempt in self.host.ledger
        ]

    def _is_region_surging(self) -> bool:
        return any(link.surging for link in self.link_pool.links.values())

    def _observe_epochs(self, link: EntryLink) -> None:
        for shard, epoch in link.owned_epochs.items():
            self.host.observe_epoch(shard, epoch)

    def _is_owner(self, link: EntryLink, shard: int) -> bool:
        return shard in link.owned_epochs and link.owned_epochs[shard] >= self.host.epochs.get(
            shard, 0
        )

    def _handle_grant(self, link: EntryLink, message: GrantAttempt) -> GrantReply:
        fields = {name: getattr(message, name) for name in Grant.fields()}
        reason = self.host.accept_grant(link.name, Grant(**fields), self.clock())
        if reason is None:
            self.runner.wake.set()
            tracked = self.host.ledger.find_attempt(message.task_id, message.attempt)
            if tracked is not None and tracked.is_bucket:
                # Entries route keys by the listed buckets; the next heartbeat may be 5 s away.
                self.link_pool.send_heartbeats_now()
        else:
            self.counters.increment(f"agent.grants.not_run.{reason}")
        return GrantReply(
            message.shard, message.task_id, message.attempt, reason is None, reason or ""
        )

    def _handle_stop(self, link: EntryLink, message: StopAttempt) -> None:
        reason = self.host.stop_attempt(
            message.shard,
            message.epoch,
            message.task_id,
            message.attempt,
            message.keep_progress,
            self.clock(),
        )
        if reason is not None:
            self.counters.increment(f"agent.stops.refused.{reason}")
            return
        self.runner.wake.set()
        tracked = self.host.ledger.attempts.get(message.task_id)
        if tracked is None or tracked.number > message.attempt:
            self._report_unknown_attempt(link, message)

    def _report_unknown_attempt(self, link: EntryLink, message: StopAttempt) -> None:
        # Sent only once, because the owner repeats its stop when the report is lost.
        report = AttemptReport(
            message.shard, message.task_id, message.attempt, AttemptResult.STOPPED
        )
        self.reporter.send_once(link, report)

    def _apply_settings(self, revision: int, values: dict[str, object]) -> None:
        if revision < self.effective_settings.revision or not values:
            return
        self.effective_settings = EffectiveSettings(values, revision)
        self.host.grant_seconds = self.effective_settings.grant_seconds
        self.host.requests.set_key_window(self.effective_settings.key_window_seconds)
        self.shedder.apply_settings(self.effective_settings)
        self.link_pool.fanout = self.effective_settings.entry_fanout
        apply_level(self.effective_settings.log_level, self.settings.log_level)
        self._apply_draining(self.settings.agent_id in self.effective_settings.draining)
        # These heartbeats confirm the revision without waiting for the interval.
        self.link_pool.send_heartbeats_now()

    def _apply_draining(self, draining: bool) -> None:
        if draining and not self.host.draining:
            self._begin_drain("settings")
        elif not draining and self.host.draining and not self.stopping:
            self.host.end_drain()

    def _begin_drain(self, reason: str) -> None:
        log.info("draining the host: %s", reason)
        self.host.drain()
        self.runner.wake.set()
        gevent.spawn(self._announce_drain, reason)

    def _announce_drain(self, reason: str) -> None:
        for link in list(self.link_pool.links.values()):
            try:
                if link.is_open and link.connection is not None:
                    link.connection.send(Drain(reason))
            except AcaciastandError:
                self.counters.increment("agent.drain.not_announced")

    def _drain_and_stop(self) -> None:
        self._begin_drain("planned stop")
        deadline = self.clock() + MAX_DRAIN_SECONDS
        while not self.host.is_drained and self.clock() < deadline:
            gevent.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        if not self.host.is_drained:
            log.warning(
                "stopping with %d attempts still running or unconfirmed",
                len(self.host.ledger.attempts),
            )
        self.stopped.set()

    def _on_superseded(self) -> None:
        log.error("a newer agent process uses this worker; stopping without draining")
        self.exit_code = 1
        self.stopped.set()

    def _adjust_links(self) -> None:
        self.runner.recovered.wait()
        while True:
            attempts: list[Attempt] = list(self.host.ledger)
            self.link_pool.adjust({attempt.grant.shard for attempt in attempts})
            gevent.sleep(LINK_ADJUST_INTERVAL_SECONDS)
