"""Events of a shard, in the order of the journal.

The compact form of an event is the array ``[type number, fields...]``, ready for CBOR.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, ClassVar

from acaciastand.record import Record
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import Timings


class AttemptEnd(StrEnum):
    """How an attempt ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    EVICTED = "evicted"
    START_FAILED = "start_failed"  # the worker could not start the task
    STOPPED = "stopped"  # proof 1: the agent confirmed the stop
    LOST = "lost"  # the agent found that its worker no longer has the task
    ABSENT = "absent"  # proof 2: a newer incarnation of the worker does not list the task
    EXPIRED = "expired"  # proof 3: the grant has certainly expired
    REFUSED = "refused"  # the agent refused the grant, or the grant was never sent


UNREPORTED_ENDS = frozenset({AttemptEnd.ABSENT, AttemptEnd.EXPIRED})


class Event(Record):
    """A change of a shard's durable state."""

    __slots__ = ()
    type_number: ClassVar[int] = 0

    def plain(self) -> list[Any]:
        """Return the compact form."""
        return [self.type_number, *(_plain_value(value) for value in self.values())]

    @classmethod
    def from_fields(cls, fields: list[Any]) -> Event:
        """Return the event with the fields of its compact form."""
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
    """A job was accepted."""

    __slots__ = ("job_id", "key", "spec")
    type_number = 1

    def __init__(self, job_id: str, key: str, spec: JobSpec) -> None:
        self.job_id = job_id
        self.key = key
        self.spec = spec

    @classmethod
    def from_fields(cls, fields: list[Any]) -> Event:
        """Return the event with the fields of its compact form."""
        return cls(fields[0], fields[1], JobSpec.from_plain(fields[2]))


class AttemptStarted(Event):
    """An attempt was assigned to a worker; its grant is sent after this is committed."""

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
    """An attempt ended, by a report or by a proof."""

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
    """A new owner took over; `timings` are those it grants by."""

    __slots__ = ("epoch", "owner", "timings")
    type_number = 5

    def __init__(self, epoch: int, owner: str, timings: Timings) -> None:
        self.epoch = epoch
        self.owner = owner
        self.timings = timings

    @classmethod
    def from_fields(cls, fields: list[Any]) -> Event:
        """Return the event with the fields of its compact form."""
        return cls(fields[0], fields[1], Timings(*fields[2]))


class OwnerReleased(Event):
    """The owner stopped renewing before it committed this.

    `unconfirmed` names the tasks whose agents were not known to have seen the owner's epoch, so a
    still earlier owner may renew them.
    """

    __slots__ = ("epoch", "unconfirmed")
    type_number = 6

    def __init__(self, epoch: int, unconfirmed: list[str]) -> None:
        self.epoch = epoch
        self.unconfirmed = unconfirmed


class OwnershipAffirmed(Event):
    """Changes nothing; its commit shows that the writer still owned the shard."""

    __slots__ = ()
    type_number = 7


class TimingsChanged(Event):
    """The owner grants by other times from this commit on."""

    __slots__ = ("timings",)
    type_number = 8

    def __init__(self, timings: Timings) -> None:
        self.timings = timings

    @classmethod
    def from_fields(cls, fields: list[Any]) -> Event:
        """Return the event with the fields of its compact form."""
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
    """Return the event in its compact form."""
    return EVENT_TYPES[items[0]].from_fields(items[1:])
