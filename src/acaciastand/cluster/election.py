"""Election of the owner of the jobs.

The owner is recorded in a key of the store that each takeover rewrites, and it writes heartbeats to
another key. No lease is involved, since the platform may remove the keys of a lease without
notifying anybody. Each commit of an owner expects its own revision of the owner key, so a former
owner can write nothing.
"""

from __future__ import annotations

from acaciastand.coordination.transactions import Item
from acaciastand.record import Record

# Interval between heartbeats of the owner. Each other entry reads the store twice in it.
OWNER_HEARTBEAT_SECONDS = 0.5
# Other entries claim the ownership after this long without a heartbeat while their reads succeed.
UNRESPONSIVE_TIMEOUT_SECONDS = 1.9
# The same timeout once the owner's address refuses connections; longer than a heartbeat interval.
REFUSED_TIMEOUT_SECONDS = 0.8
# An owner accepts new jobs for this long after it sent the last heartbeat that was stored.
CONFIRMATION_VALID_SECONDS = 1.4
# Additional delay of an entry on a small host; time for two reads and the claim of another entry.
SMALL_HOST_CLAIM_DELAY_SECONDS = 0.7
# After a longer gap between two reads, the time without a heartbeat is measured anew.
MAX_READ_GAP_SECONDS = 1.2


class Observation(Record):
    """The owner key and the heartbeat key, as returned by one read of the store."""

    __slots__ = ("owner", "heartbeat")

    def __init__(self, owner: Item, heartbeat: Item) -> None:
        self.owner = owner
        self.heartbeat = heartbeat


class Candidate:
    """Decides when an entry claims the ownership.

    Designed for the loss of the owner, for a pause of this entry's whole process, and for an outage
    of the store, after which the owner needs time to write its first heartbeat.

    Parameters
    ----------
    claim_delay_seconds
        Additional time that this entry leaves to others before it claims.

    Attributes
    ----------
    last_observation
        Latest observation; None before the first read.
    changed_at
        When a read first returned the latest revisions, or the first read after a long gap.
    heartbeat_sent_by
        When the first read with the latest revisions returned. The owner had sent its last stored
        heartbeat by then.
    last_read_at
        When the store was last read.
    refused
        Whether the owner's address has refused a connection since `changed_at`.
    owner_ended
        Whether the recorded owner is known to have ended.
    """

    __slots__ = (
        "claim_delay_seconds",
        "last_observation",
        "changed_at",
        "heartbeat_sent_by",
        "last_read_at",
        "refused",
        "owner_ended",
    )

    def __init__(self, claim_delay_seconds: float = 0.0) -> None:
        self.claim_delay_seconds = claim_delay_seconds
        self.last_observation: Observation | None = None
        self.changed_at = 0.0
        self.heartbeat_sent_by = 0.0
        self.last_read_at = float("-inf")
        self.refused = False
        self.owner_ended = False

    def observe(self, observation: Observation, began_at: float, returned_at: float) -> None:
        """Process the result of a read."""
        has_gap = began_at - self.last_read_at > MAX_READ_GAP_SECONDS
        if (
            has_gap
            or self.last_observation is None
            or _revisions(observation) != _revisions(self.last_observation)
        ):
            self.changed_at = began_at
            self.heartbeat_sent_by = returned_at
            self.refused = False
            self.owner_ended = False
        self.last_observation = observation
        self.last_read_at = began_at

    def record_connection_refused(self) -> None:
        """Shorten the timeout, since nothing listens at the owner's address any more."""
        self.refused = True

    def record_owner_ended(self) -> None:
        """Drop the timeout, since the recorded owner was an earlier incarnation of this entry."""
        self.owner_ended = True

    def should_claim(self, now: float) -> bool:
        """Return whether the owner counts as lost and the claim delay has passed."""
        if self.last_observation is None or now - self.last_read_at > MAX_READ_GAP_SECONDS:
            return False
        return now - self.changed_at >= self._unresponsive_timeout() + self.claim_delay_seconds

    def _unresponsive_timeout(self) -> float:
        """Return the seconds without a new revision after which the owner counts as lost."""
        assert self.last_observation is not None
        if (
            not self.last_observation.owner.revision
            or not self.last_observation.owner.value
            or self.owner_ended
        ):
            return 0.0
        return REFUSED_TIMEOUT_SECONDS if self.refused else UNRESPONSIVE_TIMEOUT_SECONDS


def _revisions(observation: Observation) -> tuple[int, int]:
    return (observation.owner.revision, observation.heartbeat.revision)
