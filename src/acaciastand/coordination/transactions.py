"""Store with one revision counter, prefix listings and conditional writes of several keys."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence

from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.errors import AcaciastandError, Outcome
from acaciastand.record import Record

MAX_KEYS_PER_COMMIT = 32


class Item(Record):
    """A key with its value and revision.

    Parameters
    ----------
    key
        Key in the store.
    value
        The stored bytes; empty when the key does not exist.
    revision
        Revision of the last change of the key; 0 when the key does not exist.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, key: str, value: bytes = b"", revision: int = 0) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Listing(Record):
    """Items whose keys begin with a prefix.

    Parameters
    ----------
    items
        The items.
    revision
        Revision after which a watch continues without missing a change.
    """

    __slots__ = ("items", "revision")

    def __init__(self, items: list[Item], revision: int) -> None:
        self.items = items
        self.revision = revision


class Changes(Record):
    """Changes below a prefix after some revision.

    Parameters
    ----------
    items
        Items that were written and not deleted afterwards, with their newest values.
    deleted
        Keys that were deleted; a key that was written again afterwards is in `items` as well.
    revision
        Revision after which the next watch continues.
    """

    __slots__ = ("items", "deleted", "revision")

    def __init__(self, items: list[Item], deleted: list[str], revision: int) -> None:
        self.items = items
        self.deleted = deleted
        self.revision = revision


class CommitConflict(AcaciastandError):
    """A key is not at the expected revision; the commit had no effect.

    Parameters
    ----------
    current
        Current items of all keys with an expected revision.

    Attributes
    ----------
    current
        These items by key.
    """

    code = "commit_conflict"
    outcome = Outcome.NOT_RUN
    http_status = 409
    exit_code = 4

    def __init__(self, current: list[Item]) -> None:
        super().__init__(
            "a key changed since it was read", "read the keys again and decide what to commit"
        )
        self.current = {item.key: item for item in current}


class HistoryDropped(AcaciastandError):
    """The changes after the given revision are no longer available; list the prefix again.

    Parameters
    ----------
    revision
        Revision after which the changes were to be read.
    """

    code = "history_dropped"
    outcome = Outcome.NOT_RUN
    http_status = 410
    exit_code = 4

    def __init__(self, revision: int) -> None:
        super().__init__(
            f"the changes after revision {revision} are no longer available",
            "list the prefix again",
        )


class TransactionalStore(ABC):
    """Key-value store with listings, watches and conditional commits of several keys.

    Every call can raise `StoreUnavailable`; `commit` can also raise `StoreAnswerLost`.
    """

    @abstractmethod
    def get(self, key: str) -> Item:
        """Return the item at a key.

        Parameters
        ----------
        key
            Key to read.

        Returns
        -------
        Item
            The item; its revision is 0 when the key does not exist.
        """

    @abstractmethod
    def list(self, prefix: str, stale: bool = False) -> Listing:
        """Return all items whose keys begin with a prefix.

        Parameters
        ----------
        prefix
            Prefix of the keys.
        stale
            Whether the result may be seconds old, which costs the store less.

        Returns
        -------
        Listing
            The items, sorted by key, and the revision from which a watch continues.
        """

    def list_few(self, prefix: str) -> Listing:
        """Return all items below a prefix that holds few and small ones; see `list`.

        A store that can be reached in several ways tries all of them.
        """
        return self.list(prefix)

    def has_relays(self) -> bool:
        """Return whether calls can reach the store through another process at present."""
        return False

    @abstractmethod
    def watch(self, prefix: str, after: int, wait_seconds: float) -> Changes:
        """Wait for changes of keys that begin with a prefix.

        Parameters
        ----------
        prefix
            Prefix of the keys.
        after
            Revision after which changes are returned, from a `Listing` or earlier `Changes`.
        wait_seconds
            Longest time to wait when there is no change yet.

        Returns
        -------
        Changes
            All changes after `after`; empty when there was none until the time ran out.

        Raises
        ------
        HistoryDropped
            The changes are no longer available; list the prefix again.
        """

    @abstractmethod
    def commit(
        self,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removes: Sequence[str] = (),
    ) -> int:
        """Write and remove keys in one step if all expected revisions hold.

        Parameters
        ----------
        expected
            Revision that each of these keys must have, whether or not it is written; 0 for a key
            that must not exist.
        puts
            New values by key.
        removes
            Keys to remove.

        Returns
        -------
        int
            The new revision.

        Raises
        ------
        CommitConflict
            A key is not at its expected revision; nothing was changed.
        StoreAnswerLost
            The commit may have taken effect, or may still take effect later as long as the keys
            are at their expected revisions.
        """


# Receives the name of a call; returns "" (no fault), "down" (the call has no effect) or "lost"
# (the call takes effect, but its response is lost).
FaultFunction = Callable[[str], str]


class MemoryTransactionalStore(TransactionalStore):
    """Transactional store in memory, for tests and the demo.

    Parameters
    ----------
    fault
        Receives the name of each call ("get", "list", "watch" or "commit"). Returns "" to let it
        succeed, "down" to let it fail without effect, or "lost" to lose its response. By default
        every call succeeds.
    history
        Number of changes that `watch` can still return.

    Attributes
    ----------
    items
        Items by key.
    changes
        Revision, key and new value (None for a deletion) of each change that `watch` can still
        return, the oldest first.
    revision
        Revision of the last commit.
    dropped
        Revision up to which changes were dropped; 0 when none was.
    """

    def __init__(self, fault: FaultFunction | None = None, history: int = 10_000) -> None:
        self.fault = fault or (lambda call: "")
        self.history = history
        self.items: dict[str, Item] = {}
        self.changes: list[tuple[int, str, bytes | None]] = []
        self.revision = 1
        self.dropped = 0

    def get(self, key: str) -> Item:
        """Return the item at `key`; see `TransactionalStore.get`."""
        self._raise_read_fault("get")
        return self.items.get(key, Item(key))

    def list(self, prefix: str, stale: bool = False) -> Listing:
        """Return the items whose keys begin with `prefix`; see `TransactionalStore.list`."""
        self._raise_read_fault("list")
        items = [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]
        return Listing(items, self.revision)

    def watch(self, prefix: str, after: int, wait_seconds: float) -> Changes:
        """Return the changes after `after` at once, even if there are none.

        See `TransactionalStore.watch`.
        """
        self._raise_read_fault("watch")
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
        """Write and remove keys in one step; see `TransactionalStore.commit`."""
        fault = self.fault("commit")
        if fault == "down":
            raise StoreUnavailable("the store is unavailable", "try again later")
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
        self._trim_history()
        if fault == "lost":
            raise StoreAnswerLost("the store's response to a commit was lost", "read the keys")
        return self.revision

    def forget_history(self) -> None:
        """Drop all changes, as the platform may do at any time."""
        self.dropped = self.revision
        self.changes.clear()

    def _trim_history(self) -> None:
        while len(self.changes) > self.history:
            self.dropped = self.changes.pop(0)[0]

    def _raise_read_fault(self, call: str) -> None:
        if self.fault(call):
            raise StoreUnavailable("the store is unavailable", "try again later")
