"""Events of a shard; the journal stores them in the order in which they happened.

The compact form of an event is the array ``[type number, fields...]``, which CBOR can encode.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, ClassVar

from acaciastand.record import Record
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import Timings


class AttemptEnd(StrEnum):
    """How an attempt ended.

    A task whose attempt may still run starts elsewhere only after a proof that the attempt has
    ended. Descriptions of metrics number the three proofs:

    1. The agent confirmed the stop (`STOPPED`).
    2. A newer incarnation of the worker does not list the task (`ABSENT`).
    3. The grant has certainly expired (`EXPIRED`).
    """

    COMPLETED = "completed"
    FAILED = "failed"
    EVICTED = "evicted"
    START_FAILED = "start_failed"  # The worker could not start the task.
    STOPPED = "stopped"  # The agent confirmed that it stopped the attempt.
    LOST = "lost"  # The agent found that its worker no longer has the task.
    ABSENT = "absent"  # A newer incarnation of the worker does not list the task.
    EXPIRED = "expired"  # The grant has certainly expired.
    REFUSED = "refused"  # The agent refused the grant, or the grant was never sent.


# Ends that the owner concludes without the agent. A late report can still replace them.
UNREPORTED_ENDS = frozenset({AttemptEnd.ABSENT, AttemptEnd.EXPIRED})


class Event(Record):
    """A change of a shard's durable state; subclasses define the type number and the fields."""

    __slots__ = ()
    type_number: ClassVar[int] = 0

    def plain(self) -> list[Any]:
        """Return the compact form of the event."""
        return [self.type_number, *(_plain_value(value) for value in self.values())]

    @classmethod
    def from_fields(cls, fields: list[Any]) -> Event:
        """Return the event with the `fields` that follow the type number in the compact form."""
        return cls(*fields)


def _plain_value(value: Any) -> Any:
    if isinstance(value, JobSpec):
        return value.plain()
    if isinstance(value, Timings):
        return list(value.values())
    if isinstance(value, StrEnum):
        return str(value)
    return value


class JobSubmitted(Event):
    """A job was accepted; `key` is its idempotency key, empty for none."""

    __slots__ = ("job_id", "key", "spec")
    type_number = 1

    def __init__(self, job_id: str, key: str, spec: JobSpec) -> None:
        self.job_id = job_id
        self.key = key
        self.spec = spec

    @classmethod
    def from_fields(cls, fields: list[Any]) -> Event:
        """Return the event with the `fields` that follow the type number in the compact form."""
        return cls(fields[0], fields[1], JobSpec.from_plain(fields[2]))


class AttemptStarted(Event):
    """An attempt was assigned to a worker; its grant is sent after this event is committed."""

    __slots__ = ("task_id", "attempt", "agent_id", "incarnation", "epoch")
    type_number = 2

    def __init__(
        self, task_id: str, attempt: int, agent_id: str, incarnation: str, epoch: int
    ) -> None:
        self.task_id = task_id
        self.attempt = attempt
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.epoch = epoch


class AttemptEnded(Event):
    """An attempt ended, as its agent reported or as the owner concluded."""

    __slots__ = ("task_id", "attempt", "end", "checkpoint")
    type_number = 3

    def __init__(
        self, task_id: str, attempt: int, end: AttemptEnd | str, checkpoint: str = ""
    ) -> None:
        self.task_id = task_id
        self.attempt = attempt
        self.end = AttemptEnd(end)
        self.checkpoint = checkpoint


class JobCancelled(Event):
    """A job was cancelled; its running attempts are stopped."""

    __slots__ = ("job_id",)
    type_number = 4

    def __init__(self, job_id: str) -> None:
        self.job_id = job_id


class OwnerChanged(Event):
    """A new owner took over; its grants follow `timings`."""

    __slots__ = ("epoch", "owner", "timings")
    type_number = 5

    def __init__(self, epoch: int, owner: str, timings: Timings) -> None:
        self.epoch = epoch
        self.owner = owner
        self.timings = timings

    @classmethod
    def from_fields(cls, fields: list[Any]) -> Event:
        """Return the event with the `fields` that follow the type number in the compact form."""
        return cls(fields[0], fields[1], Timings(*fields[2]))


class OwnerReleased(Event):
    """The owner released the shard; it stopped renewing grants before this event was committed.

    Parameters
    ----------
    unconfirmed
        Ids of the running tasks whose agents were not known to have seen the owner's epoch. An
        even earlier owner may still renew them.
    """

    __slots__ = ("epoch", "unconfirmed")
    type_number = 6

    def __init__(self, epoch: int, unconfirmed: list[str]) -> None:
        self.epoch = epoch
        self.unconfirmed = unconfirmed


class OwnershipAffirmed(Event):
    """No change; the commit of this event proves that its writer still owned the shard."""

    __slots__ = ()
    type_number = 7


class TimingsChanged(Event):
    """The grants of the owner follow other timings from this commit on."""

    __slots__ = ("timings",)
    type_number = 8

    def __init__(self, timings: Timings) -> None:
        self.timings = timings

    @classmethod
    def from_fields(cls, fields: list[Any]) -> Event:
        """Return the event with the `fields` that follow the type number in the compact form."""
        return cls(Timings(*fields[0]))


EVENT_TYPES: dict[int, type[Event]] = {
    cls.type_number: cls
    for cls in (
        JobSubmitted,
        AttemptStarted,
        AttemptEnded,
        JobCancelled,
        OwnerChanged,
        OwnerReleased,
        OwnershipAffirmed,
        TimingsChanged,
    )
}


def event_from_plain(items: list[Any]) -> Event:
    """Return the event that the compact form `items` describes."""
    return EVENT_TYPES[items[0]].from_fields(items[1:])
