"""Admission of callers' requests to the target."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from acaciastand.errors import Outcome
from acaciastand.host.attempts import AttemptState
from acaciastand.host.keyed import (
    BUCKETS_PER_SERVICE,
    MAX_KEYED_SECONDS,
    KeyRecord,
    KeyState,
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
MIN_TIMEOUT_SECONDS = 0.002  # a request with less left cannot reach the target and return


class RequestFacts(Record):
    """What admission needs to know of a request.

    Parameters
    ----------
    timeout_seconds
        What is left of its deadline.
    key
        Idempotency key; empty when there is none.
    key_age_seconds
        Time since the caller's first attempt, None when it is not stated.
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


class Decision(Enum):
    """What the agent does with a request."""

    RUN = 1
    JOIN = 2
    ANSWER = 3
    REFUSE = 4


class Admission(Record):
    """Decision on a request; `outcome` and `reason` are set when it is refused."""

    __slots__ = ("decision", "record", "outcome", "reason", "timeout_seconds")

    def __init__(
        self,
        decision: Decision,
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


def _not_run(reason: Reason) -> Admission:
    return Admission(Decision.REFUSE, outcome=Outcome.NOT_RUN, reason=reason)


class RequestAdmission:
    """Admits requests; callers of admitted ones are counted until `leave`.

    Parameters
    ----------
    host
        The aggregate that holds the bucket homes.
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
        self.keys = {service: KeyTable(key_window_seconds) for service in services}

    @property
    def busy(self) -> bool:
        """Whether a request runs or a caller waits."""
        return bool(self.slots.running) or self.slots.open_connections > 0

    def admit(self, facts: RequestFacts, now: float) -> Admission:
        """Decide on a request; unless it is refused, the caller holds a connection."""
        reason = self._refusal(facts)
        if reason is not None:
            return _not_run(reason)
        if self.slots.holds(facts.request_id):
            return Admission(
                Decision.REFUSE, outcome=Outcome.UNKNOWN, reason=Reason.DUPLICATE_REQUEST
            )
        admission = self._keyed(facts, now) if facts.key else self._run(facts)
        if admission.decision is not Decision.REFUSE:
            self.slots.connect()
        return admission

    def leave(self) -> None:
        """Free the connection of an admitted caller."""
        self.slots.disconnect()

    def answered(self, facts: RequestFacts, answer: object, size: int, now: float) -> None:
        """Record the target's whole answer."""
        self.slots.end(facts.request_id, True, now)
        if facts.key:
            self.keys[facts.service].record_answer(facts.key, answer, size, now)

    def not_run(self, facts: RequestFacts, now: float) -> None:
        """Record that the target certainly did not begin the request."""
        self.slots.end(facts.request_id, True, now)
        if facts.key:
            self.keys[facts.service].not_run(facts.key)

    def unknown(self, facts: RequestFacts, now: float) -> None:
        """Record that the request may have run; its slot stays taken while it may run."""
        self.slots.end(facts.request_id, False, now)
        if facts.key:
            self.keys[facts.service].unknown(facts.key, now)

    def bucket_refusal(self, task_id: str) -> Reason | None:
        """Return why a bucket cannot be taken, or None."""
        _, _, name = task_id.partition("/")
        service, _, number = name.rpartition("/")
        if service not in self.keys:
            return Reason.UNKNOWN_SERVICE
        valid = number.isdecimal() and int(number) < BUCKETS_PER_SERVICE
        return None if valid else Reason.UNKNOWN_SERVICE

    def bucket_running(self, task_id: str) -> bool:
        """Return whether a keyed request of the bucket is running."""
        _, service, number = task_id.split("/")
        return self.keys[service].running(int(number))

    def drop_bucket(self, task_id: str) -> None:
        """Forget the outcomes of a bucket that leaves this host."""
        _, service, number = task_id.split("/")
        self.keys[service].drop_bucket(int(number))

    def set_key_window(self, seconds: float) -> None:
        """Change how long outcomes are kept."""
        for table in self.keys.values():
            table.window_seconds = seconds

    def _refusal(self, facts: RequestFacts) -> Reason | None:
        host = self.host
        if facts.service not in self.keys:
            return Reason.UNKNOWN_SERVICE
        if facts.body_bytes > MAX_REQUEST_BYTES:
            return Reason.BODY_TOO_LARGE
        if host.draining:
            return Reason.DRAINING
        if host.recovering:
            return Reason.RECOVERING
        if facts.timeout_seconds <= 0:
            return Reason.DEADLINE_PASSED
        if facts.timeout_seconds < MIN_TIMEOUT_SECONDS:
            return Reason.DEADLINE_TOO_SHORT
        if not host.target_up and not facts.key:
            return Reason.TARGET_DOWN
        return self.slots.refusal(needs_slot=not facts.key)

    def _run(self, facts: RequestFacts, record: KeyRecord | None = None) -> Admission:
        self.slots.start(facts.request_id)
        return Admission(Decision.RUN, record, timeout_seconds=facts.timeout_seconds)

    def _keyed(self, facts: RequestFacts, now: float) -> Admission:
        home = self.host.ledger.attempts.get(bucket_task_id(facts.service, facts.key))
        is_home = home is not None and home.state in (AttemptState.RUNNING, AttemptState.PAUSED)
        if home is None or not is_home or now >= home.valid_until:
            return _not_run(Reason.BUCKET_NOT_HELD)
        table = self.keys[facts.service]
        record = table.get(facts.key, now)
        if record is not None:
            return _known(record)
        tracked_seconds = now - home.tracked_since
        if home.number > 1 and facts.attempt_number == 1 and tracked_seconds <= MAX_KEYED_SECONDS:
            # Another copy of the request may have run at the former home; by the end of this time
            # every copy that an entry accepted before the move has reached its deadline.
            return _not_run(Reason.HOME_MOVED)
        refusal = unknown_key_refusal(
            facts.attempt_number, facts.key_age_seconds, tracked_seconds, table.window_seconds
        )
        if refusal is not None:
            return Admission(Decision.REFUSE, outcome=refusal[0], reason=refusal[1])
        return self._run_new_key(facts, table, now)

    def _run_new_key(self, facts: RequestFacts, table: KeyTable, now: float) -> Admission:
        if not self.host.target_up:
            return _not_run(Reason.TARGET_DOWN)
        if table.is_full(now):
            return _not_run(Reason.LEDGER_FULL)
        reason = self.slots.refusal()
        if reason is not None:
            return _not_run(reason)
        admission = self._run(facts, table.record_start(facts.key, now))
        admission.timeout_seconds = min(facts.timeout_seconds, MAX_KEYED_SECONDS)
        return admission


def _known(record: KeyRecord) -> Admission:
    if record.state is KeyState.RUNNING:
        return Admission(Decision.JOIN, record)
    if record.state is KeyState.ANSWERED:
        return Admission(Decision.ANSWER, record)
    return Admission(
        Decision.REFUSE, record, outcome=Outcome.UNKNOWN, reason=Reason.TARGET_BROKE_OFF
    )
