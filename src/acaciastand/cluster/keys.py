"""Keys of the store, and the form of their values (CBOR)."""

from __future__ import annotations

from typing import Any

import cbor2

from acaciastand.errors import InvalidInput
from acaciastand.record import Record
from acaciastand.workflow.interference import InterferenceSnapshot
from acaciastand.workflow.job import Job, JobProgress
from acaciastand.workflow.spec import spec_from_list, spec_to_list

CONTROL_PREFIX = "control/"
OWNER_KEY = "control/owner"  # rewritten at each takeover; its revision fences all commits
OWNER_HEARTBEAT_KEY = "control/beat"  # rewritten by the owner while it lives
AGENTS_PREFIX = "members/agents/"
ENTRIES_PREFIX = "members/entries/"
INBOX_PREFIX = "inbox/"  # written by any entry, read by the owner
JOBS_PREFIX = "inbox/jobs/"
CANCELS_PREFIX = "inbox/cancels/"
PROGRESS_PREFIX = "progress/"  # written by the owner only
INTERFERENCE_KEY = "learned/interference"  # what the owner knows of pairs of images


class OwnerRecord(Record):
    """Who owns the jobs; `nonce` tells claims of one entry apart."""

    __slots__ = ("entry_id", "address", "epoch", "nonce")

    def __init__(self, entry_id: str, address: str, epoch: int, nonce: bytes) -> None:
        self.entry_id = entry_id
        self.address = address
        self.epoch = epoch
        self.nonce = nonce

    def encode(self) -> bytes:
        """Return the stored form."""
        return cbor2.dumps(list(self.values()))

    @classmethod
    def decode(cls, data: bytes) -> OwnerRecord:
        """Return the record in its stored form."""
        return cls(*cbor2.loads(data))


def encode_job(job: Job) -> bytes:
    """Return a submission in its stored form."""
    return cbor2.dumps([job.queue, job.accepted_unix, spec_to_list(job.spec)])


def decode_job(job_id: str, data: bytes) -> Job:
    """Return the job of a submission in its stored form."""
    queue, accepted_unix, spec = cbor2.loads(data)
    return Job(job_id, queue, spec_from_list(spec), accepted_unix)


def encode_progress(progress: JobProgress) -> bytes:
    """Return the progress of a job in its stored form."""
    return cbor2.dumps(list(progress.values()))


def decode_progress(data: bytes) -> JobProgress:
    """Return the progress in its stored form."""
    return JobProgress(*cbor2.loads(data))


def encode_interference(snapshot: InterferenceSnapshot) -> bytes:
    """Return what is known of pairs of images in its stored form."""
    return cbor2.dumps(list(snapshot.values()))


def decode_interference(data: bytes) -> InterferenceSnapshot:
    """Return what is known of pairs of images in its stored form.

    Raises
    ------
    InvalidInput
        It cannot be read.
    """
    try:
        pairs, alone = cbor2.loads(data)
        rows = [(str(b), str(s), float(taken), float(cores)) for b, s, taken, cores in pairs]
        return InterferenceSnapshot(rows, {str(key): float(value) for key, value in alone.items()})
    except (cbor2.CBORDecodeError, ValueError, TypeError, AttributeError) as error:
        raise InvalidInput(
            f"{INTERFERENCE_KEY} cannot be read: {error!r}", "it is learned again"
        ) from (error)


def encode_fields(fields: Any) -> bytes:
    """Return plain values in their stored form."""
    return cbor2.dumps(fields)


def decode_fields(data: bytes) -> Any:
    """Return plain values in their stored form."""
    return cbor2.loads(data)
