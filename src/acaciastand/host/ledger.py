"""Ledger of attempts: which task runs here under which number, and which numbers are over."""

from __future__ import annotations

from collections.abc import Iterator

from acaciastand.host.attempts import Attempt, AttemptState
from acaciastand.reasons import Reason
from acaciastand.resources import Resources

MAX_ATTEMPTS = 512  # held and ended attempts, buckets included
MAX_CLOSED_NUMBERS = 4096  # tasks whose last stopped attempt number is remembered
CLOSED_NUMBER_SECONDS = 300.0  # longest grant_seconds; older grants are refused as stale anyway


class Ledger:
    """Attempts by task, and the highest attempt number per task that must not start again."""

    def __init__(self) -> None:
        self.attempts: dict[str, Attempt] = {}
        self._closed: dict[str, tuple[int, float]] = {}

    def __iter__(self) -> Iterator[Attempt]:
        return iter(list(self.attempts.values()))

    def find_attempt(self, task_id: str, number: int) -> Attempt | None:
        """Return the attempt if it is held under this number."""
        attempt = self.attempts.get(task_id)
        return attempt if attempt and attempt.number == number else None

    def active(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [attempt for attempt in self if attempt.state is not AttemptState.ENDED]

    def ended(self) -> list[Attempt]:
        """Return the attempts whose result waits for confirmation."""
        return [attempt for attempt in self if attempt.state is AttemptState.ENDED]

    def counted(self) -> Resources:
        """Return what all attempts together count against the capacity."""
        total = Resources()
        for attempt in self:
            total = total.plus(attempt.counted)
        return total

    def refusal(self, task_id: str, number: int, now: float) -> Reason | None:
        """Return why attempt `number` of a task cannot be taken, or None."""
        self._expire(now)
        if number <= self._closed.get(task_id, (0, 0.0))[0]:
            return Reason.OLD_ATTEMPT
        tracked = self.attempts.get(task_id)
        if tracked is not None and number < tracked.number:
            return Reason.OLD_ATTEMPT
        if tracked is not None and tracked.state is not AttemptState.ENDED:
            return Reason.EARLIER_ATTEMPT_HELD
        if tracked is None and len(self.attempts) >= MAX_ATTEMPTS:
            return Reason.LEDGER_FULL
        if tracked is None and len(self._closed) + len(self.attempts) >= MAX_CLOSED_NUMBERS:
            return Reason.LEDGER_FULL  # every held attempt needs room for its last number
        return None

    def add(self, attempt: Attempt) -> None:
        """Hold an attempt; an ended earlier one of the task is dropped."""
        self.attempts[attempt.task_id] = attempt

    def close(self, task_id: str, number: int, now: float) -> bool:
        """Refuse attempt numbers up to `number` from now on.

        Returns
        -------
        bool
            False when the table is full; the caller must then not claim that they are refused.
        """
        self._expire(now)
        known = self._closed.get(task_id)
        if known is None and len(self._closed) >= MAX_CLOSED_NUMBERS:
            return False
        self._closed.pop(task_id, None)
        self._closed[task_id] = (max(number, known[0] if known else 0), now)
        return True

    def drop(self, attempt: Attempt) -> None:
        """Forget an attempt whose end is committed."""
        if self.attempts.get(attempt.task_id) is attempt:
            del self.attempts[attempt.task_id]

    def _expire(self, now: float) -> None:
        while self._closed:
            task_id = next(iter(self._closed))
            if now - self._closed[task_id][1] <= CLOSED_NUMBER_SECONDS:
                return
            del self._closed[task_id]
