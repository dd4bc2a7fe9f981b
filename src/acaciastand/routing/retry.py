"""Rules on sending a request again."""

from __future__ import annotations

from acaciastand.errors import Outcome
from acaciastand.reasons import Reason

MAX_ATTEMPTS = 3  # sends of one request by one entry

# Another target or a later moment does not change these refusals.
FINAL_REASONS = frozenset(
    {Reason.BODY_TOO_LARGE, Reason.DEADLINE_PASSED, Reason.DEADLINE_TOO_SHORT, Reason.FORWARD_LIMIT}
)


def may_retry(
    outcome: Outcome, reason: str, idempotent: bool, attempts: int, forwarded: bool
) -> bool:
    """Return whether the rules allow another attempt; the budget is asked separately.

    Parameters
    ----------
    attempts
        Attempts made so far.
    forwarded
        Whether another entry forwarded the request; that entry decides on retries.
    """
    if forwarded or attempts >= MAX_ATTEMPTS or reason in FINAL_REASONS:
        return False
    return outcome is Outcome.NOT_RUN or idempotent
