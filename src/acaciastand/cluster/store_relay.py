"""Access of an entry to the store, either directly or through another entry.

The platform's store may refuse the calls of one host for seconds while it serves the others. The
owner keeps the ownership in that time, since its heartbeats and commits pass through its peers.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any, TypeVar

from acaciastand.checks import MALFORMED, check_bytes, check_integer, check_list, check_text
from acaciastand.cluster.circuit_breaker import CircuitBreaker
from acaciastand.cluster.clock import now
from acaciastand.cluster.peers import CallRefused, PeerLink
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import (
    Changes,
    CommitConflict,
    HistoryDropped,
    Item,
    Listing,
    ReadTrace,
    TransactionalStore,
)
from acaciastand.errors import AcaciastandError, OutcomeUnknown
from acaciastand.record import Record
from acaciastand.telemetry.metrics import Metrics

# Names of the calls by which one entry reaches the store through another.
STORE_READ_CALL = "store_read"
STORE_WATCH_CALL = "store_watch"
STORE_LIST_CALL = "store_list"
STORE_COMMIT_CALL = "store_commit"
STORE_CALLS = (STORE_READ_CALL, STORE_WATCH_CALL, STORE_LIST_CALL, STORE_COMMIT_CALL)
# Time to wait for the other entry, which itself waits half a second for the store.
CALL_TIMEOUT_SECONDS = 0.7
# Entries that are tried in turn for one call. If the store is down, further ones would fail too.
MAX_RELAY_ENTRIES = 2

logger = logging.getLogger(__name__)

Result = TypeVar("Result")


class RelayedStore(TransactionalStore):
    """Store that repeats failed calls through another entry.

    A commit without an answer is repeated as well, so a `CommitConflict` may show the effect of the
    same commit.

    Parameters
    ----------
    direct
        The store, called from this host.
    peers
        Returns the connections to all other entries.

    Attributes
    ----------
    circuit_breaker
        Limits direct commits while the store does not answer.
    failed_at
        When each entry last failed to relay a call, by entry id.
    """

    def __init__(
        self,
        direct: TransactionalStore,
        peers: Callable[[], list[PeerLink]],
        metrics: Metrics,
    ) -> None:
        self.direct = direct
        self.peers = peers
        self.metrics = metrics
        self.circuit_breaker = CircuitBreaker()
        self.failed_at: dict[str, float] = {}

    # Calls of this entry

    def get(self, key: str) -> Item:
        """Return the item at `key`."""
        return self._read(
            lambda: self.direct.get(key),
            lambda link: _decoded(
                _read_item, link.call(STORE_READ_CALL, {"key": key}, CALL_TIMEOUT_SECONDS)
            ),
            ReadTrace(now),
        )

    def get_directly(self, key: str) -> Item:
        """Return the item at `key` without a relay, unless commits show that the store is down."""
        if self.circuit_breaker.is_open:
            raise StoreUnavailable("the store did not answer the last commits", "try again later")
        return self.direct.get(key)

    def list(self, prefix: str, stale: bool = False) -> Listing:
        """Return all items below `prefix`; this call is never relayed, unlike `list_few`."""
        return self.direct.list(prefix, stale)

    def list_few(self, prefix: str, trace: ReadTrace) -> Listing:
        """Return all items below a prefix that holds few and small ones."""
        return self._read(
            lambda: self.direct.list(prefix),
            lambda link: _decoded(
                _listing, link.call(STORE_LIST_CALL, {"prefix": prefix}, CALL_TIMEOUT_SECONDS)
            ),
            trace,
        )

    def watch(self, prefix: str, after: int, wait_seconds: float) -> Changes:
        """Wait for changes below `prefix`."""
        return self.watch_few(prefix, after, wait_seconds, ReadTrace(now))

    def watch_few(self, prefix: str, after: int, wait_seconds: float, trace: ReadTrace) -> Changes:
        """Wait for changes below `prefix`, and record the attempts in `trace`."""
        payload = {"prefix": prefix, "after": after, "wait": wait_seconds}
        return self._read(
            lambda: self.direct.watch(prefix, after, wait_seconds),
            lambda link: _decoded(
                partial(_changes, after=after),
                link.call(STORE_WATCH_CALL, payload, wait_seconds + CALL_TIMEOUT_SECONDS),
            ),
            trace,
        )

    def commit(
        self,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removes: Sequence[str] = (),
    ) -> int:
        """Write and remove keys if all `expected` revisions hold.

        Raises
        ------
        CommitConflict
            An expectation does not hold; an earlier try of this commit may have changed the key.
        StoreUnavailable
            Nothing was written, directly or by a peer.
        StoreAnswerLost
            The commit may have taken effect, or may still do so while the expectations hold.
        """
        lost_answer: AcaciastandError | None = None
        refusal = ""
        try:
            return self.commit_directly(expected, puts, removes)
        except StoreAnswerLost as error:
            lost_answer = error
        except StoreUnavailable as error:
            refusal = error.message
        payload = {"expected": dict(expected), "puts": dict(puts), "removes": list(removes)}
        for link in self._relay_links():
            try:
                reply = _decoded(
                    _commit_reply, link.call(STORE_COMMIT_CALL, payload, CALL_TIMEOUT_SECONDS)
                )
            except AcaciastandError as error:
                lost_answer = error if isinstance(error, OutcomeUnknown) else lost_answer
                self._record_relay_failure(STORE_COMMIT_CALL, link, error)
                continue
            self.failed_at.pop(link.entry_id, None)
            if reply.conflict is not None:
                raise CommitConflict(reply.conflict)
            return reply.revision
        if lost_answer is not None:
            raise StoreAnswerLost(f"no answer to a commit: {lost_answer.message}", "read the keys")
        raise StoreUnavailable(
            f"{refusal}, and no other entry reaches the store", "try again later"
        )

    # Calls for other entries

    def answer_call(self, name: str, payload: dict[str, Any]) -> dict[str, Any]:
        """Make a call to the store on behalf of another entry and return the reply.

        Parameters
        ----------
        name
            `STORE_READ_CALL`, `STORE_LIST_CALL`, `STORE_WATCH_CALL` or `STORE_COMMIT_CALL`.
        payload
            Arguments of the call.

        Raises
        ------
        StoreUnavailable
            The call had no effect.
        StoreAnswerLost
            The commit may have taken effect.
        """
        if name == STORE_COMMIT_CALL:
            return self._answer_commit(payload)
        if name == STORE_READ_CALL:
            return {"item": list(self.direct.get(str(payload["key"])).values())}
        if name == STORE_LIST_CALL:
            listing = self.direct.list(str(payload["prefix"]))
            rows = [list(item.values()) for item in listing.items]
            return {"items": rows, "revision": listing.revision}
        try:
            prefix, after = str(payload["prefix"]), int(payload["after"])
            changes = self.direct.watch(prefix, after, float(payload["wait"]))
        except HistoryDropped:
            return {"dropped": True}
        rows = [list(item.values()) for item in changes.items]
        return {"items": rows, "deleted": changes.deleted, "revision": changes.revision}

    def commit_directly(
        self,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removes: Sequence[str] = (),
    ) -> int:
        """Commit from this host without a relay.

        Raises
        ------
        CommitConflict
            An expectation does not hold.
        StoreUnavailable
            Nothing was written: the store refused the commit or the circuit breaker is open.
        StoreAnswerLost
            The commit may have taken effect.
        """
        if not self.circuit_breaker.allows_call(now()):
            raise StoreUnavailable(
                f"the store did not answer the last {self.circuit_breaker.failures} commits",
                "try again later",
            )
        try:
            revision = self.direct.commit(expected, puts, removes)
        except (StoreAnswerLost, StoreUnavailable):
            self.circuit_breaker.record_failure()
            raise
        except CommitConflict:
            self.circuit_breaker.record_success()
            raise
        self.circuit_breaker.record_success()
        return revision

    def _answer_commit(self, payload: dict[str, Any]) -> dict[str, Any]:
        try:
            revision = self.commit_directly(
                payload["expected"], payload["puts"], payload["removes"]
            )
        except CommitConflict as conflict:
            return {"conflict": [list(item.values()) for item in conflict.current.values()]}
        return {"revision": revision}

    def _read(
        self,
        direct: Callable[[], Result],
        relayed: Callable[[PeerLink], Result],
        trace: ReadTrace,
    ) -> Result:
        refusal: StoreUnavailable
        trace.begin()
        try:
            return direct()
        except StoreUnavailable as error:
            refusal = error
        for link in self._relay_links():
            trace.begin()
            try:
                return relayed(link)
            except HistoryDropped:
                raise
            except AcaciastandError as error:
                trace.others_refused |= _tells_of_store(error)
                self._record_relay_failure(STORE_READ_CALL, link, error)
        raise refusal

    def _relay_links(self) -> Sequence[PeerLink]:
        """Return the peers to try, first those that never failed or failed longest ago."""
        links = [link for link in self.peers() if link.connection is not None]
        links.sort(key=lambda link: self.failed_at.get(link.entry_id, float("-inf")))
        return links[:MAX_RELAY_ENTRIES]

    def _record_relay_failure(self, call: str, link: PeerLink, error: AcaciastandError) -> None:
        self.failed_at[link.entry_id] = now()
        self.metrics.count("store_relay_failed", call)
        logger.debug(
            "store call not relayed", extra={"entry_id": link.entry_id, "error": str(error)}
        )


def _tells_of_store(error: AcaciastandError) -> bool:
    """Return whether another entry replied that it could not read the store."""
    return isinstance(error, CallRefused) and error.reply_code == StoreUnavailable.code


class CommitReply(Record):
    """Reply of another entry that made a commit.

    Parameters
    ----------
    revision
        Revision of the commit; 0 after a conflict.
    conflict
        Current items of the keys with an expected revision; None without a conflict.
    """

    __slots__ = ("revision", "conflict")

    def __init__(self, revision: int, conflict: list[Item] | None = None) -> None:
        self.revision = revision
        self.conflict = conflict


def _decoded(decode: Callable[[dict[str, Any]], Result], reply: dict[str, Any]) -> Result:
    """Return the decoded reply of another entry.

    Raises
    ------
    OutcomeUnknown
        It cannot be decoded.
    """
    try:
        return decode(reply)
    except MALFORMED as error:
        raise OutcomeUnknown(
            f"the reply cannot be decoded: {error}", "check the versions of the entries"
        ) from error


def _read_item(reply: dict[str, Any]) -> Item:
    return _item(reply["item"])


def _item(row: Any) -> Item:
    key, value, revision = check_list(row)
    return Item(check_text(key), check_bytes(value), check_integer(revision))


def _listing(reply: dict[str, Any]) -> Listing:
    items = [_item(row) for row in check_list(reply["items"])]
    return Listing(items, check_integer(reply["revision"]))


def _changes(reply: dict[str, Any], after: int) -> Changes:
    if reply.get("dropped"):
        raise HistoryDropped(after)
    items = [_item(row) for row in check_list(reply["items"])]
    deleted = [check_text(key) for key in check_list(reply["deleted"])]
    return Changes(items, deleted, check_integer(reply["revision"]))


def _commit_reply(reply: dict[str, Any]) -> CommitReply:
    if "conflict" in reply:
        return CommitReply(0, [_item(row) for row in check_list(reply["conflict"])])
    return CommitReply(check_integer(reply["revision"]))
