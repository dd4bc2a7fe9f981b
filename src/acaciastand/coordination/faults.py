"""Planned faults and call counts of the in-process store."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.errors import AcaciastandError
from acaciastand.record import Record

MAX_PLANNED_FAULTS = 1024  # rules of one plan
MAX_DELAYED_WRITES = 1024  # writes that have not landed yet

T = TypeVar("T")


class CallKind(Enum):
    """Kinds of store calls, as they are counted."""

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
    """What happens to a call that a rule selects."""

    UNAVAILABLE = "unavailable"  # no effect
    LOSE_ANSWER = "lose_answer"  # the effect is applied, the answer is lost
    DELAY = "delay"  # the answer is lost; the effect is applied by `deliver`


class FaultPlanFull(AcaciastandError):
    """The plan holds as many rules or delayed writes as it can."""

    code = "fault_plan_full"


class FaultRule(Record):
    """Faults for the next `calls` calls that match.

    Parameters
    ----------
    fault
        What happens to the calls.
    kinds
        Kinds of calls that match.
    key_prefix
        Prefix of the keys that match; lease calls have the empty key.
    calls
        How many matching calls are affected.
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
        """Tell whether the rule applies to a call."""
        return self.calls > 0 and kind in self.kinds and key.startswith(self.key_prefix)


class FaultPlan:
    """Decides the fate of each call and counts calls by kind.

    `outage` makes every call unavailable while it is true. Rules apply in the order of `add`.
    """

    __slots__ = ("calls", "delayed", "outage", "rules")

    def __init__(self) -> None:
        self.calls: Counter[CallKind] = Counter()
        self.delayed: list[Callable[[], object]] = []
        self.outage = False
        self.rules: list[FaultRule] = []

    def add(
        self,
        fault: FaultKind,
        kinds: frozenset[CallKind] = ALL_KINDS,
        key_prefix: str = "",
        calls: int = 1,
    ) -> None:
        """Plan a fault for the next `calls` matching calls.

        Raises
        ------
        FaultPlanFull
            The plan already has `MAX_PLANNED_FAULTS` rules.
        """
        if len(self.rules) >= MAX_PLANNED_FAULTS:
            raise FaultPlanFull(
                f"the plan has {MAX_PLANNED_FAULTS} rules", "clear() it or plan fewer faults"
            )
        self.rules.append(FaultRule(fault, kinds, key_prefix, calls))

    def clear(self) -> None:
        """Drop all rules and end the outage; delayed writes stay under way."""
        self.rules.clear()
        self.outage = False

    def run(self, kind: CallKind, key: str, effect: Callable[[], T]) -> T:
        """Count a call and run `effect` as the plan says.

        Raises
        ------
        StoreUnavailable
            The call has no effect, or it is a read whose answer is lost.
        StoreAnswerLost
            The answer to a write is lost.
        """
        self.calls[kind] += 1
        fault = self._next_fault(kind, key)
        if fault is FaultKind.UNAVAILABLE:
            raise StoreUnavailable("the store is unavailable", "try again later")
        if fault is FaultKind.DELAY and kind not in READ_KINDS:
            self._delay(effect)
            raise _answer_lost()
        result = effect()
        if fault is None:
            return result
        if kind in READ_KINDS:
            raise StoreUnavailable("the answer to a read was lost", "read again")
        raise _answer_lost()

    def deliver(self, index: int = 0) -> None:
        """Apply one delayed write; a write that the store refuses by then has no effect."""
        effect = self.delayed.pop(index)
        try:
            effect()
        except AcaciastandError:
            return

    def _delay(self, effect: Callable[[], object]) -> None:
        if len(self.delayed) >= MAX_DELAYED_WRITES:
            raise FaultPlanFull(
                f"{MAX_DELAYED_WRITES} writes are delayed", "deliver() some of them first"
            )
        self.delayed.append(effect)

    def _next_fault(self, kind: CallKind, key: str) -> FaultKind | None:
        if self.outage:
            return FaultKind.UNAVAILABLE
        for rule in self.rules:
            if rule.matches(kind, key):
                rule.calls -= 1
                self.rules = [kept for kept in self.rules if kept.calls > 0]
                return rule.fault
        return None


def _answer_lost() -> StoreAnswerLost:
    return StoreAnswerLost(
        "the store's answer to a write was lost", "read the key to learn whether it took effect"
    )
