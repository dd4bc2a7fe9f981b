"""A small deployment on loopback: stand-ins in this process, real entries and agents beside it."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Collection
from contextlib import ExitStack
from datetime import UTC, datetime
from itertools import combinations
from pathlib import Path
from typing import Any

import gevent

from acaciastand.errors import AcaciastandError
from acaciastand.platform.http import HttpCaller
from acaciastand.platform.operator import ZONE_DRAIN_PREFIX
from acaciastand.record import Record
from acaciastand_lab.fault_proxy import FaultProxy
from acaciastand_lab.processes import free_address
from acaciastand_standin.platform_advice import AdviceStandIn
from acaciastand_standin.platform_store import PlatformStoreStandIn, StoreAccess
from acaciastand_standin.platform_worker import PlatformWorkerStandIn, Run

HOST = "desk.example"
PREFIX = "/jobs/"
STOP_TIMEOUT_MS = 400
POLL_SECONDS = 0.05
CALL_SECONDS = 3.0
# Longest time from the noted end of a run to the start of a copy that was on its way.
LATE_COPY_SECONDS = 1.0
MAX_RUNS_AT_A_TIME = 2  # Of a task whose step allows copies.
PROGRAMS = {"entry": "job_entry", "agent": "job_agent"}


class Link(Record):
    """Connections through one proxy, seen from the processes at one end of them.

    Parameters
    ----------
    name
        Name of the proxy in `Site.links`.
    caller
        Caller whose connections these are; all if it is empty.
    is_inbound
        Whether the other end opens the connections.
    """

    __slots__ = ("name", "caller", "is_inbound")

    def __init__(self, name: str, caller: str = "", is_inbound: bool = False) -> None:
        self.name = name
        self.caller = caller
        self.is_inbound = is_inbound


class Site:
    """Entries, agents, workers and a store.

    Parameters
    ----------
    entries, agents
        Number of processes of each kind.
    seed
        Seed of the stand-ins' faults.
    proxies
        Whether each connection between processes passes a proxy with faults.
    zones
        Number of availability zones; the agents are in each in turn.
    zone_drain_ms
        Bound for requests to drain a zone in milliseconds; 0 if they are not served.

    Attributes
    ----------
    links
        These proxies by the process at the one end and what is behind it: ``entry-1 peer``,
        ``entry-1 store``, ``agent-1 peer``, ``agent-1 worker`` and ``agent-1 store``.
    """

    def __init__(
        self,
        entries: int,
        agents: int,
        seed: int = 1,
        proxies: bool = False,
        zones: int = 1,
        zone_drain_ms: int = 0,
    ) -> None:
        self.stack = ExitStack()
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.store = PlatformStoreStandIn(seed=seed)
        self.store.start()
        self.stack.callback(self.store.stop)
        self.advice = AdviceStandIn()
        self.advice.start()
        self.stack.callback(self.advice.stop)
        self.store.write("op/config", configuration(1))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.settings: dict[str, Path] = {}
        self.callers: dict[str, str] = {}
        self.workers: list[PlatformWorkerStandIn] = []
        self.store_access: dict[str, StoreAccess] = {}  # of the entries
        self.with_proxies = proxies
        self.zones = [f"zone-{chr(ord('a') + number)}" for number in range(zones)]
        self.zone_drain_ms = zone_drain_ms
        self.links: dict[str, FaultProxy] = {}
        self.stack.callback(self._end_processes)
        for number in range(entries):
            self._add_entry(f"entry-{number + 1}")
        for number in range(agents):
            zone = self.zones[number % zones]
            self._add_agent(f"agent-{number + 1}", seed + number, zone)

    def close(self) -> None:
        """End all processes that this site started, and its stand-ins."""
        self.stack.close()

    def start(self, name: str) -> None:
        """Start a process."""
        program = PROGRAMS[name.partition("-")[0]]
        log = (self.folder / f"{name}.log").open("ab")
        self.stack.callback(log.close)
        self.processes[name] = subprocess.Popen(
            [
                *(sys.executable, "-m", f"acaciastand.programs.{program}"),
                *("--settings", str(self.settings[name])),
            ],
            stdout=log,
            stderr=subprocess.STDOUT,
            env={**os.environ, "PYTHONPATH": "src"},
        )

    def start_all(self, pause_seconds: float = 0.0) -> None:
        """Start every process, with a pause after each."""
        for name in self.settings:
            self.start(name)
            gevent.sleep(pause_seconds)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this site started."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def restart(self, name: str) -> None:
        """Kill a process and start it again."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()
        self.start(name)

    def names(self, kind: str) -> list[str]:
        """Return the processes of a kind."""
        return [name for name in self.settings if name.startswith(kind)]

    def call(
        self, entry: str, method: str, path: str, body: Any = None, prefix: str = PREFIX
    ) -> tuple[int, Any]:
        """Make a caller's call; status 0 means that no answer came."""
        caller = HttpCaller(f"http://{self.callers[entry]}")
        data = b"" if body is None else json.dumps(body).encode()
        try:
            answer = caller.call(method, prefix + path, data, {"Host": HOST}, CALL_SECONDS)
            return answer.status, json.loads(answer.body) if answer.body else None
        except (AcaciastandError, ValueError):
            return 0, None
        finally:
            caller.close()

    def is_in_force(self, entry: str, version: int) -> bool:
        """Return whether an entry serves the route that a version of the configuration adds."""
        return self.call(entry, "GET", "", prefix=version_prefix(version))[0] == 200

    def submit(self, entry: str, job_id: str, *steps: dict[str, Any], **payload: Any) -> int:
        """Submit a job whose tasks run as `payload` says."""
        text = json.dumps({"seconds": 0.1, **payload})
        return self.call(entry, "POST", job_id, {"spec": text, "steps": list(steps)})[0]

    def state(self, job_id: str, entries: list[str] | None = None) -> str:
        """Return the state of a job from the first entry that answers."""
        for entry in entries or self.names("entry"):
            status, fields = self.call(entry, "GET", job_id)
            if status == 200:
                return str(fields["state"])
            if status == 410:
                return "unknown"
        return ""

    def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until every entry answers callers.

        Raises
        ------
        TimeoutError
            They do not within `seconds`.
        """
        self.wait(
            lambda: all(self.call(e, "GET", "")[0] == 200 for e in self.names("entry")), seconds
        )

    def wait(self, condition: Any, seconds: float = 20.0) -> None:
        """Wait for a condition.

        Raises
        ------
        TimeoutError
            It does not hold within `seconds`.
        """
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(f"not within {seconds} s; logs in {self.folder}")
            gevent.sleep(POLL_SECONDS)

    def history(self) -> list[Run]:
        """Return every run that a worker has begun."""
        return [run for worker in self.workers for run in worker.history]

    def owner(self) -> str:
        """Return the entry that owns the jobs according to the store, or an empty text."""
        item = self.store.store.items.get("control/owner")
        named = [n for n in self.names("entry") if item and n.encode() in item.value]
        return max(named, key=len, default="")  # "entry-10" contains "entry-1".

    @property
    def proxies(self) -> list[FaultProxy]:
        """All proxies."""
        return list(self.links.values())

    def drain_zone(self, zone: str) -> None:
        """Request as the operators do that a zone gets no new work."""
        self.store.write(ZONE_DRAIN_PREFIX + zone, b"{}")

    def end_drain(self, zone: str) -> None:
        """Remove the request to drain a zone."""
        self.store.remove(ZONE_DRAIN_PREFIX + zone)

    def zone_of(self, worker_id: str) -> str:
        """Return the availability zone of a worker."""
        zones = {worker.worker_id: worker.availability_zone for worker in self.workers}
        return zones[worker_id]

    def isolate(self, entry: str, agent: str) -> None:
        """Cut off an entry, and one agent that only this entry still reaches."""
        for link in self.links_around(entry, agent):
            self.links[link.name].silence(caller=link.caller)

    def links_around(self, entry: str, agent: str) -> list[Link]:
        """Return the links between an entry with one agent and all others."""
        links = [Link(f"{entry} store"), Link(f"{entry} peer", is_inbound=True)]
        for other in self.names("entry"):
            if other != entry:
                links.append(Link(f"{other} peer", entry))
                links.append(Link(f"{agent} peer", other, is_inbound=True))
        for other in self.names("agent"):
            if other != agent:
                links.append(Link(f"{other} peer", entry))
        return links

    def heal(self) -> None:
        """Let everything pass again."""
        for proxy in self.proxies:
            proxy.heal()

    def _behind_proxy(self, name: str, target: str) -> str:
        if not self.with_proxies:
            return target
        proxy = self.links[name] = FaultProxy(target)
        proxy.start()
        self.stack.callback(proxy.stop)
        return proxy.address

    def _add_entry(self, name: str) -> None:
        self.callers[name] = free_address()
        access = self.store_access[name] = self.store.add_access()
        peer = free_address()
        self._write_settings(
            name,
            entry_id=name,
            availability_zone="zone-a",
            http_address=self.callers[name],
            ready_address=free_address(),
            peer_address=peer,
            advertised_address=self._behind_proxy(f"{name} peer", peer),
            store_url=f"http://{self._behind_proxy(f'{name} store', access.address)}",
            advice_address=self.advice.address,
            stop_timeout_ms=STOP_TIMEOUT_MS,
            zone_drain_ms=self.zone_drain_ms,
        )

    def _add_agent(self, name: str, seed: int, zone: str) -> None:
        announce = free_address()
        peer = free_address()
        worker = PlatformWorkerStandIn(f"w-{name}", announce, seed=seed, availability_zone=zone)
        worker.start()
        self.stack.callback(worker.stop)
        self.workers.append(worker)
        self._write_settings(
            name,
            agent_id=name,
            availability_zone=zone,
            announce_address=announce,
            peer_address=peer,
            advertised_address=self._behind_proxy(f"{name} peer", peer),
            worker_address=self._behind_proxy(f"{name} worker", worker.address),
            store_url=f"http://{self._behind_proxy(f'{name} store', self.store.address)}",
        )

    def _write_settings(self, name: str, **values: Any) -> None:
        path = self.folder / f"{name}.toml"
        lines = [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        self.settings[name] = path

    def _end_processes(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()


def version_prefix(version: int) -> str:
    """Return the prefix of the queue that only this version of the configuration has."""
    return f"/version-{version}/"


def configuration(version: int, advised: bool = False) -> bytes:
    """Return a configuration in the operators' form, whose queue may be advised.

    It has a second queue, whose prefix tells the version.
    """
    route: dict[str, Any] = {
        "name": "jobs",
        "host": HOST,
        "prefix": PREFIX,
        "service": "desk",
        "priority": 0,
        "maxAttempts": 3,
        "stretch": 2.0,
        "targetLatencyMs": 500,
    }
    if advised:
        route["advice"] = {"decideMs": 20, "perWorkerMs": 2, "validityMs": 2000}
    service = {"name": "desk", "rejectsOverload": True}
    marker = {**route, "name": f"version-{version}", "prefix": version_prefix(version)}
    fields = {"version": version, "routes": [route, marker], "services": [service], "limits": {}}
    return json.dumps(fields).encode()


def _starts_after_noted(earlier: Run, later: Run) -> bool:
    """Return whether a start arrived too late after the end of a run that was done was noted."""
    is_noted = earlier.how == "done" and earlier.acknowledged and not earlier.lease_lapsed
    return is_noted and later.arrived > earlier.noted_at + LATE_COPY_SECONDS


def _copy_problems(task: str, runs: list[Run], now: float) -> list[str]:
    """Return the broken promises about a task whose step allows copies."""
    problems = []
    for earlier, later in combinations(runs, 2):
        both = f"\n    {describe_run(earlier)}\n    {describe_run(later)}"
        if _starts_after_noted(earlier, later):
            problems.append(
                f"{task}: copy {later.run} arrived long after run {earlier.run} was done{both}"
            )
        if earlier.run == later.run and earlier.worker != later.worker:
            problems.append(f"{task}: run {later.run} began on two workers{both}")
    for run in runs:
        at_work = [r for r in runs if r.began <= run.began < (r.ended or now)]
        if len(at_work) > MAX_RUNS_AT_A_TIME:
            described = "".join(f"\n    {describe_run(other)}" for other in at_work)
            problems.append(f"{task}: {len(at_work)} runs at a time{described}")
    return problems


def describe_time(moment: float) -> str:
    """Return a moment of the monotonic clock as the logs write it, without the date; "-" for 0."""
    if not moment:
        return "-"
    wall = datetime.fromtimestamp(time.time() - time.monotonic() + moment, UTC)
    return wall.strftime("%H:%M:%S.%f")[:-3]


def describe_run(run: Run) -> str:
    """Return what a worker has seen of a run."""
    times = (
        ("arrived", run.arrived),
        ("began", run.began),
        ("ended", run.ended),
        ("listed", run.listed_at),
        ("noted", run.noted_at),
    )
    moments = ", ".join(f"{name} {describe_time(moment)}" for name, moment in times)
    lapsed = ", lease lapsed since its end" if run.lease_lapsed else ""
    return f"{run.task} run {run.run} on {run.worker}: {moments}, {run.how or 'at work'}{lapsed}"


def broken_promises(
    history: list[Run], now: float, copied_steps: Collection[str] = ()
) -> list[str]:
    """Return where tasks ran twice at the same time, or again after a noted end.

    A run whose end was lost with its worker may run again, and so may one whose end the system has
    taken note of only after the worker's lease had lapsed. Tasks of the steps in `copied_steps`
    may run twice at a time, each run on one worker, and a copy that was on its way when the first
    run was done may still start.
    """
    problems = []
    by_task: dict[str, list[Run]] = {}
    for run in sorted(history, key=lambda run: run.began):
        by_task.setdefault(run.task, []).append(run)
    for task, runs in by_task.items():
        if task.rpartition(".")[0] in copied_steps:
            problems += _copy_problems(task, runs, now)
            continue
        for earlier, later in combinations(runs, 2):
            both = f"\n    {describe_run(earlier)}\n    {describe_run(later)}"
            if (earlier.ended or now) > later.began:
                problems.append(f"{task}: run {later.run} began while run {earlier.run} ran{both}")
            elif earlier.how == "done" and earlier.acknowledged and not earlier.lease_lapsed:
                problems.append(
                    f"{task}: run {later.run} began after run {earlier.run} was done{both}"
                )
    return problems
