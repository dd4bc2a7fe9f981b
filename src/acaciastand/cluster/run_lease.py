"""Lease of the runs at a worker, and the time until which they can be alive.

A lease is sent as a time on the clock of the worker. A worker that restarts has a new clock, so a
lease on the clock of its former incarnation is as long there as the worker allows. Nothing shortens
it again, and it holds for all runs of that incarnation.
"""

from __future__ import annotations

from acaciastand.workflow.limits import CLOCK_DRIFT, RUN_LEASE_SECONDS

# A call whose connection is closed may still be read by the next incarnation of the worker.
CLOSED_CALL_SECONDS = 1.0
# A worker may carry out an unanswered start this much later.
LATE_START_SECONDS = 12.0


class RunLease:
    """Computes leases, and keeps how long the runs can be alive if the worker is lost.

    Times are seconds on the clock of the agent.

    Parameters
    ----------
    max_seconds
        Longest lease that the worker grants.
    now
        Present time. The runs may have a lease from an earlier incarnation of the agent.

    Attributes
    ----------
    alive_until
        Latest time at which runs can still be alive if the worker is never reached again.
    end_ms
        Latest end of a lease that was sent, in milliseconds on the worker's clock.
    clock_ms, clock_read_at
        Last reading of the worker's clock in milliseconds, and when it arrived; None before the
        first of this incarnation of the worker, and after an unanswered call until the next.
    carried_out_until, start_carried_out_until
        Time until which a call with a lease that was sent may be carried out, and the same for
        unanswered starts.
    """

    __slots__ = (
        "max_seconds",
        "alive_until",
        "end_ms",
        "clock_ms",
        "clock_read_at",
        "carried_out_until",
        "start_carried_out_until",
    )

    def __init__(self, max_seconds: float, now: float) -> None:
        self.max_seconds = max_seconds
        self.alive_until = now + RUN_LEASE_SECONDS * CLOCK_DRIFT
        self.end_ms = 0
        self.clock_ms = 0.0
        self.clock_read_at: float | None = None
        self.carried_out_until = float("-inf")
        self.start_carried_out_until = float("-inf")

    def record_clock(self, clock_ms: float, now: float) -> None:
        """Record a reading of the worker's clock."""
        self.clock_ms = clock_ms
        self.clock_read_at = now

    def forget_clock(self) -> None:
        """Forget the clock, since the worker may have restarted; send no lease until it is read."""
        self.clock_read_at = None

    def record_unanswered(self, now: float) -> None:
        """Record an unanswered call with a lease, whose connection is closed now."""
        self.forget_clock()
        self.carried_out_until = max(self.carried_out_until, now + CLOSED_CALL_SECONDS)

    def record_timed_out_start(self, now: float) -> None:
        """Record a start without an answer in time, which the worker may carry out much later."""
        self.forget_clock()
        self.start_carried_out_until = max(self.start_carried_out_until, now + LATE_START_SECONDS)

    def record_refused(self) -> None:
        """Record that nothing listens at the worker's address, so that closed calls are lost."""
        self.forget_clock()
        self.carried_out_until = float("-inf")

    def extend(self, grant_until: float, now: float) -> int | None:
        """Return the end of a new lease in milliseconds on the worker's clock.

        The worker's clock has advanced at least as far as is estimated here, so the lease is never
        longer than intended.

        Parameters
        ----------
        grant_until
            End of the owner's grant.

        Returns
        -------
        int | None
            The end of the lease; None while the worker's clock is not known.
        """
        if self.clock_read_at is None:
            return None
        seconds = max(0.0, min(grant_until - now, RUN_LEASE_SECONDS))
        clock_age_seconds = now - self.clock_read_at
        end_ms = int(self.clock_ms + (clock_age_seconds / CLOCK_DRIFT + seconds) * 1000)
        self.carried_out_until = max(self.carried_out_until, now + CLOSED_CALL_SECONDS)
        if end_ms > self.end_ms:
            self.end_ms = end_ms
            self.alive_until = max(self.alive_until, now + seconds * CLOCK_DRIFT)
        return end_ms

    def begin_incarnation(self) -> None:
        """Forget the clock of the former incarnation of the worker.

        A call of that incarnation that the new one carries out gives the longest lease.
        """
        carried_out_until = max(self.carried_out_until, self.start_carried_out_until)
        longest_seconds = self.max_seconds * CLOCK_DRIFT
        self.alive_until = max(self.alive_until, carried_out_until + longest_seconds)
        self.clock_read_at = None
        self.end_ms = 0
