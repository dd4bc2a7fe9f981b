"""Keys in the store, and the encoding of their values as CBOR."""

from __future__ import annotations

import re
from typing import Any

import cbor2

from acaciastand.checks import (
    MALFORMED,
    check_address,
    check_bytes,
    check_integer,
    check_list,
    check_number,
    check_text,
)
from acaciastand.coordination.transactions import Item
from acaciastand.errors import AcaciastandError, InvalidInput
from acaciastand.record import Record
from acaciastand.workflow.interference import InterferenceSnapshot
from acaciastand.workflow.job import Job
from acaciastand.workflow.job_progress import JobProgress
from acaciastand.workflow.spec import spec_from_list, spec_to_list

CONTROL_PREFIX = "control/"
OWNER_KEY = "control/owner"  # Rewritten at each takeover; its revision fences all commits.
OWNER_HEARTBEAT_KEY = "control/beat"  # Rewritten by the owner as long as it runs.
AGENTS_PREFIX = "members/agents/"
ENTRIES_PREFIX = "members/entries/"
INBOX_PREFIX = "inbox/"  # Keys that any entry writes and the owner reads.
JOBS_PREFIX = "inbox/jobs/"
CANCELS_PREFIX = "inbox/cancels/"
PROGRESS_PREFIX = "progress/"  # Keys that only the owner writes.
INTERFERENCE_KEY = "learned/interference"  # Interference model of the owner.
JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_HEADROOM = 1_000.0  # Headroom is a share of the latency target.
MAX_REASON_LENGTH = 200  # Characters of an error that go into the message on an item.


class StoredItemUnreadable(AcaciastandError):
    """An item of the store is not what this version of the system writes there."""

    code = "stored_item_unreadable"


class OwnerRecord(Record):
    """Value of the owner key.

    Parameters
    ----------
    entry_id, address
        The owner and its ``ip:port`` for other entries.
    epoch
        Number of the term of ownership; higher than that of every earlier term.
    nonce
        Random bytes that distinguish the claims of one entry.
    """

    __slots__ = ("entry_id", "address", "epoch", "nonce")

    def __init__(self, entry_id: str, address: str, epoch: int, nonce: bytes) -> None:
        self.entry_id = entry_id
        self.address = address
        self.epoch = epoch
        self.nonce = nonce

    def encode(self) -> bytes:
        """Return the encoded record."""
        return cbor2.dumps(list(self.values()))

    @classmethod
    def decode(cls, data: bytes) -> OwnerRecord:
        """Return the record that `data` encodes.

        Raises
        ------
        StoredItemUnreadable
            `data` cannot be decoded.
        """
        try:
            entry_id, address, epoch, nonce = check_list(cbor2.loads(data))
            return cls(
                check_text(entry_id),
                check_address(address),
                check_integer(epoch),
                check_bytes(nonce),
            )
        except MALFORMED as error:
            raise _unreadable(OWNER_KEY, error) from error


def encode_job(job: Job) -> bytes:
    """Return the encoded submission of a job."""
    return cbor2.dumps([job.queue, job.accepted_unix, spec_to_list(job.spec)])


def decode_job(job_id: str, data: bytes) -> Job:
    """Return the job of an encoded submission.

    Raises
    ------
    StoredItemUnreadable
        `data` cannot be decoded.
    """
    try:
        if not JOB_ID.fullmatch(job_id):
            raise ValueError("the key does not end in the id of a job")
        queue, accepted_unix, spec = check_list(cbor2.loads(data))
        return Job(job_id, check_text(queue), spec_from_list(spec), check_number(accepted_unix))
    except MALFORMED as error:
        raise _unreadable(JOBS_PREFIX + job_id, error) from error


def encode_progress(progress: JobProgress) -> bytes:
    """Return the encoded progress of a job."""
    return cbor2.dumps(progress.to_list())


def restore_progress(job: Job, item: Item) -> None:
    """Restore the stored progress of a job.

    Raises
    ------
    StoredItemUnreadable
        The item cannot be decoded.
    """
    try:
        job.restore(JobProgress.from_list(cbor2.loads(item.value), len(job.tasks)))
    except MALFORMED as error:
        raise _unreadable(item.key, error) from error
    job.revision = item.revision


def load_job(job_id: str, submission: Item, progress: Item | None) -> Job:
    """Return a job with its stored progress.

    Raises
    ------
    StoredItemUnreadable
        One of the items cannot be decoded. Without its progress the job must not start, since its
        tasks may have run already.
    """
    job = decode_job(job_id, submission.value)
    if progress is not None:
        restore_progress(job, progress)
    return job


def _unreadable(key: str, error: BaseException) -> StoredItemUnreadable:
    reason = str(error)[:MAX_REASON_LENGTH] or type(error).__name__
    return StoredItemUnreadable(
        f"{key} cannot be decoded: {reason}", "remove the key or store it again"
    )


def encode_interference(snapshot: InterferenceSnapshot) -> bytes:
    """Return the encoded snapshot of an interference model."""
    return cbor2.dumps(list(snapshot.values()))


def decode_interference(data: bytes) -> InterferenceSnapshot:
    """Return the snapshot of an interference model that `data` encodes.

    Raises
    ------
    InvalidInput
        `data` cannot be decoded.
    """
    try:
        (pairs,) = check_list(cbor2.loads(data))
        rows = [
            (
                check_text(batch),
                check_text(service),
                check_number(per_core, -MAX_HEADROOM, MAX_HEADROOM),
                check_number(variance),
            )
            for batch, service, per_core, variance in check_list(pairs)
        ]
        return InterferenceSnapshot(rows)
    except MALFORMED as error:
        raise InvalidInput(
            f"{INTERFERENCE_KEY} cannot be decoded: {error}", "let the owner learn it again"
        ) from error


def encode_fields(fields: Any) -> bytes:
    """Return the encoding of plain values: numbers, texts, bytes, lists and maps."""
    return cbor2.dumps(fields)


def decode_address(item: Item) -> str:
    """Return the address in the registration of a process.

    Raises
    ------
    StoredItemUnreadable
        The item is not a registration.
    """
    try:
        address, _availability_zone = check_list(cbor2.loads(item.value))
        return check_address(address)
    except MALFORMED as error:
        raise _unreadable(item.key, error) from error
