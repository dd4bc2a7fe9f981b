"""A store lease as its holder sees it."""

from __future__ import annotations

from acaciastand.coordination.store import KeyValueStore, LeaseLost

RENEW_FRACTION = 1 / 3  # of the time to live between two renewals
RETRY_FRACTION = 1 / 12  # of the time to live between attempts after a failure
CLOCK_DRIFT = 1.05  # the holder's clock may run this much slower than the store's


class LeaseSession:
    """Holds one lease; all times are seconds of the holder's monotonic clock.

    `now` arguments are read before the call: the store cannot have counted from an earlier
    moment, so network delay only shortens `valid_until`.

    Parameters
    ----------
    store
        Store that grants the lease.
    ttl_seconds
        Time to live of the lease in seconds.

    Attributes
    ----------
    lease_id
        Id of the held lease; None before `start` and after the lease is lost.
    valid_until
        Until when nobody else can hold keys of this lease; minus infinity without a lease.
    last_renewal
        When the last successful renewal (or the grant) was sent.
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

        A lease whose answer is lost lapses unused.

        Raises
        ------
        StoreUnavailable, StoreAnswerLost
            There is no lease; start again later.
        """
        self._drop()
        self.lease_id = self.store.grant_lease(self.ttl_seconds)
        self._extend(now)
        return self.lease_id

    def renew(self, now: float) -> bool:
        """Renew the lease if it is due and tell whether it was renewed.

        Raises
        ------
        LeaseLost
            The lease has lapsed, or there is none; `start` a new one.
        StoreUnavailable, StoreAnswerLost
            `valid_until` stays as it was; the next attempt is due after `RETRY_FRACTION` of the
            time to live.
        """
        if self.lease_id is None:
            raise LeaseLost("there is no lease", "start() a new lease and claim its keys again")
        if not self.due(now):
            return False
        self.next_renewal = now + self.ttl_seconds * RETRY_FRACTION
        try:
            self.store.renew_lease(self.lease_id)
        except LeaseLost:
            self._drop()
            raise
        self._extend(now)
        return True

    def end(self) -> None:
        """Give the lease up; its keys are deleted, at the latest when it lapses."""
        lease_id = self.lease_id
        self._drop()
        if lease_id is not None:
            self.store.revoke_lease(lease_id)

    def due(self, now: float) -> bool:
        """Tell whether `renew` would call the store."""
        return now >= self.next_renewal

    def valid(self, now: float) -> bool:
        """Tell whether the lease certainly still holds at `now`."""
        return now < self.valid_until

    def _extend(self, now: float) -> None:
        self.last_renewal = now
        self.next_renewal = now + self.ttl_seconds * RENEW_FRACTION
        self.valid_until = now + self.ttl_seconds / CLOCK_DRIFT

    def _drop(self) -> None:
        self.lease_id = None
        self.valid_until = float("-inf")
        self.next_renewal = float("inf")
