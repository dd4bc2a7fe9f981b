"""Messages of agents to this entry, and the settings that are pushed to them."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Protocol

import gevent
from gevent.pool import Pool

from acaciastand.entry.agents import AgentRegistry, AgentSession
from acaciastand.errors import AcaciastandError
from acaciastand.settings.schema import EffectiveSettings
from acaciastand.wire.connection import Connection
from acaciastand.wire.messages import (
    AttemptName,
    AttemptReport,
    Drain,
    EntryAddress,
    Heartbeat,
    HeartbeatReply,
    Hello,
    Message,
    ReportConfirmed,
    SettingsUpdate,
    ShardEpoch,
    Welcome,
)

MAX_PUSHES = 64  # settings updates that are sent at once

logger = logging.getLogger(__name__)


class TaskOwner(Protocol):
    """The part of the owner service that agents talk to."""

    def owned_shards(self) -> list[ShardEpoch]:
        """Return the shards with their epochs."""

    def grant_seconds(self) -> float:
        """Return the length of renewed grants; 0 for that of the first grant."""

    def on_hello(self, session: AgentSession, hello: Hello) -> None:
        """Learn what a new agent holds."""

    def on_heartbeat(self, session: AgentSession, heartbeat: Heartbeat) -> list[AttemptName]:
        """Return the attempts that the reply renews."""

    def on_report(self, session: AgentSession, report: AttemptReport) -> ReportConfirmed:
        """Return once the end of the attempt is committed."""

    def on_agent_gone(self, session: AgentSession) -> None:
        """Learn that a session has ended."""


class SettingsSource(Protocol):
    """The part of the settings service that entries push from."""

    @property
    def revision(self) -> int:
        """Revision in use."""

    def effective(self, path: str) -> EffectiveSettings:
        """Return all effective values at `path`."""


class AgentMessageHandler:
    """Answers agents.

    Parameters
    ----------
    own
        This entry.
    site
        Settings path of agents that name none.
    directory
        Returns the entries that `Welcome` lists.
    surging
        Returns whether a service of the region surges at a time of the clock.
    """

    def __init__(
        self,
        own: EntryAddress,
        site: str,
        registry: AgentRegistry,
        owner: TaskOwner,
        settings: SettingsSource,
        directory: Callable[[], list[EntryAddress]],
        clock: Callable[[], float],
        surging: Callable[[float], bool] = lambda _now: False,
    ) -> None:
        self.own = own
        self.site = site
        self.registry = registry
        self.owner = owner
        self.settings = settings
        self.directory = directory
        self.clock = clock
        self.surging = surging
        self._pushes = Pool(MAX_PUSHES)
        self._handlers: dict[type[Message], Callable[[AgentSession, Any], Message | None]] = {
            Heartbeat: self._on_heartbeat,
            AttemptReport: self._on_report,
            Drain: self._on_drain,
        }

    def handle(self, connection: Connection, message: Message) -> Message | None:
        """Return the reply to an agent's message."""
        if isinstance(message, Hello):
            return self._on_hello(connection, message)
        session = connection.user_data
        handler = self._handlers.get(type(message))
        if not isinstance(session, AgentSession) or handler is None:
            return None
        return handler(session, message)

    def closed(self, connection: Connection) -> None:
        """End the membership of the agent on `connection`."""
        if isinstance(connection.user_data, AgentSession):
            self.registry.remove(connection.user_data)

    def push_settings(self, _revision: int = 0) -> None:
        """Send each agent its effective values; returns before they are sent."""
        gevent.spawn(self._push_all)

    def settings_of(self, session: AgentSession) -> EffectiveSettings:
        """Return the effective values of an agent; its first service names the lowest level."""
        site = session.path or self.site
        service = session.services[0] if session.services else ""
        return self.settings.effective(f"{site}/{service}" if service else site)

    def _on_hello(self, connection: Connection, hello: Hello) -> Message | None:
        try:
            session = self.registry.admit(connection, hello, self.clock())
        except AcaciastandError as error:
            logger.error("agent refused", extra={"agent_id": hello.agent_id, "error": str(error)})
            connection.close()
            return None
        self._follow_draining(session)
        self.owner.on_hello(session, hello)
        effective = self.settings_of(session)
        return Welcome(
            entry_id=self.own.entry_id,
            heartbeat_seconds=session.heartbeat_seconds,
            entries=self.directory(),
            settings_revision=effective.revision,
            settings=effective.values,
            owned_shards=self.owner.owned_shards(),
        )

    def _on_heartbeat(self, session: AgentSession, heartbeat: Heartbeat) -> Message | None:
        if not self.registry.heartbeat(session, heartbeat, self.clock()):
            return None  # late or of an ended session; no grant may be renewed from it
        known = session.known_attempts.knows(heartbeat)
        renewed = self.owner.on_heartbeat(session, heartbeat) if known else []
        if heartbeat.settings_revision < self.settings.revision and not self._pushes.full():
            self._pushes.spawn(self._push, session)  # the update was lost or is under way
        reply = HeartbeatReply(
            sequence=heartbeat.sequence,
            settings_revision=self.settings.revision,
            owned_shards=self.owner.owned_shards(),
            renewed=renewed,
            grant_seconds=self.owner.grant_seconds(),
            surging=self.surging(self.clock()),
        )
        return session.known_attempts.abbreviate(heartbeat, reply) if known else reply

    def _on_report(self, session: AgentSession, report: AttemptReport) -> Message | None:
        try:
            return self.owner.on_report(session, report)
        except AcaciastandError as error:
            # The agent repeats its report until it is confirmed.
            logger.info("report not committed", extra={"error": str(error)})
            return None

    def _on_drain(self, session: AgentSession, _drain: Drain) -> Message | None:
        self.registry.drain(session)
        return None

    def _push_all(self) -> None:
        for session in self.registry.sessions():
            self._follow_draining(session)
        for session in self.registry.sessions():
            self._pushes.spawn(self._push, session)

    def _push(self, session: AgentSession) -> None:
        effective = self.settings_of(session)
        try:
            session.send(SettingsUpdate(effective.revision, effective.values))
        except AcaciastandError:
            return  # the agent gets the settings with its next `Welcome` or heartbeat

    def _follow_draining(self, session: AgentSession) -> None:
        draining = session.agent_id in self.settings_of(session).draining
        self.registry.drain_by_settings(session, draining)
