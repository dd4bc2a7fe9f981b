"""Fault injection and call counts for the in-process store."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.errors import AcaciastandError
from acaciastand.record import Record

MAX_PLANNED_FAULTS = 1024  # Limit for the planned faults of one plan.
MAX_DELAYED_WRITES = 1024  # Limit for the writes of one plan that have not been applied yet.

T = TypeVar("T")


class CallKind(Enum):
    """Kinds of store calls, by which faults are planned and calls are counted."""

    GET = "get"
    PUT = "put"
    DELETE = "delete"
    LIST = "list"
    WATCH = "watch"
    GRANT = "grant"
    RENEW = "renew"
    REVOKE = "revoke"


READ_KINDS = frozenset({CallKind.GET, CallKind.LIST, CallKind.WATCH})
ALL_KINDS = frozenset(CallKind)


class FaultKind(Enum):
    """How a call fails; a failed read raises `StoreUnavailable` in each case."""

    UNAVAILABLE = "unavailable"  # The call has no effect.
    LOSE_ANSWER = "lose_answer"  # The call takes effect, but its response is lost.
    DELAY = "delay"  # The response is lost; a write takes effect only in `FaultPlan.deliver`.


class FaultPlanFull(AcaciastandError):
    """The fault plan has reached its limit of planned faults or delayed writes."""

    code = "fault_plan_full"


class PlannedFault(Record):
    """Fault that is planned for the next matching calls.

    Parameters
    ----------
    fault
        How the matching calls fail.
    kinds
        Kinds of calls that match.
    key_prefix
        Prefix of the keys that match; lease calls have the empty key.
    calls
        Number of matching calls that are still to fail; decreases with each of them.
    """

    __slots__ = ("fault", "kinds", "key_prefix", "calls")

    def __init__(
        self, fault: FaultKind, kinds: frozenset[CallKind], key_prefix: str, calls: int
    ) -> None:
        self.fault = fault
        self.kinds = kinds
        self.key_prefix = key_prefix
        self.calls = calls

    def matches(self, kind: CallKind, key: str) -> bool:
        """Tell whether a call of this kind and key is to fail."""
        return self.calls > 0 and kind in self.kinds and key.startswith(self.key_prefix)


class FaultPlan:
    """Decides whether and how each store call fails, and counts the calls.

    Attributes
    ----------
    calls
        Number of calls by kind, failed ones included.
    delayed
        Writes that have not been applied yet, the oldest first; see `deliver`.
    outage
        While true, every call fails as `FaultKind.UNAVAILABLE`.
    rules
        Planned faults in the order of `add`; the first one that matches a call applies to it.
    """

    __slots__ = ("calls", "delayed", "outage", "rules")

    def __init__(self) -> None:
        self.calls: Counter[CallKind] = Counter()
        self.delayed: list[Callable[[], object]] = []
        self.outage = False
        self.rules: list[PlannedFault] = []

    def add(
        self,
        fault: FaultKind,
        kinds: frozenset[CallKind] = ALL_KINDS,
        key_prefix: str = "",
        calls: int = 1,
    ) -> None:
        """Plan a fault for the next matching calls.

        Parameters
        ----------
        fault
            How the calls fail.
        kinds
            Kinds of calls that match.
        key_prefix
            Prefix of the keys that match; lease calls have the empty key.
        calls
            Number of matching calls that fail.

        Raises
        ------
        FaultPlanFull
            The plan already has `MAX_PLANNED_FAULTS` planned faults.
        """
        if len(self.rules) >= MAX_PLANNED_FAULTS:
            raise FaultPlanFull(
                f"the fault plan has reached its limit of {MAX_PLANNED_FAULTS} planned faults",
                "call clear() or plan fewer faults",
            )
        self.rules.append(PlannedFault(fault, kinds, key_prefix, calls))

    def clear(self) -> None:
        """Remove all planned faults and end the outage; delayed writes stay in `delayed`."""
        self.rules.clear()
        self.outage = False

    def run(self, kind: CallKind, key: str, effect: Callable[[], T]) -> T:
        """Count a call, and run it or let it fail as planned.

        Parameters
        ----------
        kind
            Kind of the call.
        key
            Key or prefix of the call; empty for lease calls.
        effect
            Applies the call to the store and returns its result; its errors are passed on.

        Returns
        -------
        T
            The result of `effect`.

        Raises
        ------
        StoreUnavailable
            The call had no effect, or it is a read whose response is lost.
        StoreAnswerLost
            The response to a write is lost.
        FaultPlanFull
            The write is to be delayed, but `MAX_DELAYED_WRITES` writes are delayed already.
        """
        self.calls[kind] += 1
        fault = self._next_fault(kind, key)
        if fault is FaultKind.UNAVAILABLE:
            raise StoreUnavailable("the store is unavailable", "try again later")
        if fault is FaultKind.DELAY and kind not in READ_KINDS:
            self._delay_write(effect)
            raise _answer_lost_error()
        result = effect()
        if fault is None:
            return result
        if kind in READ_KINDS:
            raise StoreUnavailable("the store's response to a read was lost", "read again")
        raise _answer_lost_error()

    def deliver(self, index: int = 0) -> None:
        """Apply one delayed write; a write that the store refuses by then has no effect.

        Parameters
        ----------
        index
            Index of the write in `delayed`.

        Raises
        ------
        IndexError
            `delayed` has no write at `index`.
        """
        effect = self.delayed.pop(index)
        try:
            effect()
        except AcaciastandError:
            return

    def _delay_write(self, effect: Callable[[], object]) -> None:
        if len(self.delayed) >= MAX_DELAYED_WRITES:
            raise FaultPlanFull(
                f"the fault plan has reached its limit of {MAX_DELAYED_WRITES} delayed writes",
                "call deliver() for some of them first",
            )
        self.delayed.append(effect)

    def _next_fault(self, kind: CallKind, key: str) -> FaultKind | None:
        """Return how a call is to fail, and count the call against its planned fault."""
        if self.outage:
            return FaultKind.UNAVAILABLE
        for planned in self.rules:
            if planned.matches(kind, key):
                planned.calls -= 1
                self.rules = [fault for fault in self.rules if fault.calls > 0]
                return planned.fault
        return None


def _answer_lost_error() -> StoreAnswerLost:
    return StoreAnswerLost(
        "the store's response to a write was lost", "read the key to learn whether it took effect"
    )
