"""Who owns the jobs: a key in the store that each takeover rewrites, and a beat beside it.

No lease is involved, since the platform may remove the keys of a lease without telling anybody.
All commits of an owner expect its revision of the owner key, so a former owner can write nothing.
"""

from __future__ import annotations

from acaciastand.coordination.transactions import Item
from acaciastand.record import Record

OWNER_HEARTBEAT_SECONDS = 0.5  # between two beats of an owner, and two looks of the others
UNRESPONSIVE_TIMEOUT_SECONDS = (
    1.9  # without a beat for this long, over reads that succeed, others take over
)
REFUSED_TIMEOUT_SECONDS = (
    0.8  # the same once the owner's address refuses connections; over one beat
)
CONFIRMATION_VALID_SECONDS = 1.4  # an owner takes in new jobs for this long after a stored beat
SMALL_HOST_CLAIM_DELAY_SECONDS = (
    0.7  # an entry on a small host waits longer; two looks and a claim of others
)
MAX_READ_GAP_SECONDS = 1.2  # a longer gap between reads starts the measurement anew


class Observation(Record):
    """The owner key and the beat as one read showed them."""

    __slots__ = ("owner", "heartbeat")

    def __init__(self, owner: Item, heartbeat: Item) -> None:
        self.owner = owner
        self.heartbeat = heartbeat


class Candidate:
    """Decides when an entry claims the ownership.

    Answers the loss of an owner, a pause of the whole entry, and an outage of the store, after
    which the owner needs time to write its first beat.

    Parameters
    ----------
    claim_delay_seconds
        Seconds that this entry leaves to others before it claims.

    Attributes
    ----------
    last
        Latest observation; None before the first read.
    """

    __slots__ = (
        "claim_delay_seconds",
        "last_observation",
        "changed_at",
        "last_read_at",
        "refused",
        "owner_ended",
    )

    def __init__(self, claim_delay_seconds: float = 0.0) -> None:
        self.claim_delay_seconds = claim_delay_seconds
        self.last_observation: Observation | None = None
        self.changed_at = 0.0
        self.last_read_at = float("-inf")
        self.refused = False
        self.owner_ended = False

    def observe(self, seen: Observation, now: float) -> None:
        """Take in a read of the store."""
        gap = now - self.last_read_at > MAX_READ_GAP_SECONDS
        if (
            gap
            or self.last_observation is None
            or _revisions(seen) != _revisions(self.last_observation)
        ):
            self.changed_at = now
            self.refused = False
            self.owner_ended = False
        self.last_observation = seen
        self.last_read_at = now

    def record_connection_refused(self) -> None:
        """Take note that nothing listens at the owner's address any more."""
        self.refused = True

    def record_owner_ended(self) -> None:
        """Take note that the owner was an earlier life of this very process."""
        self.owner_ended = True

    def should_claim(self, now: float) -> bool:
        """Return whether the owner is certainly or probably gone."""
        if self.last_observation is None or now - self.last_read_at > MAX_READ_GAP_SECONDS:
            return False
        return now - self.changed_at >= self._unresponsive_timeout() + self.claim_delay_seconds

    def _unresponsive_timeout(self) -> float:
        """Return for how long nothing may have changed before the owner counts as gone."""
        assert self.last_observation is not None
        if (
            not self.last_observation.owner.revision
            or not self.last_observation.owner.value
            or self.owner_ended
        ):
            return 0.0
        return REFUSED_TIMEOUT_SECONDS if self.refused else UNRESPONSIVE_TIMEOUT_SECONDS


def _revisions(seen: Observation) -> tuple[int, int]:
    return (seen.owner.revision, seen.heartbeat.revision)
