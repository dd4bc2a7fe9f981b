"""Keyed non-idempotent requests: buckets of keys and recorded outcomes."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from enum import Enum
from typing import Any

from acaciastand.errors import Outcome
from acaciastand.reasons import Reason

BUCKETS_PER_SERVICE = 32
MAX_KEYS_PER_SERVICE = 4096
MAX_ANSWER_BYTES = 4 << 20  # recorded answers per service; the agent may use 32 MB in all
MAX_KEYED_SECONDS = 15.0  # longest timeout of a keyed request, see design.md 3.4


def bucket_of(key: str) -> int:
    """Return the bucket of `key`; every process and version computes the same one."""
    return zlib.crc32(key.encode()) % BUCKETS_PER_SERVICE


def bucket_task_id(service: str, key: str) -> str:
    """Return the task id of the bucket that holds `key`."""
    return f"bucket/{service}/{bucket_of(key)}"


class KeyState(Enum):
    """State of a key at its home."""

    RUNNING = 1
    ANSWERED = 2
    UNKNOWN = 3
    NOT_RUN = 4


class KeyRecord:
    """A key and what is known of its request.

    Attributes
    ----------
    answer
        Opaque answer of the target, for repeated requests.
    waiter
        For the caller's use: what joined requests wait on.
    """

    __slots__ = ("key", "state", "answer", "size", "since", "waiter")

    def __init__(self, key: str, now: float) -> None:
        self.key = key
        self.state = KeyState.RUNNING
        self.answer: Any = None
        self.size = 0
        self.since = now
        self.waiter: Any = None


class KeyTable:
    """Keys of one service on one host, bounded by count and by bytes of recorded answers.

    Parameters
    ----------
    window_seconds
        How long an outcome is kept after it is known.
    """

    def __init__(self, window_seconds: float) -> None:
        self.window_seconds = window_seconds
        self.answer_bytes = 0
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str, now: float) -> KeyRecord | None:
        """Return the record of `key` if it is inside the window."""
        self._expire(now)
        return self._records.get(key)

    def is_full(self, now: float) -> bool:
        """Return whether a new key must be refused."""
        self._expire(now)
        return len(self._records) >= MAX_KEYS_PER_SERVICE or self.answer_bytes >= MAX_ANSWER_BYTES

    def record_start(self, key: str, now: float) -> KeyRecord:
        """Record that the request of `key` runs."""
        record = self._records[key] = KeyRecord(key, now)
        return record

    def record_answer(self, key: str, answer: Any, size: int, now: float) -> None:
        """Record the answer of `key`."""
        record = self._records[key]
        record.state, record.answer, record.size = KeyState.ANSWERED, answer, size
        self.answer_bytes += size
        self._renew(record, now)

    def unknown(self, key: str, now: float) -> None:
        """Record that the request of `key` may have run without an answer."""
        record = self._records[key]
        record.state = KeyState.UNKNOWN
        self._renew(record, now)

    def not_run(self, key: str) -> None:
        """Forget `key`, whose request certainly did not run."""
        self._records.pop(key).state = KeyState.NOT_RUN

    def running(self, bucket: int) -> bool:
        """Return whether a request of `bucket` is running."""
        return any(
            record.state is KeyState.RUNNING and bucket_of(record.key) == bucket
            for record in self._records.values()
        )

    def drop_bucket(self, bucket: int) -> None:
        """Forget the outcomes of a bucket that left this host."""
        for key in [key for key in self._records if bucket_of(key) == bucket]:
            self.answer_bytes -= self._records.pop(key).size

    def _renew(self, record: KeyRecord, now: float) -> None:
        record.since = now
        self._records.move_to_end(record.key)

    def _expire(self, now: float) -> None:
        # Known outcomes are ordered by time; running keys stay until their outcome is known.
        for key, record in list(self._records.items()):
            if record.state is KeyState.RUNNING:
                continue
            if now - record.since < self.window_seconds:
                return
            self.answer_bytes -= record.size
            del self._records[key]


def unknown_key_refusal(
    attempt_number: int,
    key_age_seconds: float | None,
    tracked_seconds: float,
    window_seconds: float,
) -> tuple[Outcome, Reason] | None:
    """Return why a key without a record may not run, or None when it certainly has not run.

    Parameters
    ----------
    key_age_seconds
        Time since the caller's first attempt; None when it is not stated.
    tracked_seconds
        How long this host has held the bucket without a gap.
    """
    if attempt_number == 1:
        return None
    if key_age_seconds is None:
        forgotten = tracked_seconds >= window_seconds
        return Outcome.UNKNOWN, Reason.KEY_FORGOTTEN if forgotten else Reason.HOME_MOVED
    if tracked_seconds <= key_age_seconds + MAX_KEYED_SECONDS:
        return Outcome.UNKNOWN, Reason.HOME_MOVED
    if key_age_seconds + MAX_KEYED_SECONDS >= window_seconds:
        return Outcome.UNKNOWN, Reason.KEY_FORGOTTEN
    return None
