"""Lease of the store from its holder's point of view: renewal and validity."""

from __future__ import annotations

from acaciastand.coordination.store import KeyValueStore, LeaseLost

# Fractions of the time to live of the lease.
RENEW_INTERVAL_FRACTION = 1 / 3  # Interval between two renewals.
RETRY_INTERVAL_FRACTION = 1 / 12  # Interval between attempts after a failed renewal.

CLOCK_DRIFT = 1.05  # Largest factor by which the store's clock may run faster than the holder's.


class LeaseSession:
    """A lease of this process and its renewal.

    All times are seconds of the holder's monotonic clock. The caller reads that clock before each
    call and passes the reading as `now`. The store cannot have counted the time to live from an
    earlier moment, so network delay only makes `valid_until` earlier than necessary.

    Parameters
    ----------
    store
        Store that grants the lease.
    ttl_seconds
        Time to live of the lease in seconds.

    Attributes
    ----------
    lease_id
        Id of the lease; None before `start`, after `end` and after the lease is lost.
    valid_until
        Time until which nobody else can own keys attached to this lease; minus infinity without
        a lease.
    last_renewal
        Time at which the last successful renewal (or the grant) was sent; minus infinity before
        the first `start`.
    next_renewal
        Time from which the next renewal is due; infinity without a lease.
    """

    __slots__ = ("store", "ttl_seconds", "lease_id", "valid_until", "last_renewal", "next_renewal")

    def __init__(self, store: KeyValueStore, ttl_seconds: float) -> None:
        self.store = store
        self.ttl_seconds = ttl_seconds
        self.lease_id: int | None = None
        self.valid_until = float("-inf")
        self.last_renewal = float("-inf")
        self.next_renewal = float("inf")

    def start(self, now: float) -> int:
        """Obtain a new lease and return its id.

        The session forgets its former lease, which is not revoked. A lease whose response was
        lost expires unused.

        Parameters
        ----------
        now
            Time of the holder's clock, read before the call.

        Returns
        -------
        int
            Id of the lease.

        Raises
        ------
        StoreUnavailable, StoreAnswerLost
            The session has no lease; start again later.
        """
        self._clear_lease()
        self.lease_id = self.store.grant_lease(self.ttl_seconds)
        self._record_renewal(now)
        return self.lease_id

    def renew(self, now: float) -> bool:
        """Renew the lease if a renewal is due.

        Parameters
        ----------
        now
            Time of the holder's clock, read before the call.

        Returns
        -------
        bool
            True if the lease was renewed; False if no renewal is due yet.

        Raises
        ------
        LeaseLost
            The lease has expired or was revoked, or the session has none; `start` a new one.
        StoreUnavailable, StoreAnswerLost
            `valid_until` is unchanged; the next attempt is due after `RETRY_INTERVAL_FRACTION` of
            the time to live.
        """
        if self.lease_id is None:
            raise LeaseLost(
                "the session has no lease", "call start() for a new lease and claim its keys again"
            )
        if not self.due(now):
            return False
        self.next_renewal = now + self.ttl_seconds * RETRY_INTERVAL_FRACTION
        try:
            self.store.renew_lease(self.lease_id)
        except LeaseLost:
            self._clear_lease()
            raise
        self._record_renewal(now)
        return True

    def end(self) -> None:
        """Revoke the lease, which deletes its keys; without a lease nothing happens.

        Raises
        ------
        StoreUnavailable, StoreAnswerLost
            The session has no lease any more, but its keys may remain until the lease expires.
        """
        lease_id = self.lease_id
        self._clear_lease()
        if lease_id is not None:
            self.store.revoke_lease(lease_id)

    def due(self, now: float) -> bool:
        """Tell whether `renew` would call the store at `now`."""
        return now >= self.next_renewal

    def valid(self, now: float) -> bool:
        """Tell whether the lease is certain not to have expired at `now`."""
        return now < self.valid_until

    def _record_renewal(self, now: float) -> None:
        self.last_renewal = now
        self.next_renewal = now + self.ttl_seconds * RENEW_INTERVAL_FRACTION
        self.valid_until = now + self.ttl_seconds / CLOCK_DRIFT

    def _clear_lease(self) -> None:
        self.lease_id = None
        self.valid_until = float("-inf")
        self.next_renewal = float("inf")
