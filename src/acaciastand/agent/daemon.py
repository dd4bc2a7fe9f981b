"""The agent: wiring of the host aggregate to entries, target and worker."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import gevent
from gevent.event import Event

from acaciastand.agent.executor import CounterSink, RequestExecutor
from acaciastand.agent.link import Link, LinkEvents
from acaciastand.agent.links import Links
from acaciastand.agent.reporter import Reporter
from acaciastand.agent.runner import Runner
from acaciastand.agent.shedder import Shedder
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

ADJUST_SECONDS = 0.2
DRAIN_SECONDS = 60.0  # a planned stop that takes longer is given up; grants then lapse
DRAIN_POLL_SECONDS = 0.05

log = logging.getLogger(__name__)


class Agent(LinkEvents):
    """The daemon of one host.

    Parameters
    ----------
    settings
        The process settings file.
    clock
        Monotonic seconds.
    rng
        Source of jitter.
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
        self.effective = EffectiveSettings()
        self.host = Host(settings.services, settings.slots, settings.connections)
        self.target = TargetClient(settings.target_url)
        self.worker = WorkerClient(settings.worker_url, clock)
        self.executor = RequestExecutor(self.host, self.target, counters, clock)
        self.stopped = Event()
        self.stopping = False
        self.exit_code = 0
        self.runner = Runner(self.host, self.worker, self.target, counters, clock, self._superseded)
        self.links = Links(settings.entries, settings.availability_zone, self, rng)
        self.shedder = Shedder(
            self.host,
            self.executor,
            counters,
            clock,
            self.runner.wake.set,
            self._region_surging,
        )
        self.reporter = Reporter(self.host, self.links, counters, clock)
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start polling; entries are dialled once it is known what runs on this host."""
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
        """End everything without draining."""
        gevent.killall(self._tasks)
        self.links.close()
        self.target.close()
        self.worker.close()

    def request_stop(self) -> None:
        """Drain in the background, then set `stopped`."""
        if not self.stopping:
            self.stopping = True
            gevent.spawn(self._drain_and_stop)

    def hello(self) -> Hello:
        """Return the announcement of this host."""
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
            settings_revision=self.effective.revision,
            attempts=self._listed_attempts(),
            path=self.settings.path,
        )

    def welcomed(self, link: Link, welcome: Welcome) -> None:
        """Take directory, settings and owned shards."""
        log.info("connected to entry %s at %s", welcome.entry_id, link.address)
        self._observe_epochs(link)
        self.links.update_directory(link.address, welcome.entries)
        self._apply(welcome.settings_revision, welcome.settings)

    def heartbeat(self, link: Link, sequence: int) -> Heartbeat:
        """Record the sending and return the heartbeat."""
        self.host.record_heartbeat(link.name, sequence, self.clock())
        return Heartbeat(
            sequence=sequence,
            in_flight=self.host.requests.slots.in_flight,
            free=self.host.free_resources,
            settings_revision=self.effective.revision,
            target_healthy=self.host.target_up,
            draining=self.host.draining,
            attempts=self._listed_attempts(),
        )

    def heartbeat_answered(self, link: Link, reply: HeartbeatReply) -> None:
        """Extend the renewed grants, as far as the entry still owns their shards."""
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

    def received(self, link: Link, message: Message) -> Message | None:
        """Handle one message of an entry."""
        if isinstance(message, Execute):
            return self.executor.execute(message)
        if isinstance(message, GrantAttempt):
            return self._grant(link, message)
        if isinstance(message, StopAttempt):
            self._stop(link, message)
        elif isinstance(message, SettingsUpdate):
            self._apply(message.revision, message.settings)
        elif isinstance(message, Directory):
            self.links.update_directory(link.address, message.entries)
        else:
            self.counters.increment("agent.messages.unexpected")
        return None

    def protocol_error(self, link: Link, error: ProtocolError) -> None:
        """Count and log a frame that cannot be read."""
        if isinstance(error, VersionRefused):
            self.counters.increment("agent.wire.version_refused")
            log.error("protocol version of %s refused: %s", link.address, error)
            return
        self.counters.increment("agent.wire.protocol_errors")
        log.warning("foreign frame of %s: %s", link.address, error)

    def closed(self, link: Link) -> None:
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

    def _region_surging(self) -> bool:
        return any(link.surging for link in self.links.links.values())

    def _observe_epochs(self, link: Link) -> None:
        for shard, epoch in link.owned.items():
            self.host.observe_epoch(shard, epoch)

    def _is_owner(self, link: Link, shard: int) -> bool:
        return shard in link.owned and link.owned[shard] >= self.host.epochs.get(shard, 0)

    def _grant(self, link: Link, message: GrantAttempt) -> GrantReply:
        fields = {name: getattr(message, name) for name in Grant.fields()}
        reason = self.host.accept_grant(link.name, Grant(**fields), self.clock())
        if reason is None:
            self.runner.wake.set()
            tracked = self.host.ledger.find_attempt(message.task_id, message.attempt)
            if tracked is not None and tracked.is_bucket:
                # entries route by announcements; the interval is up to 5 s
                self.links.send_heartbeats_now()
        else:
            self.counters.increment(f"agent.grants.not_run.{reason}")
        return GrantReply(
            message.shard, message.task_id, message.attempt, reason is None, reason or ""
        )

    def _stop(self, link: Link, message: StopAttempt) -> None:
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

    def _report_unknown_attempt(self, link: Link, message: StopAttempt) -> None:
        # Sent once; the owner repeats its stop when the report is lost.
        report = AttemptReport(
            message.shard, message.task_id, message.attempt, AttemptResult.STOPPED
        )
        self.reporter.send_once(link, report)

    def _apply(self, revision: int, values: dict[str, object]) -> None:
        if revision < self.effective.revision or not values:
            return
        self.effective = EffectiveSettings(values, revision)
        self.host.grant_seconds = self.effective.grant_seconds
        self.host.requests.set_key_window(self.effective.key_window_seconds)
        self.shedder.apply(self.effective)
        self.links.fanout = self.effective.entry_fanout
        apply_level(self.effective.log_level, self.settings.log_level)
        self._apply_draining(self.settings.agent_id in self.effective.draining)
        self.links.send_heartbeats_now()  # confirms the revision without waiting for the interval

    def _apply_draining(self, draining: bool) -> None:
        if draining and not self.host.draining:
            self._begin_drain("settings")
        elif not draining and self.host.draining and not self.stopping:
            self.host.end_drain()

    def _begin_drain(self, reason: str) -> None:
        log.info("draining: %s", reason)
        self.host.drain()
        self.runner.wake.set()
        gevent.spawn(self._announce_drain, reason)

    def _announce_drain(self, reason: str) -> None:
        for link in list(self.links.links.values()):
            try:
                if link.is_open and link.connection is not None:
                    link.connection.send(Drain(reason))
            except AcaciastandError:
                self.counters.increment("agent.drain.not_announced")

    def _drain_and_stop(self) -> None:
        self._begin_drain("planned stop")
        deadline = self.clock() + DRAIN_SECONDS
        while not self.host.is_drained and self.clock() < deadline:
            gevent.sleep(DRAIN_POLL_SECONDS)
        if not self.host.is_drained:
            log.warning("stopping with %d attempts held", len(self.host.ledger.attempts))
        self.stopped.set()

    def _superseded(self) -> None:
        log.error("a newer agent process uses this worker; stopping without draining")
        self.exit_code = 1
        self.stopped.set()

    def _adjust_links(self) -> None:
        self.runner.recovered.wait()
        while True:
            needed: list[Attempt] = list(self.host.ledger)
            self.links.adjust({attempt.grant.shard for attempt in needed})
            gevent.sleep(ADJUST_SECONDS)
