"""Admission of callers' requests to the target."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from acaciastand.errors import Outcome
from acaciastand.host.attempts import AttemptState
from acaciastand.host.keyed import (
    BUCKETS_PER_SERVICE,
    MAX_KEYED_TIMEOUT_SECONDS,
    KeyedRequestState,
    KeyRecord,
    KeyTable,
    bucket_task_id,
    unknown_key_refusal,
)
from acaciastand.host.slots import RequestSlots
from acaciastand.reasons import Reason
from acaciastand.record import Record

if TYPE_CHECKING:
    from acaciastand.host.host import Host

MAX_REQUEST_BYTES = 512 << 10
# A request with less time left cannot reach the target and return.
MIN_TIMEOUT_SECONDS = 0.002


class RequestMetadata(Record):
    """Properties of a request on which its admission depends.

    Parameters
    ----------
    body_bytes
        Size of the body in bytes.
    timeout_seconds
        Time left until the deadline of the request.
    key
        Idempotency key; empty when there is none.
    attempt_number
        Number of the caller's attempt with this key; the first one is 1.
    key_age_seconds
        Time since the caller's first attempt with this key; None when the caller does not state it.
    """

    __slots__ = (
        "request_id",
        "service",
        "body_bytes",
        "timeout_seconds",
        "key",
        "attempt_number",
        "key_age_seconds",
    )

    def __init__(
        self,
        request_id: str,
        service: str,
        body_bytes: int = 0,
        timeout_seconds: float = 1.0,
        key: str = "",
        attempt_number: int = 0,
        key_age_seconds: float | None = None,
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.body_bytes = body_bytes
        self.timeout_seconds = timeout_seconds
        self.key = key
        self.attempt_number = attempt_number
        self.key_age_seconds = key_age_seconds


class AdmissionDecision(Enum):
    """What the agent does with a request.

    `JOIN` waits for the running request with the same key; `ANSWER` returns the recorded answer.
    """

    RUN = 1
    JOIN = 2
    ANSWER = 3
    REFUSE = 4


class AdmissionResult(Record):
    """Decision on a request.

    Parameters
    ----------
    record
        Record of the idempotency key, or None when there is none.
    outcome, reason
        Outcome and reason of a refusal; None when the request is not refused.
    timeout_seconds
        Time that the target may take for a request that is to run.
    """

    __slots__ = ("decision", "record", "outcome", "reason", "timeout_seconds")

    def __init__(
        self,
        decision: AdmissionDecision,
        record: KeyRecord | None = None,
        outcome: Outcome | None = None,
        reason: Reason | None = None,
        timeout_seconds: float = 0.0,
    ) -> None:
        self.decision = decision
        self.record = record
        self.outcome = outcome
        self.reason = reason
        self.timeout_seconds = timeout_seconds


def _refuse_not_run(reason: Reason) -> AdmissionResult:
    return AdmissionResult(AdmissionDecision.REFUSE, outcome=Outcome.NOT_RUN, reason=reason)


class RequestAdmission:
    """Decides which requests reach the target, within its slots and connections.

    The caller of a request that is not refused occupies a connection until `release_connection`.

    Parameters
    ----------
    host
        Host whose ledger tracks the bucket homes.
    services
        Services that the target serves.
    slots, connections
        Requests that the target executes at once, and callers that may wait at once.
    key_window_seconds
        How long outcomes of requests with a key are kept.
    """

    def __init__(
        self,
        host: Host,
        services: list[str],
        slots: int,
        connections: int,
        key_window_seconds: float,
    ) -> None:
        self.host = host
        self.slots = RequestSlots(slots, connections)
        self.key_tables = {service: KeyTable(key_window_seconds) for service in services}

    @property
    def is_busy(self) -> bool:
        """Whether a request runs or a caller waits for an answer."""
        return bool(self.slots.running) or self.slots.open_connections > 0

    def admit(self, request: RequestMetadata, now: float) -> AdmissionResult:
        """Decide on a request; unless it is refused, its caller occupies a connection."""
        reason = self._refusal(request)
        if reason is not None:
            return _refuse_not_run(reason)
        if self.slots.may_be_running(request.request_id):
            return AdmissionResult(
                AdmissionDecision.REFUSE, outcome=Outcome.UNKNOWN, reason=Reason.DUPLICATE_REQUEST
            )
        admission = self._admit_keyed(request, now) if request.key else self._start_request(request)
        if admission.decision is not AdmissionDecision.REFUSE:
            self.slots.add_connection()
        return admission

    def release_connection(self) -> None:
        """Free the connection of an admitted caller."""
        self.slots.remove_connection()

    def record_answer(
        self, request: RequestMetadata, answer: object, size: int, now: float
    ) -> None:
        """Record that the target answered completely; the body has `size` bytes."""
        self.slots.end_request(request.request_id, True, now)
        if request.key:
            self.key_tables[request.service].record_answer(request.key, answer, size, now)

    def record_not_run(self, request: RequestMetadata, now: float) -> None:
        """Record that the target certainly did not start the request."""
        self.slots.end_request(request.request_id, True, now)
        if request.key:
            self.key_tables[request.service].record_not_run(request.key)

    def record_unknown(self, request: RequestMetadata, now: float) -> None:
        """Record that the request may have run; it keeps its slot while it may still run."""
        self.slots.end_request(request.request_id, False, now)
        if request.key:
            self.key_tables[request.service].record_unknown(request.key, now)

    def bucket_refusal(self, task_id: str) -> Reason | None:
        """Return why this host cannot be the home of a bucket, or None if it can."""
        _, _, bucket = task_id.partition("/")
        service, _, number = bucket.rpartition("/")
        if service not in self.key_tables:
            return Reason.UNKNOWN_SERVICE
        is_valid = number.isdecimal() and int(number) < BUCKETS_PER_SERVICE
        return None if is_valid else Reason.UNKNOWN_SERVICE

    def has_running_request(self, task_id: str) -> bool:
        """Return whether a request with a key of the bucket is running."""
        _, service, number = task_id.split("/")
        return self.key_tables[service].has_running_request(int(number))

    def drop_bucket(self, task_id: str) -> None:
        """Forget the recorded outcomes of a bucket that leaves this host."""
        _, service, number = task_id.split("/")
        self.key_tables[service].drop_bucket(int(number))

    def set_key_window(self, seconds: float) -> None:
        """Set how long the outcomes of requests with a key are kept."""
        for table in self.key_tables.values():
            table.window_seconds = seconds

    def _refusal(self, request: RequestMetadata) -> Reason | None:
        host = self.host
        if request.service not in self.key_tables:
            return Reason.UNKNOWN_SERVICE
        if request.body_bytes > MAX_REQUEST_BYTES:
            return Reason.BODY_TOO_LARGE
        if host.draining:
            return Reason.DRAINING
        if host.recovering:
            return Reason.RECOVERING
        if request.timeout_seconds <= 0:
            return Reason.DEADLINE_PASSED
        if request.timeout_seconds < MIN_TIMEOUT_SECONDS:
            return Reason.DEADLINE_TOO_SHORT
        if not host.target_up and not request.key:
            return Reason.TARGET_DOWN
        return self.slots.refusal(needs_slot=not request.key)

    def _start_request(
        self, request: RequestMetadata, record: KeyRecord | None = None
    ) -> AdmissionResult:
        self.slots.start_request(request.request_id)
        return AdmissionResult(
            AdmissionDecision.RUN, record, timeout_seconds=request.timeout_seconds
        )

    def _admit_keyed(self, request: RequestMetadata, now: float) -> AdmissionResult:
        home = self.host.ledger.attempts.get(bucket_task_id(request.service, request.key))
        is_home = home is not None and home.state in (AttemptState.RUNNING, AttemptState.PAUSED)
        if home is None or not is_home or now >= home.valid_until:
            return _refuse_not_run(Reason.BUCKET_NOT_HELD)
        table = self.key_tables[request.service]
        record = table.get(request.key, now)
        if record is not None:
            return _admission_of_record(record)
        tracked_seconds = now - home.tracked_since
        if (
            home.number > 1
            and request.attempt_number == 1
            and tracked_seconds <= MAX_KEYED_TIMEOUT_SECONDS
        ):
            # Another copy of the request may have run at the former home of the bucket. After
            # MAX_KEYED_TIMEOUT_SECONDS, every copy that an entry accepted before the move has
            # reached its deadline.
            return _refuse_not_run(Reason.HOME_MOVED)
        refusal = unknown_key_refusal(
            request.attempt_number, request.key_age_seconds, tracked_seconds, table.window_seconds
        )
        if refusal is not None:
            return AdmissionResult(AdmissionDecision.REFUSE, outcome=refusal[0], reason=refusal[1])
        return self._start_new_key(request, table, now)

    def _start_new_key(
        self, request: RequestMetadata, table: KeyTable, now: float
    ) -> AdmissionResult:
        if not self.host.target_up:
            return _refuse_not_run(Reason.TARGET_DOWN)
        if table.is_full(now):
            return _refuse_not_run(Reason.LEDGER_FULL)
        reason = self.slots.refusal()
        if reason is not None:
            return _refuse_not_run(reason)
        admission = self._start_request(request, table.record_start(request.key, now))
        admission.timeout_seconds = min(request.timeout_seconds, MAX_KEYED_TIMEOUT_SECONDS)
        return admission


def _admission_of_record(record: KeyRecord) -> AdmissionResult:
    if record.state is KeyedRequestState.RUNNING:
        return AdmissionResult(AdmissionDecision.JOIN, record)
    if record.state is KeyedRequestState.ANSWERED:
        return AdmissionResult(AdmissionDecision.ANSWER, record)
    return AdmissionResult(
        AdmissionDecision.REFUSE, record, outcome=Outcome.UNKNOWN, reason=Reason.TARGET_BROKE_OFF
    )
