"""Ledger of attempts: the tracked attempt of each task, and the numbers that are refused."""

from __future__ import annotations

from collections.abc import Iterator

from acaciastand.host.attempts import Attempt, AttemptState
from acaciastand.reasons import Reason
from acaciastand.resources import Resources

MAX_ATTEMPTS = 512  # Tracked attempts, with ended ones and buckets.
MAX_CLOSED_NUMBERS = 4096  # Tasks whose highest closed attempt number is kept.
# Time that a closed number is kept: the longest `grant_seconds`, because grants that are older are
# refused as stale.
CLOSED_NUMBER_SECONDS = 300.0


class Ledger:
    """Tracked attempts by task, and the highest closed attempt number of each task.

    A closed number and lower ones are refused for `CLOSED_NUMBER_SECONDS`.

    Attributes
    ----------
    attempts
        Tracked attempts by task id; at most one per task.
    """

    def __init__(self) -> None:
        self.attempts: dict[str, Attempt] = {}
        # Highest closed number and the time of its last closing, by task id, oldest time first.
        self._closed_numbers: dict[str, tuple[int, float]] = {}

    def __iter__(self) -> Iterator[Attempt]:
        return iter(list(self.attempts.values()))

    def find_attempt(self, task_id: str, number: int) -> Attempt | None:
        """Return the tracked attempt of a task if it has this number, else None."""
        attempt = self.attempts.get(task_id)
        return attempt if attempt and attempt.number == number else None

    def active_attempts(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [attempt for attempt in self if attempt.state is not AttemptState.ENDED]

    def ended_attempts(self) -> list[Attempt]:
        """Return the attempts whose result waits for confirmation."""
        return [attempt for attempt in self if attempt.state is AttemptState.ENDED]

    def counted_resources(self) -> Resources:
        """Return the sum that all attempts count against the capacity of the host."""
        total = Resources()
        for attempt in self:
            total = total.plus(attempt.counted_resources)
        return total

    def refusal(self, task_id: str, number: int, now: float) -> Reason | None:
        """Return why attempt `number` of a task cannot be tracked, or None if it can."""
        self._remove_expired_numbers(now)
        if number <= self._closed_numbers.get(task_id, (0, 0.0))[0]:
            return Reason.OLD_ATTEMPT
        tracked = self.attempts.get(task_id)
        if tracked is not None and number < tracked.number:
            return Reason.OLD_ATTEMPT
        if tracked is not None and tracked.state is not AttemptState.ENDED:
            return Reason.EARLIER_ATTEMPT_HELD
        if tracked is None and len(self.attempts) >= MAX_ATTEMPTS:
            return Reason.LEDGER_FULL
        if tracked is None and len(self._closed_numbers) + len(self.attempts) >= MAX_CLOSED_NUMBERS:
            # Each tracked attempt needs a free entry for the time when its number is closed.
            return Reason.LEDGER_FULL
        return None

    def add_attempt(self, attempt: Attempt) -> None:
        """Track an attempt in place of an ended earlier one of the task."""
        self.attempts[attempt.task_id] = attempt

    def close_numbers(self, task_id: str, number: int, now: float) -> bool:
        """Refuse attempt numbers of a task up to `number` from now on.

        Returns
        -------
        bool
            False when the table is full; the caller must then not state that they are refused.
        """
        self._remove_expired_numbers(now)
        closed = self._closed_numbers.get(task_id)
        if closed is None and len(self._closed_numbers) >= MAX_CLOSED_NUMBERS:
            return False
        self._closed_numbers.pop(task_id, None)
        self._closed_numbers[task_id] = (max(number, closed[0] if closed else 0), now)
        return True

    def remove_attempt(self, attempt: Attempt) -> None:
        """Stop tracking an attempt whose end its owner has committed."""
        if self.attempts.get(attempt.task_id) is attempt:
            del self.attempts[attempt.task_id]

    def _remove_expired_numbers(self, now: float) -> None:
        while self._closed_numbers:
            task_id = next(iter(self._closed_numbers))
            if now - self._closed_numbers[task_id][1] <= CLOSED_NUMBER_SECONDS:
                return
            del self._closed_numbers[task_id]
