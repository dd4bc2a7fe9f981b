"""State of one host: capacity, admission, attempts, grants and requests with keys."""

from acaciastand.host.attempts import (
    Attempt,
    AttemptResult,
    AttemptState,
    Grant,
    WorkerCommand,
    WorkerCommandKind,
    WorkerTask,
)
from acaciastand.host.host import Host
from acaciastand.host.keyed import BUCKETS_PER_SERVICE, bucket_of, bucket_task_id
from acaciastand.host.requests import AdmissionDecision, AdmissionResult, RequestMetadata

__all__ = [
    "BUCKETS_PER_SERVICE",
    "AdmissionDecision",
    "AdmissionResult",
    "Attempt",
    "AttemptResult",
    "AttemptState",
    "Grant",
    "Host",
    "RequestMetadata",
    "WorkerCommand",
    "WorkerCommandKind",
    "WorkerTask",
    "bucket_of",
    "bucket_task_id",
]
