"""Requests with an idempotency key.

The keys of a service are divided into buckets. The host that runs the attempt of a bucket is its
home: it alone runs requests with keys of the bucket, each at most once, and records their outcomes.
"""

from __future__ import annotations

import zlib
from collections import OrderedDict
from enum import Enum
from typing import Any

from acaciastand.errors import Outcome
from acaciastand.reasons import Reason

BUCKETS_PER_SERVICE = 32
MAX_KEYS_PER_SERVICE = 4096
MAX_ANSWER_BYTES = 4 << 20  # Recorded answers per service; the whole agent may use 32 MB.
MAX_KEYED_TIMEOUT_SECONDS = 15.0  # Longest timeout of a keyed request; see design.md 3.4.


def bucket_of(key: str) -> int:
    """Return the bucket number of `key`, which is equal in all processes and versions."""
    return zlib.crc32(key.encode()) % BUCKETS_PER_SERVICE


def bucket_task_id(service: str, key: str) -> str:
    """Return the task id of the bucket that holds `key`."""
    return f"bucket/{service}/{bucket_of(key)}"


class KeyedRequestState(Enum):
    """State of the request of a key."""

    RUNNING = 1
    ANSWERED = 2
    UNKNOWN = 3
    NOT_RUN = 4


class KeyRecord:
    """Recorded state and outcome of the request of a key.

    Attributes
    ----------
    answer
        Answer of the target, returned to repeated requests; opaque to the host.
    size
        Bytes of the recorded answer.
    updated_at
        When the state last changed, in monotonic seconds.
    waiter
        Event for which requests wait that joined the running one; set by the agent.
    """

    __slots__ = ("key", "state", "answer", "size", "updated_at", "waiter")

    def __init__(self, key: str, now: float) -> None:
        self.key = key
        self.state = KeyedRequestState.RUNNING
        self.answer: Any = None
        self.size = 0
        self.updated_at = now
        self.waiter: Any = None


class KeyTable:
    """Keys of one service on one host, bounded by count and by bytes of recorded answers.

    Parameters
    ----------
    window_seconds
        How long an outcome is kept after it is known.

    Attributes
    ----------
    answer_bytes
        Size of all recorded answers in bytes.
    """

    def __init__(self, window_seconds: float) -> None:
        self.window_seconds = window_seconds
        self.answer_bytes = 0
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str, now: float) -> KeyRecord | None:
        """Return the record of `key`, or None when there is none or its window has passed."""
        self._remove_expired(now)
        return self._records.get(key)

    def is_full(self, now: float) -> bool:
        """Return whether a new key must be refused."""
        self._remove_expired(now)
        return len(self._records) >= MAX_KEYS_PER_SERVICE or self.answer_bytes >= MAX_ANSWER_BYTES

    def record_start(self, key: str, now: float) -> KeyRecord:
        """Record that the request of `key` starts to run, and return the new record."""
        record = self._records[key] = KeyRecord(key, now)
        return record

    def record_answer(self, key: str, answer: Any, size: int, now: float) -> None:
        """Record the answer to the request of `key`, whose body has `size` bytes."""
        record = self._records[key]
        record.state, record.answer, record.size = KeyedRequestState.ANSWERED, answer, size
        self.answer_bytes += size
        self._restart_window(record, now)

    def record_unknown(self, key: str, now: float) -> None:
        """Record that the request of `key` has no answer but may have run."""
        record = self._records[key]
        record.state = KeyedRequestState.UNKNOWN
        self._restart_window(record, now)

    def record_not_run(self, key: str) -> None:
        """Forget `key`, whose request certainly did not run."""
        self._records.pop(key).state = KeyedRequestState.NOT_RUN

    def has_running_request(self, bucket: int) -> bool:
        """Return whether a request with a key of `bucket` is running."""
        return any(
            record.state is KeyedRequestState.RUNNING and bucket_of(record.key) == bucket
            for record in self._records.values()
        )

    def drop_bucket(self, bucket: int) -> None:
        """Forget the outcomes of a bucket that left this host."""
        for key in [key for key in self._records if bucket_of(key) == bucket]:
            self.answer_bytes -= self._records.pop(key).size

    def _restart_window(self, record: KeyRecord, now: float) -> None:
        record.updated_at = now
        self._records.move_to_end(record.key)

    def _remove_expired(self, now: float) -> None:
        # Records with an outcome are ordered by its time; records of running requests are kept.
        for key, record in list(self._records.items()):
            if record.state is KeyedRequestState.RUNNING:
                continue
            if now - record.updated_at < self.window_seconds:
                return
            self.answer_bytes -= record.size
            del self._records[key]


def unknown_key_refusal(
    attempt_number: int,
    key_age_seconds: float | None,
    tracked_seconds: float,
    window_seconds: float,
) -> tuple[Outcome, Reason] | None:
    """Return why a request with an unrecorded key is refused, or None if it certainly has not run.

    Parameters
    ----------
    attempt_number
        Number of the caller's attempt with this key; the first one is 1.
    key_age_seconds
        Time since the caller's first attempt; None when the caller does not state it.
    tracked_seconds
        How long this host has been the home of the bucket without a gap.
    window_seconds
        How long this host keeps an outcome.
    """
    if attempt_number == 1:
        return None
    if key_age_seconds is None:
        forgotten = tracked_seconds >= window_seconds
        return Outcome.UNKNOWN, Reason.KEY_FORGOTTEN if forgotten else Reason.HOME_MOVED
    if tracked_seconds <= key_age_seconds + MAX_KEYED_TIMEOUT_SECONDS:
        return Outcome.UNKNOWN, Reason.HOME_MOVED
    if key_age_seconds + MAX_KEYED_TIMEOUT_SECONDS >= window_seconds:
        return Outcome.UNKNOWN, Reason.KEY_FORGOTTEN
    return None
