"""Measures connections and messages: bytes, processor time and memory, one end at a time.

The far end runs in a second process (``python -m acaciastand_lab.bench_wire``), so that the cost
of each end is read separately.
"""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
import gevent.event
import psutil

from acaciastand.resources import Resources
from acaciastand.settings.schema import EffectiveSettings
from acaciastand.wire.attempt_lists import KnownAttemptList, SentAttemptLists, attempt_list_digest
from acaciastand.wire.codec import encode
from acaciastand.wire.connection import Connection, Listener, dial
from acaciastand.wire.messages import (
    AttemptName,
    AttemptReport,
    GrantAttempt,
    GrantReply,
    Heartbeat,
    HeartbeatReply,
    HeldAttempt,
    Message,
    ReportConfirmed,
    SettingsUpdate,
    ShardEpoch,
)
from acaciastand_lab.measurements import Slope, fit

CONNECTION_COUNTS = [50, 100, 200, 400]
ROUND_TRIPS = [500, 1000, 2000, 4000]
ATTEMPT_COUNTS = [1, 4, 8, 16]
TCP_IP_BYTES = 52  # IPv4 and TCP headers with timestamps; acknowledgements travel with replies
MASK_BYTES = 4  # a client masks its frames
SMALL_FRAME = 126
OWNED = [ShardEpoch(12 + 76 * number, 7) for number in range(8)]  # shards of one entry
EFFECTIVE = EffectiveSettings({"draining": ["agent-000123"]}, 70_000)  # all keys are sent
TASK_ID = "j12-a1b2c3d4e5f6/7"


def wire_bytes(message: Message, from_client: bool) -> int:
    """Return the bytes of one message on the network, headers included."""
    size = len(encode(message, 100))
    header = 2 if size < SMALL_FRAME else 4
    return size + header + (MASK_BYTES if from_client else 0) + TCP_IP_BYTES


def sample_heartbeat(attempts: int) -> Heartbeat:
    """Return a heartbeat that lists `attempts` attempts."""
    listed = [
        HeldAttempt(12, 7, TASK_ID, 2, "running", Resources(2.0, 4000, 0)) for _ in range(attempts)
    ]
    return Heartbeat(100_000, 5, Resources(12.5, 64_000, 1), 70_000, True, False, listed)


def sample_reply(attempts: int) -> HeartbeatReply:
    """Return the reply that renews `attempts` attempts."""
    renewed = [AttemptName(TASK_ID, 2) for _ in range(attempts)]
    return HeartbeatReply(100_000, 70_000, OWNED, renewed)


def digest_heartbeat() -> Heartbeat:
    """Return a heartbeat with a digest in place of its list."""
    return sample_heartbeat(0).replace(digest=attempt_list_digest(sample_heartbeat(8).attempts))


def digest_reply() -> HeartbeatReply:
    """Return the reply that renews everything by digest."""
    digest = digest_heartbeat().digest
    return sample_reply(0).replace(knows_held=True, renewed_digest=digest)


def measure_bytes() -> list[Slope]:
    """Return bytes of each message; sizes are attempts for heartbeats, messages for the rest."""
    slopes = [
        fit(
            "bytes.heartbeat",
            "bytes per attempt listed",
            ATTEMPT_COUNTS,
            [float(wire_bytes(sample_heartbeat(n), True)) for n in ATTEMPT_COUNTS],
        ),
        fit(
            "bytes.heartbeat_reply",
            "bytes per attempt renewed",
            ATTEMPT_COUNTS,
            [float(wire_bytes(sample_reply(n), False)) for n in ATTEMPT_COUNTS],
        ),
    ]
    size = Resources(2.0, 4000, 0)
    singles: list[tuple[str, Message, bool]] = [
        (
            "bytes.grant",
            GrantAttempt(12, 7, TASK_ID, 2, size, 9.4, "c" * 40, "print-run", 100_000, 15.0),
            False,
        ),
        ("bytes.heartbeat_digest", digest_heartbeat(), True),
        ("bytes.heartbeat_digest_reply", digest_reply(), False),
        ("bytes.grant_reply", GrantReply(12, TASK_ID, 2, True, ""), True),
        ("bytes.report", AttemptReport(12, TASK_ID, 2, "done", "", size, 9.4, ""), True),
        ("bytes.report_confirmed", ReportConfirmed(12, TASK_ID, 2), False),
        ("bytes.settings_update", SettingsUpdate(70_000, EFFECTIVE.values), False),
    ]
    for name, message, from_client in singles:
        one = wire_bytes(message, from_client)
        counts = [1, 2, 3, 4]
        slopes.append(fit(name, "bytes per message", counts, [float(one * n) for n in counts]))
    return slopes


@contextmanager
def far_end() -> Iterator[tuple[str, psutil.Process]]:
    """Start the far end; yields its address and process."""
    command = [sys.executable, "-m", "acaciastand_lab.bench_wire"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        try:
            address = process.stdout.readline().strip()
            yield address, psutil.Process(process.pid)
        finally:
            process.terminate()


def measure_memory() -> list[Slope]:
    """Return resident bytes per open connection at the accepting and at the dialling end."""
    accepted: list[float] = []
    dialled: list[float] = []
    for count in CONNECTION_COUNTS:
        with far_end() as (address, process):
            warm = _open(address, 1)
            before_far = process.memory_info().rss
            before_near = psutil.Process().memory_info().rss
            connections = _open(address, count)
            accepted.append(float(process.memory_info().rss - before_far))
            dialled.append(float(psutil.Process().memory_info().rss - before_near))
            for connection in connections + warm:
                connection.close()
    return [
        fit("memory.connection_accepted", "bytes per connection", CONNECTION_COUNTS, accepted),
        fit("memory.connection_dialled", "bytes per connection", CONNECTION_COUNTS, dialled),
    ]


def measure_processor() -> list[Slope]:
    """Return processor seconds per heartbeat round trip at each end, with 8 attempts held.

    Lists and digests take turns, so that other load on the machine touches both alike.
    """
    near: dict[str, list[float]] = {"heartbeat": [], "digest": []}
    far: dict[str, list[float]] = {"heartbeat": [], "digest": []}
    with far_end() as (address, process):
        connection = _open(address, 1)[0]
        for count in [200, *ROUND_TRIPS]:
            for kind, work in (("heartbeat", _list_round_trips), ("digest", _digest_round_trips)):
                far_before = _processor_seconds(process)
                near_before = time.process_time()
                work(connection, count)
                near[kind].append(time.process_time() - near_before)
                far[kind].append(_processor_seconds(process) - far_before)
        connection.close()
    # The first round warms caches.
    return [
        fit(f"processor.{kind}_{end}", "seconds per heartbeat", ROUND_TRIPS, values[kind][1:])
        for kind in near
        for end, values in (("sender", near), ("receiver", far))
    ]


def _open(address: str, count: int) -> list[Connection]:
    connections = [dial(address, lambda _connection, _message: None) for _ in range(count)]
    for connection in connections:
        connection.request(sample_heartbeat(0), 5.0)
    return connections


def _list_round_trips(connection: Connection, count: int) -> None:
    sent = SentAttemptLists()
    for sequence in range(1, count + 1):
        heartbeat = sample_heartbeat(8).replace(sequence=sequence)
        sent.known = 0  # as if the list had changed since the last heartbeat
        reply = connection.request(sent.abbreviate(heartbeat), 5.0)
        assert isinstance(reply, HeartbeatReply)
        assert len(sent.renewed(reply)) == 8


def _digest_round_trips(connection: Connection, count: int) -> None:
    # Both ends do all that the daemons do for a digest; the first heartbeat carries the list.
    sent = SentAttemptLists()
    for sequence in range(1, count + 1):
        heartbeat = sample_heartbeat(8).replace(sequence=sequence)
        reply = connection.request(sent.abbreviate(heartbeat), 5.0)
        assert isinstance(reply, HeartbeatReply)
        assert len(sent.renewed(reply)) == 8


def _processor_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def measure() -> list[Slope]:
    """Return all measurements of this module."""
    return [*measure_bytes(), *measure_memory(), *measure_processor()]


def _answer(connection: Connection, message: Message) -> Message | None:
    if not isinstance(message, Heartbeat):
        return None
    if connection.user_data is None:
        connection.user_data = KnownAttemptList()
    known: KnownAttemptList = connection.user_data
    expanded = known.expand(message)
    reply = sample_reply(len(message.attempts)).replace(sequence=message.sequence)
    return known.abbreviate(message, reply) if expanded else reply


def main() -> None:
    """Serve as the far end: answer every heartbeat until ended."""
    listener = Listener("127.0.0.1:0", _answer)
    listener.start()
    print(listener.address, flush=True)
    ended = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    ended.wait(timeout=120.0)
    listener.close()


if __name__ == "__main__":
    main()
