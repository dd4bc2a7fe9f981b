"""Measures one real entry with a few hundred agents that have nothing to do.

The agents are stand-ins inside a few processes (``python -m acaciastand_lab.bench_fleet ADDRESS
FIRST COUNT``): each keeps one real connection with the announcement and the heartbeats of an agent.
"""

from __future__ import annotations

import signal
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import gevent
import gevent.event
import psutil

from acaciastand.resources import Resources
from acaciastand.wire.connection import Connection, dial
from acaciastand.wire.messages import Heartbeat, Hello, Welcome
from acaciastand_lab.bench_agent import memory_bytes, processor_seconds
from acaciastand_lab.bench_wire import TCP_IP_BYTES
from acaciastand_lab.measurements import Slope, fit
from acaciastand_lab.processes import Deployment, wait_until

AGENT_COUNTS = [50, 100, 200, 300]
AGENTS_PER_PROCESS = 50
WINDOW_SECONDS = 20.0  # four heartbeats of each agent
SETTLE_SECONDS = 12.0
TCP_INFO_BYTES = 232
RECEIVED_OFFSET = 128  # tcpi_bytes_received of struct tcp_info, after tcpi_bytes_acked
SEGMENTS_OFFSET = 136  # tcpi_segs_out and tcpi_segs_in
ACKED_OFFSET = 120


class Traffic:
    """Bytes between the stand-ins of one process and the entry, headers included."""

    def __init__(self) -> None:
        self.to_entry = 0
        self.from_entry = 0

    def add(self, sock: socket.socket) -> None:
        """Add what one connection carried since it was opened."""
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        acked, received = struct.unpack_from("=QQ", info, ACKED_OFFSET)
        segments_out, segments_in = struct.unpack_from("=II", info, SEGMENTS_OFFSET)
        self.to_entry += acked + segments_out * TCP_IP_BYTES
        self.from_entry += received + segments_in * TCP_IP_BYTES


def stand_in(address: str, number: int) -> Connection:
    """Announce one agent without services and send its heartbeats in the background."""
    connection = dial(address, lambda _connection, _message: None)
    hello = Hello(
        f"agent-{number:06}",
        f"incarnation-{number:06}",
        "gent",
        f"rack-{number // 20}",
        Resources(32.0, 125_000, 1),
        8,
        64,
    )
    welcome = connection.request(hello, 10.0)
    if not isinstance(welcome, Welcome):
        raise RuntimeError(f"{address} did not welcome stand-in {number}")
    gevent.spawn(_send_heartbeats, connection, number, welcome.heartbeat_seconds)
    return connection


def _send_heartbeats(connection: Connection, number: int, interval: float) -> None:
    # The first heartbeats are spread over one interval, as those of agents that start at random.
    gevent.sleep(interval * (number % AGENTS_PER_PROCESS) / AGENTS_PER_PROCESS)
    sequence = 0
    while not connection.closed.is_set():
        sequence += 1
        connection.request(Heartbeat(sequence, free=Resources(32.0, 125_000, 1)), 10.0)
        gevent.sleep(interval)


@contextmanager
def fleet(address: str, count: int) -> Iterator[list[subprocess.Popen[str]]]:
    """Start the processes of `count` stand-ins; a line on their input asks for the traffic."""
    with ExitStack() as stack:
        started = []
        for first in range(0, count, AGENTS_PER_PROCESS):
            size = min(AGENTS_PER_PROCESS, count - first)
            command = [sys.executable, "-m", "acaciastand_lab.bench_fleet", address]
            process = subprocess.Popen(
                [*command, str(first), str(size)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            stack.callback(process.wait)
            stack.callback(process.terminate)
            started.append(process)
        for process in started:
            assert process.stdout is not None
            process.stdout.readline()
        yield started


def traffic(processes: list[subprocess.Popen[str]]) -> tuple[int, int]:
    """Return the bytes to and from the entry since the connections were opened."""
    to_entry = from_entry = 0
    for process in processes:
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write("\n")
        process.stdin.flush()
        sent, received = map(int, process.stdout.readline().split())
        to_entry += sent
        from_entry += received
    return to_entry, from_entry


def measure() -> list[Slope]:
    """Return memory, processor share and bytes a second of an entry by its idle agents."""
    names = ("memory.entry_agent", "processor.entry_agent", "bytes.entry_in", "bytes.entry_out")
    units = ("resident bytes", "of a core", "bytes a second", "bytes a second")
    values: list[list[float]] = [[], [], [], []]
    for count in AGENT_COUNTS:
        for series, value in zip(values, _measure_entry(count), strict=True):
            series.append(value)
    return [
        fit(name, f"{unit} per idle agent", AGENT_COUNTS, series)
        for name, unit, series in zip(names, units, values, strict=True)
    ]


def _measure_entry(count: int) -> tuple[float, float, float, float]:
    with Deployment(entries=1, agents=0) as deployment:
        deployment.start()
        entry = psutil.Process(deployment.programs["entry-0"].process.pid)
        with fleet(deployment.peer["entry-0"], count) as processes:
            wait_until(lambda: len(deployment.known_agents("entry-0")) == count, "announced")
            time.sleep(SETTLE_SECONDS)
            before, started = traffic(processes), time.monotonic()
            processor = processor_seconds(entry)
            time.sleep(WINDOW_SECONDS)
            after, seconds = traffic(processes), time.monotonic() - started
            share = (processor_seconds(entry) - processor) / seconds
            resident = memory_bytes(entry.pid)["resident"]
    rates = [(b - a) / seconds for a, b in zip(before, after, strict=True)]
    return resident, share, rates[0], rates[1]


def main() -> None:
    """Keep stand-ins connected until SIGTERM; answer each line of input with their traffic."""
    address, first, count = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    connections = [stand_in(address, first + number) for number in range(count)]
    print("connected", flush=True)
    ended = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    gevent.spawn(_answer_input, connections)
    ended.wait(timeout=300.0)


def _answer_input(connections: list[Connection]) -> None:
    while gevent.get_hub().threadpool.apply(sys.stdin.readline):
        total = Traffic()
        for connection in connections:
            total.add(connection.sock)
        print(total.to_entry, total.from_entry, flush=True)


if __name__ == "__main__":
    main()
