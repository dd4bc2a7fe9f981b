"""Bounds, intervals and timings of a shard."""

from __future__ import annotations

from acaciastand.record import Record

# Unfinished jobs and tasks of one shard. With both at their limit, a snapshot stays below 900 KiB;
# 2000 tasks made snapshots of 1,011,019 bytes.
MAX_JOBS = 400
MAX_TASKS = 1600
MAX_TASKS_PER_JOB = 800
MAX_FINISHED_JOBS = 300  # Finished jobs that are kept for queries and repeated submissions.
MAX_EVENTS_PER_COMMIT = 384  # Events in one journal entry; 384 x 600 bytes fit in 256 KiB.
MAX_PENDING_EVENTS = 8192  # Uncommitted events; beyond this number commands are refused.
# Ends of attempts that the scheduler has not processed yet; beyond this the oldest is dropped.
MAX_UNPROCESSED_ENDS = 4096
MAX_CHECKPOINT_BYTES = 200
MAX_NAME_BYTES = 64  # Limit for the name of a job, its team, batch class and service.
MAX_KEY_BYTES = 128  # Limit for the idempotency key of a submission.
MAX_TASK_FAILURES = 5  # Failed attempts after which a task is not started again.
FIRST_BACKOFF_SECONDS = 1.0  # Delay after the first failed attempt; doubles with each further one.
MAX_BACKOFF_SECONDS = 60.0
# Delay after an agent refused a grant; doubles with each further refusal up to the eighth.
REFUSAL_BACKOFF_SECONDS = 0.25
CLOCK_DRIFT = 1.05  # Factor by which an agent's clock may run slower than the owner's.
BUCKETS_PER_SERVICE = 32
# Delay between the first worker of a service and the assignment of its buckets. Meanwhile more
# agents of the service can connect, so that the buckets are spread over them.
BUCKET_ASSIGNMENT_DELAY_SECONDS = 2.0
# Interval between two buckets of a service that a shard moves to a home with fewer buckets.
REBALANCE_INTERVAL_SECONDS = 1.0
MAX_BUCKETS = 256  # Buckets of one shard over all services.


class Timings(Record):
    """Settings in seconds that decide when a grant has certainly expired.

    Parameters
    ----------
    grant_seconds
        Time for which an agent may run a task without renewal.
    stop_seconds
        Time a worker needs at most to stop a task.
    outage_hold_seconds
        Time for which an owner still renews grants after the last renewal of its own lease.
    """

    __slots__ = ("grant_seconds", "stop_seconds", "outage_hold_seconds")

    def __init__(
        self,
        grant_seconds: float = 15.0,
        stop_seconds: float = 5.0,
        outage_hold_seconds: float = 600.0,
    ) -> None:
        self.grant_seconds = grant_seconds
        self.stop_seconds = stop_seconds
        self.outage_hold_seconds = outage_hold_seconds

    def expiry_seconds(self) -> float:
        """Return the time after the last renewal at which an attempt has certainly stopped."""
        return self.grant_seconds * CLOCK_DRIFT + self.stop_seconds

    def takeover_expiry_seconds(self) -> float:
        """Return the time after a takeover at which all grants of former owners have expired."""
        last_expiry = (self.outage_hold_seconds + self.grant_seconds) * CLOCK_DRIFT
        return last_expiry + self.stop_seconds

    def largest(self, other: Timings) -> Timings:
        """Return timings with the longer time of each field."""
        pairs = zip(self.values(), other.values(), strict=True)
        return Timings(*(max(own, theirs) for own, theirs in pairs))
