"""Runtime state of an owner about running attempts and agents; none of it is stored."""

from __future__ import annotations

from enum import Enum

from acaciastand.record import Record
from acaciastand.resources import Resources

# Earlier incarnations per worker whose late messages are recognised and ignored.
MAX_SUPERSEDED_INCARNATIONS = 8


class GrantState(Enum):
    """Progress of the first grant of an attempt."""

    QUEUED = "queued"  # The grant was not sent yet.
    SENT = "sent"  # The reply is outstanding.
    ACCEPTED = "accepted"
    UNKNOWN = "unknown"  # The reply was lost, or a former owner sent the grant.


class LeaseDeadlines(Record):
    """Deadlines that follow from the owner's store lease, in seconds of its monotonic clock.

    Parameters
    ----------
    valid_until
        End of the lease; no other owner can have taken over before it.
    renew_until
        Time until which running attempts may be renewed, even while the store is unreachable.
    """

    __slots__ = ("valid_until", "renew_until")

    def __init__(self, valid_until: float, renew_until: float) -> None:
        self.valid_until = valid_until
        self.renew_until = renew_until


class ListedAttempt(Record):
    """An attempt that an agent lists in a hello or heartbeat.

    Parameters
    ----------
    epoch
        Highest epoch of an owner that granted or renewed the attempt.
    ended
        Whether the attempt has ended and only the confirmation of its report is outstanding.
    """

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
        Incarnation of the agent's worker; empty while the agent has not reached its worker.
    connection
        Number of the connection; it rises with each new connection of the agent.
    sequence
        Sequence number of the heartbeat; 0 for a hello.
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
    """End of an attempt as its agent reports it.

    Parameters
    ----------
    result
        Value of an `AttemptEnd`; other values count as `AttemptEnd.STOPPED`.
    checkpoint
        Reference from which the next attempt can resume; empty for none.
    observed
        Resources that the attempt used.
    run_seconds
        Time for which the attempt ran.
    """

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
    """Runtime state of one running attempt.

    Parameters
    ----------
    epoch_confirmed
        Whether no former owner can renew the attempt any more: it started in the present epoch,
        or its agent has listed it under the present epoch.
    former_grants_until
        Time at which the grants of former owners have certainly expired; ignored when
        `epoch_confirmed`.

    Attributes
    ----------
    last_sent_at
        Time of the last grant or renewal that this owner sent; None when it sent none.
    answered_connection, answered_sequence
        Connection and heartbeat sequence that were current when the agent accepted the grant.
    """

    __slots__ = (
        "grant_state",
        "epoch_confirmed",
        "former_grants_until",
        "last_sent_at",
        "answered_connection",
        "answered_sequence",
    )

    def __init__(
        self, grant_state: GrantState, epoch_confirmed: bool, former_grants_until: float
    ) -> None:
        self.grant_state = grant_state
        self.epoch_confirmed = epoch_confirmed
        self.former_grants_until = former_grants_until
        self.last_sent_at: float | None = None
        self.answered_connection = 0
        self.answered_sequence = 0

    def expires_at(self, expiry_seconds: float) -> float:
        """Return when the attempt has certainly stopped if nobody renews it again.

        Parameters
        ----------
        expiry_seconds
            Time after the last renewal at which an attempt has certainly stopped.

        Returns
        -------
        float
            Seconds of the owner's monotonic clock; infinity while the grant was not sent.
        """
        if self.grant_state is GrantState.QUEUED:
            return float("inf")
        own_expiry = (
            float("-inf") if self.last_sent_at is None else self.last_sent_at + expiry_seconds
        )
        return own_expiry if self.epoch_confirmed else max(own_expiry, self.former_grants_until)


class AgentRuntime:
    """Runtime state of one agent.

    Attributes
    ----------
    incarnation
        Newest incarnation of the agent's worker; empty while unknown.
    superseded
        Earlier incarnations of the worker, the oldest first.
    connection, sequence
        Connection number and heartbeat sequence of the newest contact.
    listed
        Task id and number of each attempt that the newest contact lists.
    last_refusal_sequence
        Heartbeat sequence at the last refusal of a grant; -1 before the first.
    """

    __slots__ = (
        "incarnation",
        "superseded",
        "connection",
        "sequence",
        "listed",
        "last_refusal_sequence",
    )

    def __init__(self) -> None:
        self.incarnation = ""
        self.superseded: list[str] = []
        self.connection = 0
        self.sequence = 0
        self.listed: set[tuple[str, int]] = set()
        self.last_refusal_sequence = -1

    def apply_contact(self, contact: AgentContact) -> bool:
        """Update the state; return False and change nothing if a newer contact was processed."""
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
