"""Wiring of the entry daemon."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any, Protocol

import gevent
from gevent.event import Event

from acaciastand.coordination.lease import LeaseSession
from acaciastand.coordination.store import KeyValueStore
from acaciastand.entry.agent_messages import AgentMessageHandler, SettingsSource, TaskOwner
from acaciastand.entry.agents import AgentRegistry, AgentSession, AgentStatus
from acaciastand.entry.forwarding import CALL, PeerForwarder, request_of, result_of
from acaciastand.entry.http import CallerServer, build_app
from acaciastand.entry.http_jobs import JobResource, JobsResource
from acaciastand.entry.http_requests import RequestsResource
from acaciastand.entry.http_status import LiveResource, ReadyResource, StatusResource
from acaciastand.entry.jobs import JobCalls, JobOwner
from acaciastand.entry.membership import StoreMembership
from acaciastand.entry.peers import Peer, Peers
from acaciastand.entry.requests import RequestService
from acaciastand.entry.settings_http import add_settings_routes
from acaciastand.entry.settings_service import SettingsService
from acaciastand.errors import AcaciastandError
from acaciastand.routing import Deadline, LeastLoadedOfTwo, Router
from acaciastand.settings.confirmation import Confirmations, InForce
from acaciastand.settings.process import EntrySettings
from acaciastand.telemetry import Counters, apply_level
from acaciastand.wire.codec import VersionRefused
from acaciastand.wire.connection import Connection, Listener
from acaciastand.wire.messages import (
    Directory,
    EntryAddress,
    Message,
    PeerHeartbeat,
)

LEASE_SECONDS = 4.0  # a dead entry's shards are free after this time
EXPIRY_SECONDS = 0.25  # between two looks at missed heartbeats
READY_SECONDS = 1.0  # for the balancer to notice that /readyz fails
ANNOUNCEMENT_SECONDS = 10.0  # twice the longest pause of an agent between two dials
STOP_SECONDS = 62.0  # longest timeout of a request, and time to write its answer
POLL_SECONDS = 0.02
SNAPSHOT = "settings_snapshot"
SNAPSHOT_SECONDS = 5.0

logger = logging.getLogger(__name__)


class Owner(TaskOwner, JobOwner, Protocol):
    """The service that owns shards."""

    def start(self) -> None:
        """Begin to claim shards."""

    def stop(self) -> None:
        """Release all shards."""


class Settings(SettingsSource, Protocol):
    """The service that holds the operators' settings."""

    def start(self) -> None:
        """Begin to follow the store."""

    def stop(self) -> None:
        """Stop following."""

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a peer."""

    def adopt_snapshot(self, snapshot: dict[str, Any]) -> object:
        """Take over a peer's state if it is newer."""

    def on_change(self, callback: Callable[[int], None]) -> None:
        """Call `callback` with each new revision."""


# Arguments: store, entry id, lease, number of shards, agents, settings.
OwnerFactory = Callable[[KeyValueStore, str, LeaseSession, int, AgentRegistry, Settings], Owner]


class EntryDaemon:
    """One entry.

    Parameters
    ----------
    settings
        The settings file.
    store
        Platform's key-value service.
    settings_service
        Operators' settings.
    make_owner
        Makes the service that owns shards.
    rng
        Source of randomness for the choice of targets.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: KeyValueStore,
        settings_service: SettingsService,
        make_owner: OwnerFactory,
        counters: Counters,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.settings_service = settings_service
        self.counters = counters
        self.clock = clock
        self.stopping = False
        self.started = False
        self.started_at = 0.0
        self._stack = ExitStack()
        self._ended = Event()
        self.own = EntryAddress(
            settings.entry_id, settings.peer_address, settings.availability_zone
        )
        self.router = self._make_router(rng or random.Random())
        self.registry = AgentRegistry(self.router, self._agent_gone)
        self.lease = LeaseSession(store, LEASE_SECONDS)
        self.owner = make_owner(
            store,
            settings.entry_id,
            self.lease,
            settings.shards,
            self.registry,
            settings_service,
        )
        self.peers = Peers(
            self.own,
            settings.entries,
            self._report,
            self._on_call,
            self._directory_changed,
            self._catch_up,
            clock,
        )
        self.requests = RequestService(
            self.router, self.registry, PeerForwarder(self.peers, clock), counters, clock
        )
        self.jobs = JobCalls(self.owner, self.peers, settings.shards, counters, clock)
        self.agent_messages = AgentMessageHandler(
            self.own,
            settings.path,
            self.registry,
            self.owner,
            settings_service,
            self.peers.directory,
            clock,
            self.requests.surges.surging,
        )
        self.membership = StoreMembership(
            store, self.lease, self.own, self.peers.add_entries, clock
        )
        self.listener = Listener(
            settings.peer_address, self._handle, self.agent_messages.closed, self._protocol_error
        )
        self.app = build_app(self._routes(), counters)
        add_settings_routes(self.app, settings_service, self.in_force)
        self.http = CallerServer(settings.http_address, self.app)

    def start(self) -> None:
        """Bind the listeners and start all parts; nothing waits for the store.

        Raises
        ------
        OSError
            An address is in use or not of this host.
        """
        with ExitStack() as stack:
            self.listener.start()
            stack.callback(self.listener.close)
            self.http.start()
            stack.callback(self.http.stop, 0.0)
            self.own.address = self.listener.address
            self._start_components(stack)
            self._stack = stack.pop_all()
        self.started = True
        self.started_at = self.clock()
        logger.info("entry started", extra={"entry_id": self.own.entry_id})

    def request_stop(self) -> None:
        """Ask `run` to return; safe in a signal handler."""
        self._ended.set()

    def run(self) -> None:
        """Serve until `request_stop`, then stop without interrupting a request."""
        self._ended.wait()
        self.stop()

    def stop(self) -> None:
        """Fail /readyz, accept no more, finish requests, release shards, close connections."""
        self.stopping = True
        logger.info("entry stops", extra={"entry_id": self.own.entry_id})
        gevent.sleep(READY_SECONDS)
        self.http.begin_stop()
        self.listener.stop_accepting()
        self._wait_for_requests()
        self._stack.close()
        logger.info("entry stopped", extra={"entry_id": self.own.entry_id})

    def _make_router(self, rng: random.Random) -> Router:
        chooser = LeastLoadedOfTwo(self.settings.availability_zone)
        effective = self.settings_service.effective(self.settings.path)
        return Router(chooser, rng, effective.max_ejected, effective.retry_budget)

    def _routes(self) -> dict[str, Any]:
        return {
            "/livez": LiveResource(),
            "/readyz": ReadyResource(self._readiness_problem),
            "/v1/status": StatusResource(self.status),
            "/v1/services/{service}/requests": RequestsResource(
                self.requests, self._default_timeout_ms, self.clock
            ),
            "/v1/jobs": JobsResource(self.jobs, self.clock),
            "/v1/jobs/{job_id}": JobResource(self.jobs, self.clock),
        }

    def _start_components(self, stack: ExitStack) -> None:
        self.settings_service.on_change(self._settings_changed)
        self.settings_service.start()
        stack.callback(self.settings_service.stop)
        self.membership.start()
        stack.callback(self.membership.stop)
        self.peers.start()
        stack.callback(self.peers.stop)
        self.owner.start()
        stack.callback(self.owner.stop)
        expiry = gevent.spawn(self._expire_loop)
        stack.callback(expiry.kill)

    def _wait_for_requests(self) -> None:
        with gevent.Timeout(STOP_SECONDS, False):
            while self.http.in_progress or self.requests.in_progress:
                gevent.sleep(POLL_SECONDS)

    def _expire_loop(self) -> None:
        while True:
            gevent.sleep(EXPIRY_SECONDS)
            for session in self.registry.expire(self.clock()):
                logger.warning("agent missed heartbeats", extra={"agent_id": session.agent_id})
                self.counters.increment("agents.expired")
            self.counters.gauge("agents", len(self.registry.sessions()))

    def _handle(self, connection: Connection, message: Message) -> Message | None:
        reply = self.agent_messages.handle(connection, message)
        return reply if reply is not None else self.peers.handle(connection, message)

    def _agent_gone(self, session: AgentSession) -> None:
        self.owner.on_agent_gone(session)

    def _protocol_error(self, _connection: Connection, error: AcaciastandError) -> None:
        if isinstance(error, VersionRefused):
            self.counters.increment("wire.version_refused")
            logger.error("protocol version refused", extra={"error": str(error)})
            return
        self.counters.increment("wire.protocol_errors")
        logger.warning("foreign frame", extra={"error": str(error)})

    def _report(self) -> PeerHeartbeat:
        own = self.settings_service.revision
        return PeerHeartbeat(
            settings_revision=own,
            in_force_revision=self.registry.lowest_revision(own),
            owned_shards=self.owner.owned_shards(),
            free_slots=self.router.free_slots(),
            draining=self.stopping,
            bucket_masks=self.router.homes.bucket_masks(),
        )

    def _on_call(self, call: str, payload: dict[str, Any], timeout: float) -> dict[str, Any]:
        if call == SNAPSHOT:
            return self.settings_service.snapshot()
        if call != CALL:
            return self.jobs.answer(call, payload, timeout)
        deadline = Deadline(self.clock() + timeout)
        return result_of(self.requests.execute(request_of(payload, deadline)))

    def _directory_changed(self) -> None:
        message = Directory(self.peers.directory())
        for session in self.registry.sessions():
            gevent.spawn(_send_quietly, session, message)

    def _catch_up(self, peer: Peer) -> None:
        if peer.heartbeat.settings_revision <= self.settings_service.revision:
            return
        try:
            snapshot = self.peers.call(peer, SNAPSHOT, {}, SNAPSHOT_SECONDS)
        except AcaciastandError as error:
            logger.info("settings of a peer not read", extra={"error": str(error)})
            return
        self.settings_service.adopt_snapshot(snapshot)

    def _settings_changed(self, revision: int) -> None:
        effective = self.settings_service.effective(self.settings.path)
        self.router.configure(effective.max_ejected, effective.retry_budget)
        apply_level(effective.log_level, self.settings.log_level)
        self.agent_messages.push_settings(revision)

    def _default_timeout_ms(self, service: str) -> int:
        return self.settings_service.effective(f"{self.settings.path}/{service}").request_timeout_ms

    def _readiness_problem(self) -> str:
        if self.stopping:
            return "the entry is stopping"
        if not self.started:
            return "the entry is starting"
        # Until agents have dialled a new entry, it would refuse what other entries can serve.
        waited = self.clock() - self.started_at
        if not self.registry.sessions() and waited < ANNOUNCEMENT_SECONDS:
            return "no agent has announced itself yet"
        return ""

    def in_force(self) -> InForce:
        """Return the settings revision that every reachable process has confirmed."""
        now = self.clock()
        confirmations = Confirmations()
        for session in self.registry.sessions():
            confirmations.join(session.agent_id, session.settings_revision, now)
        for peer in self.peers.identified():
            confirmations.join(peer.entry.entry_id, peer.heartbeat.in_force_revision, now)
            if not peer.connected:
                confirmations.lose(peer.entry.entry_id, now)
        return confirmations.in_force(self.settings_service.revision)

    def status(self) -> dict[str, Any]:
        """Return what operators see of this entry."""
        agents = [AgentStatus(session) for session in self.registry.sessions()]
        return {
            "entry_id": self.own.entry_id,
            "ready": not self._readiness_problem(),
            "agents": [_plain(agent) for agent in agents],
            "peers": [peer.entry.entry_id for peer in self.peers.connected()],
            "shards": [owned.shard for owned in self.owner.owned_shards()],
            "settings_revision": self.settings_service.revision,
            "requests_in_progress": self.requests.in_progress,
            "counters": self.counters.totals(),
        }


def _plain(status: AgentStatus) -> dict[str, Any]:
    return {name: getattr(status, name) for name in status.fields()}


def _send_quietly(session: AgentSession, message: Message) -> None:
    try:
        session.send(message)
    except AcaciastandError:
        return  # the agent gets the directory with its next `Welcome`
