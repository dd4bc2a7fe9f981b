"""Store with one revision counter, ranges and conditional writes of several keys at once."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence

from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.errors import AcaciastandError, Outcome
from acaciastand.record import Record

MAX_KEYS_PER_COMMIT = 32


class Item(Record):
    """A value with the revision of its last change; revision 0 means that the key is absent."""

    __slots__ = ("key", "value", "revision")

    def __init__(self, key: str, value: bytes = b"", revision: int = 0) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Listing(Record):
    """Items below a prefix, and a revision from which a watch continues without a gap."""

    __slots__ = ("items", "revision")

    def __init__(self, items: list[Item], revision: int) -> None:
        self.items = items
        self.revision = revision


class Changes(Record):
    """What changed after a revision: items as written, and keys that were deleted."""

    __slots__ = ("items", "deleted", "revision")

    def __init__(self, items: list[Item], deleted: list[str], revision: int) -> None:
        self.items = items
        self.deleted = deleted
        self.revision = revision


class CommitConflict(AcaciastandError):
    """A key is at another revision than expected; the commit had no effect.

    Attributes
    ----------
    current
        The expected keys as they are.
    """

    code = "commit_conflict"
    outcome = Outcome.NOT_RUN
    http_status = 409
    exit_code = 4

    def __init__(self, current: list[Item]) -> None:
        super().__init__("a key changed since it was read", "read it again and decide anew")
        self.current = {item.key: item for item in current}


class HistoryDropped(AcaciastandError):
    """The changes after this revision are no longer available; list the prefix again."""

    code = "history_dropped"
    outcome = Outcome.NOT_RUN
    http_status = 410
    exit_code = 4

    def __init__(self, revision: int) -> None:
        super().__init__(f"the history after revision {revision} is gone", "list the prefix again")


class TransactionalStore(ABC):
    """Every call can raise `StoreUnavailable`; `commit` can also raise `StoreAnswerLost`."""

    @abstractmethod
    def get(self, key: str, seconds: float | None = None) -> Item:
        """Return the item at `key`; its revision is 0 when there is none.

        Parameters
        ----------
        key
            The key.
        seconds
            Time to wait for the answer, for values that are known to be large.
        """

    @abstractmethod
    def list(self, prefix: str, stale: bool = False) -> Listing:
        """Return all items whose key begins with `prefix`.

        Parameters
        ----------
        prefix
            Start of the keys.
        stale
            Whether the answer may be seconds old, which is cheaper.
        """

    @abstractmethod
    def watch(self, prefix: str, after: int, wait_seconds: float) -> Changes:
        """Wait for changes after a revision; without one until the time has passed, no items.

        Raises
        ------
        HistoryDropped
            The changes are no longer available.
        """

    @abstractmethod
    def commit(
        self,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removes: Sequence[str] = (),
    ) -> int:
        """Write and remove keys if all `expected` revisions hold (0: absent).

        Returns
        -------
        int
            The new revision.

        Raises
        ------
        CommitConflict
            An expectation does not hold.
        StoreAnswerLost
            It may have taken effect, or may still do so while the expectations hold.
        """


Fault = Callable[[str], str]  # call -> "", "down" (not done) or "lost" (done, answer lost)


class MemoryTransactionalStore(TransactionalStore):
    """Store in memory for tests and the demo.

    Parameters
    ----------
    fault
        Decides the fate of each call.
    history
        Number of changes that watches can still read.
    """

    def __init__(self, fault: Fault | None = None, history: int = 10_000) -> None:
        self.fault = fault or (lambda call: "")
        self.history = history
        self.items: dict[str, Item] = {}
        self.changes: list[tuple[int, str, bytes | None]] = []
        self.revision = 1
        self.dropped = 0

    def get(self, key: str, seconds: float | None = None) -> Item:
        """Return one item."""
        self._check_read("get")
        return self.items.get(key, Item(key))

    def list(self, prefix: str, stale: bool = False) -> Listing:
        """Return the items below `prefix`."""
        self._check_read("list")
        found = [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]
        return Listing(found, self.revision)

    def watch(self, prefix: str, after: int, wait_seconds: float) -> Changes:
        """Return the changes after `after` at once, whether there are any or not."""
        self._check_read("watch")
        if after < self.dropped:
            raise HistoryDropped(after)
        items: dict[str, Item] = {}
        deleted = []
        for revision, key, value in self.changes:
            if revision <= after or not key.startswith(prefix):
                continue
            if value is None:
                deleted.append(key)
                items.pop(key, None)
            else:
                items[key] = Item(key, value, revision)
        return Changes(list(items.values()), deleted, self.revision)

    def commit(
        self,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removes: Sequence[str] = (),
    ) -> int:
        """Write and remove keys under conditions."""
        fate = self.fault("commit")
        if fate == "down":
            raise StoreUnavailable("the store is down", "try again later")
        current = [self.items.get(key, Item(key)) for key in expected]
        if any(item.revision != expected[item.key] for item in current):
            raise CommitConflict(current)
        self.revision += 1
        for key, value in puts.items():
            self.items[key] = Item(key, value, self.revision)
            self.changes.append((self.revision, key, value))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.changes.append((self.revision, key, None))
        self._drop_history()
        if fate == "lost":
            raise StoreAnswerLost("the answer was lost", "read the keys")
        return self.revision

    def forget_history(self) -> None:
        """Drop all changes, as the platform may do at any time."""
        self.dropped = self.revision
        self.changes.clear()

    def _drop_history(self) -> None:
        while len(self.changes) > self.history:
            self.dropped = self.changes.pop(0)[0]

    def _check_read(self, call: str) -> None:
        if self.fault(call):
            raise StoreUnavailable("the store is down", "try again later")
