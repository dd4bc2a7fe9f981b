"""Client of the platform's store."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

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


class PlatformStore(TransactionalStore):
    """The platform's store over HTTP; a call is never sent twice.

    Parameters
    ----------
    url
        Base URL.
    observe
        Told the call and its outcome.
    """

    def __init__(self, url: str, observe: Observer = lambda call, outcome: None) -> None:
        self.caller = HttpCaller(url, MAX_PAGE_BYTES)
        self.observe = observe
        self.read_seconds = READ_SECONDS
        self.commit_seconds = COMMIT_SECONDS

    def close(self) -> None:
        """Close the kept connections."""
        self.caller.close()

    def get(self, key: str) -> Item:
        """Return the item at `key`."""
        path = f"/kv-key?{urlencode({'key': key})}"
        answer = self._read("get", path, self.read_seconds)
        return Item(key) if answer.status == NOT_FOUND else _item(_body(answer, "get"))

    def list(self, prefix: str, stale: bool = False) -> Listing:
        """Return all items below `prefix`, page by page."""
        items: list[Item] = []
        revision = 0
        more = True
        while more:
            query: dict[str, Any] = {"prefix": prefix}
            if items:
                query["after"] = items[-1].key
            if stale:
                query["serializable"] = 1
            path = f"/kv-range?{urlencode(query)}"
            page = _body(self._read("list", path, self.read_seconds), "list")
            # Pages are not a snapshot: a watch has to continue from the first of them.
            revision = revision or int(page["storeRevision"])
            items.extend(_item(fields) for fields in page.get("items") or [])
            more = bool(page.get("hasMore"))
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
        for event in fields.get("events") or []:
            if event.get("deleted"):
                deleted.append(event["key"])
                items.pop(event["key"], None)
            else:
                items[event["key"]] = _item(event)
        return Changes(list(items.values()), deleted, int(fields.get("storeRevision", after)))

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
            items = _body(answer, "commit", CONFLICT).get("items") or []
            found = {fields["key"]: _item(fields) for fields in items}
            raise CommitConflict([found.get(key, Item(key)) for key in expected])
        revision = int(_body(answer, "commit")["revision"])
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
        fields = json.loads(answer.body)
    except ValueError as error:
        raise _no_answer(call, f"the body is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise _no_answer(call, "the body is not an object")
    return fields


def _item(fields: dict[str, Any]) -> Item:
    value = base64.b64decode(fields.get("value") or "")
    return Item(fields["key"], value, int(fields.get("revision", 0)))
