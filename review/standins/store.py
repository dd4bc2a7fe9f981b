"""Stand-in for the platform's metadata store, after PROTOCOL.md."""

from __future__ import annotations

import asyncio
import base64
import random
from typing import Any

from http_server import NoAnswer, Request, ResetConnection, Server

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
RETENTION_S = 20.0
ANSWER_S = 0.004  # Time to answer a call.


class Busy(Exception):
    """The store answers 503 and has done nothing."""


class Item:
    """A stored key."""

    def __init__(self, key: str, value: bytes, revision: int, created: int, lease: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision
        self.created = created
        self.lease = lease

    def fields(self) -> dict[str, Any]:
        """Return the item as it is sent."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


class Store:
    """Key-value store with one revision counter, watches and leases.

    Attributes
    ----------
    down
        Empty, or how the store turns calls away: ``busy``, ``reset`` or ``silent``.
    lost_share, lost_late
        Share of the write calls that get no answer, and whether these are carried out only 1 to
        6 s later instead of at once.
    """

    def __init__(self, host: str, port: int, seed: int, record: Any) -> None:
        self.server = Server(host, port, self._serve)
        self.record = record
        self.random = random.Random(seed)
        self.items: dict[str, Item] = {}
        self.revision = 10
        self.events: list[tuple[float, int, dict[str, Any]]] = []
        self.dropped_revision = 10
        self.changed = asyncio.Condition()
        self.leases: dict[int, tuple[float, int]] = {}
        self.next_lease = 1
        self.down = ""
        self.lost_share = 0.0
        self.lost_late = False
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Serve."""
        await self.server.open()

    async def _serve(self, request: Request) -> tuple[int, Any]:
        try:
            return await self._call(request)
        except Busy:
            return 503, {}

    async def _call(self, request: Request) -> tuple[int, Any]:
        self._refuse_if_down()
        if request.path == "/kv-watch":
            return await self._watch(request.query)
        await asyncio.sleep(ANSWER_S)
        self._refuse_if_down()
        if request.method == "GET" and request.path == "/kv-key":
            item = self.items.get(request.query["key"])
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, {**item.fields(), "storeRevision": self.revision}
        if request.method == "GET" and request.path == "/kv-range":
            return self._range(request.query)
        if request.path == "/kv-txn":
            return await self._write(request.json())
        if request.path == "/kv-lease":
            ttl_ms = max(1000, int(request.json()["ttlMs"]))
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (asyncio.get_running_loop().time() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        return 404, {}

    def _refuse_if_down(self) -> None:
        if self.down == "silent":
            raise NoAnswer
        if self.down == "reset":
            raise ResetConnection
        if self.down == "busy":
            raise Busy

    async def _write(self, fields: dict[str, Any]) -> tuple[int, Any]:
        if self.random.random() < self.lost_share:
            if self.lost_late:
                delay = self.random.uniform(1.0, 6.0)
                self._spawn(self._write_late(fields, delay))
            else:
                await self._apply(fields)
            raise NoAnswer
        return await self._apply(fields)

    async def _write_late(self, fields: dict[str, Any], delay: float) -> None:
        await asyncio.sleep(delay)
        status, _ = await self._apply(fields)
        keys = [row["key"] for row in fields.get("setKeys") or []]
        self.record.write("store: late write", keys=keys, status=status, delay_s=round(delay, 2))

    async def _apply(self, fields: dict[str, Any]) -> tuple[int, Any]:
        expected = {row["key"]: row["revision"] for row in fields.get("expectedRev") or []}
        puts = fields.get("setKeys") or []
        removes = fields.get("remove") or []
        if len(expected) + len(puts) + len(removes) > 32:
            return 400, {}
        if any(row["key"].startswith(("op/", "servers/")) for row in puts):
            return 403, {}
        current = {key: self.items.get(key) for key in expected}
        if any((i.revision if i else 0) != expected[key] for key, i in current.items()):
            return 412, {"items": [i.fields() for i in current.values() if i]}
        self.put([(row["key"], base64.b64decode(row.get("value") or "")) for row in puts], removes)
        await self._notify()
        return 200, {"revision": self.revision}

    def put(self, puts: list[tuple[str, bytes]], removes: list[str] | None = None) -> None:
        """Write and remove keys in one change."""
        self.revision += 1
        at = asyncio.get_running_loop().time()
        for key, value in puts:
            former = self.items.get(key)
            created = former.created if former else self.revision
            item = self.items[key] = Item(key, value, self.revision, created, 0)
            self.events.append((at, self.revision, item.fields()))
        for key in removes or []:
            if self.items.pop(key, None):
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.events.append((at, self.revision, event))
        while self.events and at - self.events[0][0] > RETENTION_S:
            self.dropped_revision = self.events.pop(0)[1]

    async def operator_put(self, key: str, value: bytes) -> None:
        """Write a key as the operator does."""
        self.put([(key, value)])
        await self._notify()

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def _range(self, query: dict[str, str]) -> tuple[int, Any]:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            if len(items) >= PAGE_ITEMS or size > PAGE_BYTES:
                break
            items.append(self.items[key].fields())
            size += len(items[-1]["value"])
        more = len(items) < len(keys)
        return 200, {"items": items, "hasMore": more, "storeRevision": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query["prefix"], int(query["after"])
        end = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            self._refuse_if_down()
            if after < self.dropped_revision:
                return 410, {}
            found = [
                event
                for _, revision, event in self.events
                if revision > after and event["key"].startswith(prefix)
            ]
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0:
                return 200, {"events": found, "storeRevision": self.revision}
            try:
                async with asyncio.timeout(min(left, 0.1)), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
