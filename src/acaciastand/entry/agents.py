"""Agents that are connected to this entry."""

from __future__ import annotations

from collections.abc import Callable

from acaciastand.errors import Refused
from acaciastand.record import Record
from acaciastand.routing import Router, TargetView
from acaciastand.wire.attempt_lists import KnownAttemptList
from acaciastand.wire.connection import Connection
from acaciastand.wire.messages import Heartbeat, Hello, Message

MAX_AGENTS = 8192  # agents connected to one entry
MISSED_HEARTBEATS = 3
HEARTBEAT_SECONDS = 1.0
MAX_HEARTBEAT_SECONDS = 5.0
HEARTBEAT_BYTES = 400  # one heartbeat with its reply, a few attempts each
BYTES_PER_SECOND = 10_000  # share of an entry's bandwidth for heartbeats


class TooManyAgents(Refused):
    """The entry holds as many agents as it can."""

    code = "too_many_agents"


class AgentSession:
    """One connection of one agent, with what the agent last reported on it.

    Parameters
    ----------
    connection
        The connection that `hello` came on.
    hello
        First message of the agent.
    now
        Seconds of the monotonic clock.
    """

    __slots__ = (
        "connection",
        "agent_id",
        "incarnation",
        "availability_zone",
        "rack",
        "capacity",
        "free",
        "services",
        "slots",
        "connections",
        "in_flight",
        "attempts",
        "target_healthy",
        "draining",
        "settings_draining",
        "settings_revision",
        "path",
        "heartbeat_seconds",
        "last_heartbeat_sequence",
        "last_received_at",
        "known_attempts",
    )

    def __init__(self, connection: Connection, hello: Hello, now: float) -> None:
        self.connection = connection
        self.agent_id = hello.agent_id
        self.incarnation = hello.incarnation
        self.availability_zone = hello.availability_zone
        self.rack = hello.rack
        self.capacity = hello.capacity
        self.free = hello.capacity
        self.services = tuple(hello.services)
        self.slots = hello.slots
        self.connections = hello.connections
        self.in_flight = 0
        self.attempts = hello.attempts
        self.target_healthy = hello.target_healthy
        self.draining = hello.draining
        self.settings_revision = hello.settings_revision
        self.path = hello.path
        self.settings_draining = False
        self.heartbeat_seconds = HEARTBEAT_SECONDS
        self.last_heartbeat_sequence = 0
        self.last_received_at = now
        self.known_attempts = KnownAttemptList()

    @property
    def leaving(self) -> bool:
        """Whether the agent drains, by its own word or by the settings tree."""
        return self.draining or self.settings_draining

    @property
    def connected(self) -> bool:
        """Whether messages can still be sent."""
        return not self.connection.closed.is_set()

    def send(self, message: Message) -> None:
        """Send a message without a reply; raises `NotSent`."""
        self.connection.send(message)

    def request(self, message: Message, timeout_seconds: float) -> Message:
        """Send a message and return its reply; raises as `Connection.request`."""
        return self.connection.request(message, timeout_seconds)

    def apply(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take over a heartbeat; return False for one that is older than the last."""
        if heartbeat.sequence <= self.last_heartbeat_sequence:
            return False
        self.last_heartbeat_sequence = heartbeat.sequence
        self.last_received_at = now
        self.in_flight = heartbeat.in_flight
        self.free = heartbeat.free
        self.settings_revision = heartbeat.settings_revision
        self.target_healthy = heartbeat.target_healthy
        self.draining = heartbeat.draining
        if self.known_attempts.expand(heartbeat):
            self.attempts = heartbeat.attempts
        return True

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the agent missed `MISSED_HEARTBEATS` heartbeats."""
        return now - self.last_received_at > MISSED_HEARTBEATS * self.heartbeat_seconds

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


class AgentStatus(Record):
    """What operators see of an agent."""

    __slots__ = ("agent_id", "availability_zone", "in_flight", "slots", "draining", "revision")

    def __init__(self, session: AgentSession) -> None:
        self.agent_id = session.agent_id
        self.availability_zone = session.availability_zone
        self.in_flight = session.in_flight
        self.slots = session.slots
        self.draining = session.draining
        self.revision = session.settings_revision


class AgentRegistry:
    """Membership: an agent is a member while it is connected and its heartbeats arrive.

    Parameters
    ----------
    router
        Receives targets, loads and bucket homes.
    on_gone
        Called with each session that ended, also when a newer one replaced it.
    """

    def __init__(
        self,
        router: Router,
        on_gone: Callable[[AgentSession], None],
    ) -> None:
        self.router = router
        self.on_gone = on_gone
        self._sessions: dict[str, AgentSession] = {}

    def sessions(self) -> list[AgentSession]:
        """Return the connected agents."""
        return list(self._sessions.values())

    def get(self, agent_id: str) -> AgentSession | None:
        """Return the session of an agent; None when it is not connected here."""
        return self._sessions.get(agent_id)

    def admit(self, connection: Connection, hello: Hello, now: float) -> AgentSession:
        """Make the sender of `hello` a member; an earlier session of the same agent ends.

        Raises
        ------
        TooManyAgents
            `MAX_AGENTS` are connected.
        """
        earlier = self._sessions.get(hello.agent_id)
        if earlier is None and len(self._sessions) >= MAX_AGENTS:
            raise TooManyAgents(f"{MAX_AGENTS} agents are connected", "add an entry")
        if earlier is not None:
            self.remove(earlier)
        session = AgentSession(connection, hello, now)
        session.heartbeat_seconds = heartbeat_seconds_for(len(self._sessions) + 1)
        connection.user_data = session
        self._sessions[hello.agent_id] = session
        self.router.add(_target_of(session))
        self._announce(session)
        return session

    def heartbeat(self, session: AgentSession, heartbeat: Heartbeat, now: float) -> bool:
        """Take over a heartbeat; return False when it is stale or the session has ended."""
        if self._sessions.get(session.agent_id) is not session:
            return False
        if not session.apply(heartbeat, now):
            return False
        target = self.router.targets[session.agent_id]
        target.update_load(session.in_flight)
        target.healthy = session.target_healthy
        target.draining = session.leaving
        self._announce(session)
        return True

    def drain(self, session: AgentSession) -> None:
        """Select the agent no more; it refuses new work already."""
        session.draining = True
        if self._sessions.get(session.agent_id) is session:
            self.router.targets[session.agent_id].draining = True

    def drain_by_settings(self, session: AgentSession, draining: bool) -> None:
        """Follow the settings key ``draining``, without waiting for the agent."""
        session.settings_draining = draining
        if self._sessions.get(session.agent_id) is session:
            self.router.targets[session.agent_id].draining = session.leaving

    def remove(self, session: AgentSession) -> None:
        """End a membership; a session that was replaced leaves its successor alone."""
        if self._sessions.get(session.agent_id) is not session:
            return
        del self._sessions[session.agent_id]
        self.router.remove(session.agent_id)
        session.close()
        self.on_gone(session)

    def expire(self, now: float) -> list[AgentSession]:
        """Remove and return the agents that missed `MISSED_HEARTBEATS` heartbeats."""
        unresponsive = [session for session in self.sessions() if session.is_unresponsive(now)]
        for session in unresponsive:
            self.remove(session)
        return unresponsive

    def lowest_revision(self, own: int) -> int:
        """Return the lowest settings revision of this entry and its agents."""
        return min([own, *(session.settings_revision for session in self.sessions())])

    def _announce(self, session: AgentSession) -> None:
        attempts = {listed.task_id: listed.attempt for listed in session.attempts}
        self.router.homes.announce(session.agent_id, attempts)


def heartbeat_seconds_for(agents: int) -> float:
    """Return the interval at which the heartbeats of `agents` agents fit into the budget."""
    seconds = agents * HEARTBEAT_BYTES / BYTES_PER_SECOND
    return min(max(seconds, HEARTBEAT_SECONDS), MAX_HEARTBEAT_SECONDS)


def _target_of(session: AgentSession) -> TargetView:
    return TargetView(
        agent_id=session.agent_id,
        availability_zone=session.availability_zone,
        services=session.services,
        slots=session.slots,
        draining=session.draining,
        healthy=session.target_healthy,
    )
