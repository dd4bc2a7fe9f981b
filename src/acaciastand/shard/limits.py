"""Bounds and time limits of a shard."""

from __future__ import annotations

from acaciastand.record import Record

MAX_JOBS = 400  # unfinished jobs of one shard; with MAX_TASKS a full snapshot stays below 900 KiB
MAX_TASKS = 1600  # unfinished tasks of one shard; 2000 made snapshots of 1,011,019 bytes
MAX_TASKS_PER_JOB = 800
MAX_FINISHED_JOBS = 300  # finished jobs that are kept for queries and repeated submissions
MAX_EVENTS_PER_COMMIT = 384  # events in one journal entry; 384 x 600 bytes fit in 256 KiB
MAX_PENDING_EVENTS = 8192  # events that wait for the store; further commands are refused
MAX_UNPROCESSED_ENDS = 4096  # ends of attempts that wait for the scheduler; the oldest is dropped
MAX_CHECKPOINT_BYTES = 200
MAX_NAME_BYTES = 64  # job name, team, batch class, service
MAX_KEY_BYTES = 128  # idempotency key of a submission
MAX_TASK_FAILURES = 5  # failed attempts after which a task is given up
FIRST_BACKOFF_SECONDS = 1.0  # wait after the first failed attempt; doubles with each one
MAX_BACKOFF_SECONDS = 60.0
REFUSAL_BACKOFF_SECONDS = 0.25  # wait after an agent refused a grant
CLOCK_DRIFT = 1.05  # the agent's clock may run this much slower than the owner's
BUCKETS_PER_SERVICE = 32
BUCKET_SETTLE_SECONDS = 2.0  # lets a service's agents connect before its buckets are spread
REBALANCE_SECONDS = 1.0  # between two buckets of a service that a shard moves to even them out
MAX_BUCKETS = 256  # buckets of one shard over all services


class Timings(Record):
    """Settings that decide when a grant has certainly ended, in seconds.

    Parameters
    ----------
    grant_seconds
        Time an agent may run a task without renewal.
    stop_seconds
        Time a worker needs at most to stop a task.
    outage_hold_seconds
        Time an owner goes on renewing after its last successful lease renewal.
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

    def takeover_seconds(self) -> float:
        """Return the time after a takeover at which a former owner's grants have ended."""
        last_expiry = (self.outage_hold_seconds + self.grant_seconds) * CLOCK_DRIFT
        return last_expiry + self.stop_seconds

    def largest(self, other: Timings) -> Timings:
        """Return the longer time of each field."""
        pairs = zip(self.values(), other.values(), strict=True)
        return Timings(*(max(mine, theirs) for mine, theirs in pairs))
