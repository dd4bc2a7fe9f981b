"""Client of the platform's store."""

from __future__ import annotations

import base64
import json
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

from acaciastand.checks import (
    MALFORMED,
    check_integer,
    check_text,
    decode_rows,
    load_json_map,
)
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import (
    Changes,
    CommitConflict,
    HistoryDropped,
    Item,
    Listing,
    TransactionalStore,
)
from acaciastand.errors import AcaciastandError
from acaciastand.platform.http import (
    CallBrokeOff,
    CallNotSent,
    CallTimedOut,
    HttpAnswer,
    HttpCaller,
)
from acaciastand.record import Record

# Time until the answer to a read begins; several times that of a store that is slow.
READ_SECONDS = 0.7
# The same for a watch, beyond the time that it waits. On a thin link the answer to another call can
# be ahead of it.
WATCH_SECONDS = 1.0
# Time for each further part of an answer on a thin link that other hosts fill as well.
PART_SECONDS = 2.5
COMMIT_SECONDS = 0.5
MAX_PAGE_BYTES = 4 << 20  # a page can hold values of a megabyte, and a third more as base64
NOT_DONE = frozenset({429, 503})
CONFLICT = 412
GONE = 410
NOT_FOUND = 404
JSON_HEADERS = {"Content-Type": "application/json"}

Observer = Callable[[str, str], None]  # call, outcome

logger = logging.getLogger(__name__)


class _Event(Record):
    """One change of a watch: an item as it was written, or the key of one that was deleted."""

    __slots__ = ("item", "deleted")

    def __init__(self, item: Item, deleted: bool) -> None:
        self.item = item
        self.deleted = deleted


def _log_ignored(error: Exception) -> None:
    logger.error("item ignored", extra={"error": str(error)})


class PlatformStore(TransactionalStore):
    """The platform's store over HTTP; a call is never sent twice.

    Parameters
    ----------
    url
        Base URL.
    observe
        Told the call and its outcome.
    on_ignored
        Called with the error of each item that cannot be decoded and is left out.
    """

    def __init__(
        self,
        url: str,
        observe: Observer = lambda call, outcome: None,
        on_ignored: Callable[[Exception], None] = _log_ignored,
    ) -> None:
        self.caller = HttpCaller(url, MAX_PAGE_BYTES)
        self.observe = observe
        self.on_ignored = on_ignored
        self.read_seconds = READ_SECONDS
        self.commit_seconds = COMMIT_SECONDS

    def close(self) -> None:
        """Close the kept connections."""
        self.caller.close()

    def get(self, key: str) -> Item:
        """Return the item at `key`."""
        path = f"/kv-key?{urlencode({'key': key})}"
        answer = self._read("get", path, self.read_seconds)
        if answer.status == NOT_FOUND:
            return Item(key)
        fields = _body(answer, "get")
        try:
            return _item(fields)
        except MALFORMED as error:
            raise _no_answer("get", f"the item cannot be decoded: {error}") from error

    def list(self, prefix: str, stale: bool = False) -> Listing:
        """Return all items below `prefix`, page by page."""
        items: list[Item] = []
        revision = 0
        more = True
        last_key = ""
        while more:
            query: dict[str, Any] = {"prefix": prefix}
            if last_key:
                query["after"] = last_key
            if stale:
                query["serializable"] = 1
            path = f"/kv-range?{urlencode(query)}"
            page = _body(self._read("list", path, self.read_seconds), "list")
            # Pages are not a snapshot: a watch has to continue from the first of them.
            revision = revision or _revision(page, "storeRevision", "list")
            rows = page.get("items") or []
            items.extend(decode_rows(rows, _item, self.on_ignored))
            more = bool(page.get("hasMore")) and bool(rows)
            last_key = _last_key(rows) if more else ""
        return Listing(items, revision)

    def watch(self, prefix: str, after: int, wait_seconds: float) -> Changes:
        """Wait for changes below `prefix`."""
        query = {"prefix": prefix, "after": after, "waitMs": int(wait_seconds * 1000)}
        path = f"/kv-watch?{urlencode(query)}"
        answer = self._read("watch", path, wait_seconds + WATCH_SECONDS)
        if answer.status == GONE:
            raise HistoryDropped(after)
        fields = _body(answer, "watch")
        items: dict[str, Item] = {}
        deleted = []
        for event in decode_rows(fields.get("events"), _event, self.on_ignored):
            if event.deleted:
                deleted.append(event.item.key)
                items.pop(event.item.key, None)
            else:
                items[event.item.key] = event.item
        revision = _revision(fields, "storeRevision", "watch")
        return Changes(list(items.values()), deleted, revision)

    def commit(
        self,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removes: Sequence[str] = (),
    ) -> int:
        """Write and remove keys under conditions."""
        body: dict[str, Any] = {
            "expectedRev": [{"key": key, "revision": rev} for key, rev in expected.items()],
            "setKeys": [
                {"key": key, "value": base64.b64encode(value).decode()}
                for key, value in puts.items()
            ],
        }
        if removes:
            body["remove"] = list(removes)
        answer = self._call("POST", "commit", "/kv-txn", self.commit_seconds, body)
        if answer.status == CONFLICT:
            self.observe("commit", "conflict")
            rows = _body(answer, "commit", CONFLICT).get("items")
            found = {item.key: item for item in decode_rows(rows, _item, self.on_ignored)}
            raise CommitConflict([found.get(key, Item(key)) for key in expected])
        revision = _revision(_body(answer, "commit"), "revision", "commit")
        self.observe("commit", "done")
        return revision

    def _read(self, call: str, path: str, seconds: float) -> HttpAnswer:
        answer = self._call("GET", call, path, seconds, part_seconds=PART_SECONDS)
        self.observe(call, "done" if answer.status < 500 else "failed")
        return answer

    def _call(
        self,
        method: str,
        call: str,
        path: str,
        seconds: float,
        body: Any = None,
        part_seconds: float | None = None,
    ) -> HttpAnswer:
        data = b"" if body is None else json.dumps(body).encode()
        try:
            answer = self.caller.call(method, path, data, JSON_HEADERS, seconds, part_seconds)
        except CallNotSent as error:
            self.observe(call, "not_sent")
            raise StoreUnavailable(str(error), "try again later") from error
        except (CallTimedOut, CallBrokeOff) as error:
            self.observe(call, "no_answer")
            raise _no_answer(call, str(error)) from error
        if answer.status in NOT_DONE:
            self.observe(call, "turned_away")
            raise StoreUnavailable(
                f"the store answered {answer.status} to {call}", "try again later"
            )
        return answer


def _no_answer(call: str, cause: str) -> AcaciastandError:
    if call == "commit":
        return StoreAnswerLost(f"no answer to a commit: {cause}", "read the keys")
    return StoreUnavailable(f"no answer to {call}: {cause}", "try again later")


def _body(answer: HttpAnswer, call: str, expected: int = 200) -> dict[str, Any]:
    if answer.status != expected:
        raise _no_answer(call, f"status {answer.status}")
    try:
        return load_json_map(answer.body)
    except MALFORMED as error:
        raise _no_answer(call, f"the body cannot be decoded: {error}") from error


def _revision(fields: dict[str, Any], name: str, call: str) -> int:
    try:
        return check_integer(fields[name])
    except MALFORMED as error:
        raise _no_answer(call, f"{name} cannot be decoded: {error}") from error


def _last_key(rows: list[Any]) -> str:
    try:
        return check_text(rows[-1]["key"])
    except MALFORMED as error:
        raise _no_answer("list", f"the last key cannot be decoded: {error}") from error


def _item(fields: dict[str, Any]) -> Item:
    value = base64.b64decode(check_text(fields.get("value") or ""))
    return Item(check_text(fields["key"]), value, check_integer(fields.get("revision", 0)))


def _event(fields: dict[str, Any]) -> _Event:
    return _Event(_item(fields), bool(fields.get("deleted")))
