"""The aggregate of one host: capacity, admission, tasks, grants and keyed requests."""

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
from acaciastand.host.requests import Admission, Decision, RequestFacts

__all__ = [
    "BUCKETS_PER_SERVICE",
    "Admission",
    "Attempt",
    "AttemptResult",
    "AttemptState",
    "Decision",
    "Grant",
    "Host",
    "RequestFacts",
    "WorkerCommand",
    "WorkerCommandKind",
    "WorkerTask",
    "bucket_of",
    "bucket_task_id",
]
