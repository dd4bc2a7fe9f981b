"""What an owner knows about running attempts and agents; none of it is durable."""

from __future__ import annotations

from enum import Enum

from acaciastand.record import Record
from acaciastand.resources import Resources

MAX_SUPERSEDED_INCARNATIONS = 8  # earlier incarnations of a worker that are recognised


class GrantState(Enum):
    """Fate of the first grant of an attempt."""

    QUEUED = "queued"  # not sent yet
    SENT = "sent"  # the reply is awaited
    ACCEPTED = "accepted"
    UNKNOWN = "unknown"  # the reply was lost, or a former owner sent it


class LeaseDeadlines(Record):
    """What the store lease allows the owner, in seconds of its monotonic clock.

    Parameters
    ----------
    valid_until
        Until then nobody else can have taken over.
    renew_until
        Until then running attempts may be renewed although the store is unreachable.
    """

    __slots__ = ("valid_until", "renew_until")

    def __init__(self, valid_until: float, renew_until: float) -> None:
        self.valid_until = valid_until
        self.renew_until = renew_until


class ListedAttempt(Record):
    """An attempt that an agent lists; `ended` ones only await the confirmation of their report."""

    __slots__ = ("task_id", "attempt", "epoch", "ended")

    def __init__(self, task_id: str, attempt: int, epoch: int, ended: bool = False) -> None:
        self.task_id = task_id
        self.attempt = attempt
        self.epoch = epoch
        self.ended = ended


class AgentContact(Record):
    """A hello or heartbeat of an agent.

    Parameters
    ----------
    incarnation
        Incarnation of its worker; empty when the worker was not reached yet.
    connection
        Number of the connection; rises with each new one of the agent.
    sequence
        Heartbeat sequence; 0 for a hello.
    listed
        All attempts of this shard that the agent lists.
    """

    __slots__ = ("agent_id", "incarnation", "connection", "sequence", "listed")

    def __init__(
        self,
        agent_id: str,
        incarnation: str,
        connection: int,
        sequence: int,
        listed: list[ListedAttempt],
    ) -> None:
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.connection = connection
        self.sequence = sequence
        self.listed = listed


class AttemptEndReport(Record):
    """End of an attempt as its agent reports it."""

    __slots__ = (
        "agent_id",
        "task_id",
        "attempt",
        "result",
        "checkpoint",
        "observed",
        "run_seconds",
    )

    def __init__(
        self,
        agent_id: str,
        task_id: str,
        attempt: int,
        result: str,
        checkpoint: str = "",
        observed: Resources | None = None,
        run_seconds: float = 0.0,
    ) -> None:
        self.agent_id = agent_id
        self.task_id = task_id
        self.attempt = attempt
        self.result = result
        self.checkpoint = checkpoint
        self.observed = observed or Resources()
        self.run_seconds = run_seconds


class AttemptRuntime:
    """What the owner knows about one running attempt.

    Parameters
    ----------
    confirmed
        Whether no earlier owner can renew it any more: it started in this epoch, or its agent was
        seen holding it under this epoch.
    former_until
        When the grants of former owners have certainly ended, unless `confirmed`.

    Attributes
    ----------
    last_sent
        When this owner last sent a grant or renewal of it; None when it did not.
    """

    __slots__ = (
        "grant_state",
        "confirmed",
        "former_until",
        "last_sent",
        "answered_connection",
        "answered_sequence",
    )

    def __init__(self, grant_state: GrantState, confirmed: bool, former_until: float) -> None:
        self.grant_state = grant_state
        self.confirmed = confirmed
        self.former_until = former_until
        self.last_sent: float | None = None
        self.answered_connection = 0
        self.answered_sequence = 0

    def expires_at(self, expiry_seconds: float) -> float:
        """Return when the attempt has certainly stopped if it is not renewed again (proof 3)."""
        if self.grant_state is GrantState.QUEUED:
            return float("inf")
        own = float("-inf") if self.last_sent is None else self.last_sent + expiry_seconds
        return own if self.confirmed else max(own, self.former_until)


class AgentRuntime:
    """What the owner knows about one agent."""

    __slots__ = ("incarnation", "superseded", "connection", "sequence", "listed", "refused_at")

    def __init__(self) -> None:
        self.incarnation = ""
        self.superseded: list[str] = []
        self.connection = 0
        self.sequence = 0
        self.listed: set[tuple[str, int]] = set()
        self.refused_at = -1

    def apply_contact(self, contact: AgentContact) -> bool:
        """Take in a contact; returns False for one that a newer one overtook."""
        if contact.incarnation in self.superseded:
            return False
        if (contact.connection, contact.sequence) < (self.connection, self.sequence):
            return False
        if self.incarnation and contact.incarnation and contact.incarnation != self.incarnation:
            self.superseded = [*self.superseded, self.incarnation][-MAX_SUPERSEDED_INCARNATIONS:]
        self.incarnation = contact.incarnation or self.incarnation
        self.connection, self.sequence = contact.connection, contact.sequence
        self.listed = {(item.task_id, item.attempt) for item in contact.listed}
        return True
