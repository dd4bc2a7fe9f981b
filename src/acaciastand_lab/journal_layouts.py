"""Compares forms of a shard's journal by bytes written and store calls per commit.

Usage: ``python -m acaciastand_lab.journal_layouts [--commits N] [--events N]``

Each form keeps the live tasks of one shard durable. A commit replaces the 100-byte records of a few
live tasks. All forms write through `MemoryStore`; calls are taken from its counters and bytes from
the values given to `put_if`. Recovery is what a new owner reads.
"""

from __future__ import annotations

import argparse
import random
from abc import ABC, abstractmethod
from typing import Any

import cbor2

from acaciastand.coordination import Journal, MemoryStore
from acaciastand.record import Record

TASK_BYTES = 100  # one task record
LIVE_TASKS = (10, 100, 1000)  # live tasks per shard
SEED = 1
SEGMENT_EVENTS = 512  # events after which an active segment is sealed
SNAPSHOT_EVERY_BYTES = 64 << 10  # sealed bytes after which the segment form writes a snapshot

Events = list[tuple[int, bytes]]


class MeteredStore(MemoryStore):
    """Counts the bytes of written values."""

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)
        self.written = 0

    def put_if(
        self, key: str, value: bytes, expected_version: int, lease_id: int | None = None
    ) -> int:
        """Count and write a value."""
        self.written += len(value)
        return super().put_if(key, value, expected_version, lease_id)

    def calls(self) -> int:
        """Return the number of calls so far."""
        return sum(self.faults.calls.values())


class JournalLayout(ABC):
    """One way to keep the state of a shard in the store."""

    name = ""

    def __init__(self, store: MeteredStore) -> None:
        self.store = store

    @abstractmethod
    def commit(self, events: Events, state: dict[int, bytes]) -> None:
        """Make `events` durable; `state` already contains them."""

    @abstractmethod
    def stored_bytes(self) -> int:
        """Return the bytes that a new owner has to read."""

    def _stored(self, prefix: str) -> int:
        return sum(len(item.value) for item in self.store.list(prefix))


class Ring(JournalLayout):
    """The product's journal: ring of slots with snapshots."""

    name = "ring of slots"

    def __init__(self, store: MeteredStore) -> None:
        super().__init__(store)
        numbers = random.Random(SEED)
        self.journal = Journal(store, "ring", "writer", lambda: numbers.randbytes(16))
        self.journal.take_over()

    def commit(self, events: Events, state: dict[int, bytes]) -> None:
        """Append one entry, and write a snapshot when it is due."""
        self.journal.append(events)
        if self.journal.compaction_due:
            self.journal.compact(state)

    def stored_bytes(self) -> int:
        """Return the bytes of the snapshot and the slots."""
        return self._stored("ring/")


class WholeRecord(JournalLayout):
    """Rewrites all live tasks in one value on each commit."""

    name = "whole record"

    def __init__(self, store: MeteredStore) -> None:
        super().__init__(store)
        self.version = 0

    def commit(self, events: Events, state: dict[int, bytes]) -> None:
        """Write the whole state."""
        self.version = self.store.put_if("record", cbor2.dumps([SEED, state]), self.version)

    def stored_bytes(self) -> int:
        """Return the bytes of the record."""
        return self._stored("record")


class ActiveSegment(JournalLayout):
    """Rewrites an active segment on each commit; sealed segments end in a snapshot."""

    name = "active segment"

    def __init__(self, store: MeteredStore) -> None:
        super().__init__(store)
        self.segment: list[Any] = []
        self.segment_version = 0
        self.sealed: list[str] = []
        self.sealed_bytes = 0
        self.snapshot_version = 0
        self.number = 0

    def commit(self, events: Events, state: dict[int, bytes]) -> None:
        """Write the active segment with the new events, and seal it when it is full."""
        self.segment += events
        data = cbor2.dumps([self.number, self.segment])
        self.segment_version = self.store.put_if(self._key(), data, self.segment_version)
        if len(self.segment) >= SEGMENT_EVENTS:
            self._seal(len(data), state)

    def stored_bytes(self) -> int:
        """Return the bytes of the snapshot and all segments."""
        return self._stored("segments/")

    def _key(self) -> str:
        return f"segments/{self.number}"

    def _seal(self, size: int, state: dict[int, bytes]) -> None:
        self.sealed.append(self._key())
        self.sealed_bytes += size
        self.number += 1
        self.segment = []
        self.segment_version = 0
        if self.sealed_bytes >= SNAPSHOT_EVERY_BYTES:
            self._snapshot(state)

    def _snapshot(self, state: dict[int, bytes]) -> None:
        data = cbor2.dumps([self.number, state])
        self.snapshot_version = self.store.put_if("segments/snapshot", data, self.snapshot_version)
        for item in self.store.list("segments/"):
            if item.key in self.sealed:
                self.store.delete_if(item.key, item.version)
        self.sealed = []
        self.sealed_bytes = 0


class Measurement(Record):
    """What one form costs at one number of live tasks."""

    __slots__ = ("live", "layout", "commit_bytes", "largest_bytes", "calls", "recovery_bytes")

    def __init__(
        self,
        live: int,
        layout: str,
        commit_bytes: float,
        largest_bytes: int,
        calls: float,
        recovery_bytes: int,
    ) -> None:
        self.live = live
        self.layout = layout
        self.commit_bytes = commit_bytes
        self.largest_bytes = largest_bytes
        self.calls = calls
        self.recovery_bytes = recovery_bytes


def measure(layout_class: type[JournalLayout], live: int, commits: int, events: int) -> Measurement:
    """Run `commits` commits of `events` changed tasks each and return the cost per commit."""
    store = MeteredStore()
    layout = layout_class(store)
    numbers = random.Random(SEED)
    state = {task: numbers.randbytes(TASK_BYTES) for task in range(live)}
    start_bytes, start_calls, largest = store.written, store.calls(), 0
    for _ in range(commits):
        before = store.written
        changed = [(numbers.randrange(live), numbers.randbytes(TASK_BYTES)) for _ in range(events)]
        state.update(changed)
        layout.commit(changed, state)
        largest = max(largest, store.written - before)
    return Measurement(
        live,
        layout.name,
        (store.written - start_bytes) / commits,
        largest,
        (store.calls() - start_calls) / commits,
        layout.stored_bytes(),
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(prog="python -m acaciastand_lab.journal_layouts")
    parser.add_argument("--commits", type=int, default=4015)
    parser.add_argument("--events", type=int, default=1, help="changed tasks per commit")
    options = parser.parse_args()
    print(
        "| live tasks | form | bytes per commit | largest commit, bytes | calls per commit"
        " | bytes read by a new owner |"
    )
    print("|---:|---|---:|---:|---:|---:|")
    for live in LIVE_TASKS:
        for layout in (Ring, WholeRecord, ActiveSegment):
            result = measure(layout, live, options.commits, options.events)
            print(
                f"| {live:,} | {result.layout} | {result.commit_bytes:,.0f} |"
                f" {result.largest_bytes:,} | {result.calls:.3f} | {result.recovery_bytes:,} |"
            )


if __name__ == "__main__":
    main()
