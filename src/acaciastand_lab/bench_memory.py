"""Measures the allocated bytes of the records that entries, owners and agents keep.

`tracemalloc` counts what the interpreter allocates for them; resident memory is larger by the
allocator's unused blocks.
"""

from __future__ import annotations

import gc
import random
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any, cast

from acaciastand.entry.agents import AgentRegistry
from acaciastand.host.keyed import KeyTable
from acaciastand.resources import Resources
from acaciastand.routing import RandomChooser, Router
from acaciastand.settings.tree import SettingsTree
from acaciastand.wire.codec import decode, encode
from acaciastand.wire.connection import Connection
from acaciastand.wire.messages import Hello
from acaciastand_lab.bench_shard import committed, grant_all, new_shard, submit
from acaciastand_lab.bench_wire import sample_heartbeat
from acaciastand_lab.measurements import Slope, fit

AGENT_COUNTS = [100, 200, 400, 800]
TASK_COUNTS = [200, 400, 800, 1600]
JOB_COUNTS = [50, 100, 200, 400]
NODE_COUNTS = [250, 500, 1000, 2000]
KEY_COUNTS = [512, 1024, 2048, 4096]
ATTEMPTS = 7  # attempts an agent lists in its heartbeat at the target scale, rounded up
ANSWER_BYTES = 256


class _Closed:
    """Stands in for the connection, whose memory is measured by `bench_wire`."""

    def __init__(self) -> None:
        self.user_data: Any = None


def allocated(build: Callable[[], object]) -> float:
    """Return the bytes that are still allocated while the result of `build` is kept."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def agent_sessions(count: int) -> AgentRegistry:
    """Return a registry that knows `count` agents after one heartbeat each."""
    registry = AgentRegistry(
        Router(RandomChooser(), random.Random(1), 0.34, 0.2), lambda _session: None
    )
    for number in range(count):
        hello = Hello(
            f"agent-{number:06}",
            f"incarnation-{number:06}",
            "zone-1",
            f"rack-{number // 20}",
            Resources(32.0, 125_000, 1),
            8,
            64,
            ["order-desk"],
            path="firm/region/site",
        )
        received = decode(encode(hello)).message
        assert isinstance(received, Hello)
        session = registry.admit(cast(Connection, _Closed()), received, 0.0)
        heartbeat: Any = decode(encode(sample_heartbeat(ATTEMPTS))).message
        registry.heartbeat(session, heartbeat, 1.0)
    return registry


def running_tasks(count: int) -> object:
    """Return an owner's shard with `count` running tasks and a worker for each seven."""
    owned = new_shard(max(count // ATTEMPTS, 1))
    for _ in range(count // 100):
        submit(owned, 100)
    while owned.scheduler.has_waiting_tasks():
        owned.scheduler.start_tasks(owned.workers, {}, 0.0)
        committed(owned)
        grant_all(owned)
    assert len(owned.shard.state.running) == count
    return owned


def queued_jobs(count: int) -> object:
    """Return an owner's shard with `count` committed jobs of one task each."""
    owned = new_shard(1)
    for _ in range(count):
        submit(owned, 1)
    return owned


def settings_tree(count: int) -> SettingsTree:
    """Return a tree with `count` paths."""
    tree = SettingsTree()
    for number in range(count):
        path = f"firm/region-{number % 7}/site-{number}"
        tree.set(path, "request_timeout_ms", 1000 + number, number, f"operator-{number % 66}")
        tree.set(path, "draining", [f"agent-{number}"], number, f"operator-{number % 66}")
    return tree


def key_table(count: int) -> KeyTable:
    """Return a table with `count` recorded answers."""
    table = KeyTable(600.0)
    for number in range(count):
        key = f"order-{number:032}"
        table.record_start(key, 0.0)
        table.record_answer(key, bytes(bytearray(ANSWER_BYTES)), ANSWER_BYTES, 0.0)
    return table


def measure() -> list[Slope]:
    """Return all measurements of this module."""
    cases: list[tuple[str, str, list[int], Callable[[int], object]]] = [
        ("memory.agent_session", "bytes per agent", AGENT_COUNTS, agent_sessions),
        ("memory.task_owned", "bytes per running task", TASK_COUNTS, running_tasks),
        ("memory.job_queued", "bytes per job of one task", JOB_COUNTS, queued_jobs),
        ("memory.settings_node", "bytes per path with 2 overrides", NODE_COUNTS, settings_tree),
        ("memory.key_outcome", "bytes per key with 256 bytes", KEY_COUNTS, key_table),
    ]
    slopes = []
    for name, unit, sizes, build in cases:
        build(sizes[0])  # fills caches that are not part of the records
        values = [allocated(partial(build, size)) for size in sizes]
        slopes.append(fit(name, unit, sizes, values))
    return slopes
