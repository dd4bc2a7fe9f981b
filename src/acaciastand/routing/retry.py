"""Rules for retries of a request."""

from __future__ import annotations

from acaciastand.errors import Outcome
from acaciastand.reasons import Reason

MAX_ATTEMPTS = 3  # Attempts of one request by one entry.

# Refusals that a retry at another target or at a later time does not change.
FINAL_REASONS = frozenset(
    {Reason.BODY_TOO_LARGE, Reason.DEADLINE_PASSED, Reason.DEADLINE_TOO_SHORT, Reason.FORWARD_LIMIT}
)


def may_retry(
    outcome: Outcome, reason: str, idempotent: bool, attempts: int, forwarded: bool
) -> bool:
    """Return whether the rules allow another attempt; the retry budget is checked separately.

    Parameters
    ----------
    attempts
        Number of attempts so far.
    forwarded
        Whether another entry forwarded the request. That entry decides on retries.
    """
    if forwarded or attempts >= MAX_ATTEMPTS or reason in FINAL_REASONS:
        return False
    return outcome is Outcome.NOT_RUN or idempotent
