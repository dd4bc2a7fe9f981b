"""Numbers of the runs that an owner starts.

A run begins before its number is stored, so a new owner does not know all numbers that its
predecessors gave. Ends, crashes and stops of runs are told apart by their numbers, so no number of
a task may be given twice. Each owner therefore gives numbers of a range of its own, which follows
from the revisions of the store at which it was the owner.
"""

from __future__ import annotations

from acaciastand.checks import MAX_INTEGER

# Numbers of runs of one task for each revision of the store. The owner stores a heartbeat twice a
# second, so it lacks numbers only if a task is started often while the store is away.
RUNS_PER_REVISION = 64


class RunNumbers:
    """Range of the numbers that one owner gives.

    Parameters
    ----------
    highest_former
        Highest number that a former owner can have given.
    highest
        Highest number that this owner may give.
    """

    __slots__ = ("highest_former", "highest")

    def __init__(self, highest_former: int = 0, highest: int = MAX_INTEGER) -> None:
        self.highest_former = highest_former
        self.highest = highest

    @classmethod
    def for_term(cls, fence: int) -> RunNumbers:
        """Return the range of an owner whose claim has the revision `fence`."""
        numbers = cls(RUNS_PER_REVISION * fence, 0)
        numbers.record_stored(fence)
        return numbers

    def record_stored(self, revision: int) -> None:
        """Extend the range after a write under the owner's fence that has this revision.

        The claim of the next owner gets a higher revision.
        """
        self.highest = max(self.highest, RUNS_PER_REVISION * (revision + 1))
