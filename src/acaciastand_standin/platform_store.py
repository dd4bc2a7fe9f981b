"""Stand-in for the platform's store over HTTP, on a store in memory."""

from __future__ import annotations

import base64
import json
import random
from bisect import bisect_right
from operator import itemgetter
from typing import Any
from urllib.parse import parse_qs

import gevent
from gevent import GreenletExit
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from acaciastand.cluster.keys import OWNER_KEY
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import (
    Changes,
    CommitConflict,
    HistoryDropped,
    Item,
    MemoryTransactionalStore,
)
from acaciastand.wire.connection import split_address

PAGE_ITEMS = 500
WATCH_POLL_SECONDS = 0.02


class IndexedStore(MemoryTransactionalStore):
    """Store in memory whose watches look only at later changes.

    Dozens of watches that each looked at all kept changes kept the stand-ins' process busy.
    """

    def watch(self, prefix: str, after: int, wait_seconds: float) -> Changes:
        """Return the changes after `after` at once; see `TransactionalStore.watch`."""
        kept = self.changes
        self.changes = kept[bisect_right(kept, after, key=itemgetter(0)) :]
        try:
            return super().watch(prefix, after, wait_seconds)
        finally:
            self.changes = kept


class StoreAccess:
    """An address of the store for one host, which the store can turn away.

    Attributes
    ----------
    turned_away
        Whether every call at this address is answered with 503.
    turned_away_in_takeover
        Whether that begins when the host has claimed the ownership.
    """

    def __init__(self, store: PlatformStoreStandIn, address: str = "127.0.0.1:0") -> None:
        self.store = store
        self.turned_away = False
        self.turned_away_in_takeover = False
        self.server = WSGIServer(split_address(address), self._serve, log=None, error_log=None)

    @property
    def address(self) -> str:
        """Address that the server is bound to."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def _serve(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        if self.turned_away:
            return _answer(start_response, 503, {})
        owned = self.store.store.items.get(OWNER_KEY)
        answer = self.store.serve(environ, start_response)
        if self.turned_away_in_takeover and environ["PATH_INFO"] == "/kv-txn":
            self.turned_away = self.store.store.items.get(OWNER_KEY) != owned
        # A waiting watch is cut when the host is turned away meanwhile.
        if self.turned_away:
            raise GreenletExit
        return answer


class PlatformStoreStandIn:
    """Serves the store's calls.

    Attributes
    ----------
    down
        Whether every call is turned away.
    lost_share
        Share of the commits that are done and not answered.
    delay_seconds
        Time added to each answer.
    """

    def __init__(self, address: str = "127.0.0.1:0", seed: int = 1) -> None:
        self.store = IndexedStore()
        self.down = False
        self.lost_share = 0.0
        self.delay_seconds = 0.0
        self.random = random.Random(seed)
        self.changed = Event()
        self.calls = 0
        self.common = StoreAccess(self, address)
        self.accesses = [self.common]

    @property
    def address(self) -> str:
        """Address for all hosts that have none of their own."""
        return self.common.address

    def start(self) -> None:
        """Bind and serve."""
        self.common.server.start()

    def stop(self) -> None:
        """Stop serving."""
        for access in self.accesses:
            access.server.stop(0.1)

    def add_access(self) -> StoreAccess:
        """Return an address for one more host, which is being served."""
        access = StoreAccess(self)
        access.server.start()
        self.accesses.append(access)
        return access

    def write(self, key: str, value: bytes) -> None:
        """Write a key as the operators do."""
        self.store.commit({}, {key: value})

    def remove(self, key: str) -> None:
        """Remove a key as the operators do."""
        self.store.commit({}, {}, [key])

    def serve(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Answer one call."""
        self.calls += 1
        if self.delay_seconds:
            gevent.sleep(self.delay_seconds)
        if self.down:
            return _answer(start_response, 503, {})
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        body = environ["wsgi.input"].read()
        try:
            status, fields = self._call(environ["PATH_INFO"], query, body)
        except StoreUnavailable:
            status, fields = 503, {}
        except StoreAnswerLost:
            raise GreenletExit from None
        if environ["PATH_INFO"] == "/kv-txn" and self.random.random() < self.lost_share:
            raise GreenletExit  # no traceback is printed
        return _answer(start_response, status, fields)

    def _call(self, path: str, query: dict[str, str], body: bytes) -> tuple[int, dict[str, Any]]:
        if path == "/kv-key":
            item = self.store.get(query["key"])
            return (200, _plain(item)) if item.revision else (404, {})
        if path == "/kv-range":
            return self._range(query)
        if path == "/kv-watch":
            return self._watch(query)
        if path == "/kv-txn":
            return self._txn(json.loads(body))
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        listing = self.store.list(query["prefix"])
        items = [item for item in listing.items if item.key > query.get("after", "")]
        page = items[:PAGE_ITEMS]
        return 200, {
            "items": [_plain(item) for item in page],
            "hasMore": len(items) > len(page),
            "storeRevision": listing.revision,
        }

    def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        try:
            with gevent.Timeout(int(query["waitMs"]) / 1000, False):
                self._wait_for_change(query["prefix"], after)
            changes = self.store.watch(query["prefix"], after, 0.0)
        except HistoryDropped:  # It may be dropped during the wait.
            return 410, {}
        # A key that was written again after its deletion is in both lists.
        events: list[dict[str, Any]] = [{"key": key, "deleted": True} for key in changes.deleted]
        events += [_plain(item) for item in changes.items]
        return 200, {"events": events, "storeRevision": changes.revision}

    def _wait_for_change(self, prefix: str, after: int) -> None:
        while not self.down:
            changes = self.store.watch(prefix, after, 0.0)
            if changes.items or changes.deleted:
                return
            gevent.sleep(WATCH_POLL_SECONDS)

    def _txn(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = {row["key"]: row["revision"] for row in fields.get("expectedRev", [])}
        puts = {
            row["key"]: base64.b64decode(row.get("value", "")) for row in fields.get("setKeys", [])
        }
        if any(key.startswith("op/") for key in [*puts, *fields.get("remove", [])]):
            return 403, {}
        try:
            revision = self.store.commit(expected, puts, fields.get("remove", []))
        except CommitConflict as conflict:
            items = [_plain(item) for item in conflict.current.values() if item.revision]
            return 412, {"items": items}
        return 200, {"revision": revision}


def _plain(item: Item) -> dict[str, Any]:
    value = base64.b64encode(item.value).decode()
    return {"key": item.key, "value": value, "revision": item.revision}


def _answer(start_response: Any, status: int, fields: dict[str, Any]) -> list[bytes]:
    data = json.dumps(fields).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    start_response(f"{status} Answer", headers)
    return [data]
