"""A small deployment on loopback: the project's programs and stand-ins of the platform."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from http_server import call
from store import Store
from worker import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
PREFIX = "/jobs/"
SERVICE = "desk"
ROUTE = {
    "name": "jobs",
    "host": HOST,
    "prefix": PREFIX,
    "service": SERVICE,
    "priority": 0,
    "maxAttempts": 3,
    "stretch": 2.0,
    "targetLatencyMs": 500,
}


class NotRun(Exception):
    """The case could not run."""


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, what: str, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.began:8.3f} {what} {text}".rstrip() + "\n")
        self.file.flush()


class Process:
    """One program of the project with its settings file."""

    def __init__(self, name: str, command: list[str], settings: Path, log: Path) -> None:
        self.name = name
        self.command = command
        self.settings = settings
        self.log = log
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program as the platform does."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ACACIASTAND_CONFIG": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def end(self) -> None:
        """Kill the program and wait for its end."""
        if self.popen is not None:
            self.signal(signal.SIGKILL)
            self.popen.wait()


class Deployment:
    """Entries, agents, workers and the store, each on a loopback address of its own."""

    def __init__(
        self, record: Record, entries: int, workers: int, labelled: int = 1, seed: int = 1
    ) -> None:
        self.record = record
        self.labelled = labelled  # The first workers have the label "b", the others "a".
        self.folder = tempfile.TemporaryDirectory()
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.addresses = _free_addresses()
        self.store = Store(next(self.addresses), 8169, seed, record)
        self.processes: dict[str, Process] = {}
        self.fronts: dict[str, str] = {}
        self.workers: dict[str, Worker] = {}
        for number in range(1, entries + 1):
            self._add_entry(f"front-{number}")
        for number in range(1, workers + 1):
            self._add_agent(f"side-{number}")

    async def start(self, routes: list[dict[str, Any]] | None = None) -> None:
        """Start everything and wait until each entry serves the routes."""
        await self.store.start()
        await self.configure(1, routes or [ROUTE])
        for process in self.processes.values():
            process.start()
        for worker in self.workers.values():
            await worker.start()
        for name in self.fronts:
            await self.wait(lambda name=name: self._is_ready(name), 30.0, f"{name} is ready")
        await asyncio.sleep(4.0)  # An owner is elected and all agents have reported.

    def close(self) -> None:
        """End all processes that were started."""
        for process in self.processes.values():
            process.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for process in self.processes.values():
                Path(keep, f"{process.name}.log").write_bytes(process.log.read_bytes())
        self.folder.cleanup()

    async def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a version of the configuration as the operator does."""
        services = [{"name": SERVICE, "rejectsOverload": True}]
        fields = {"version": version, "routes": routes, "services": services, "limits": {}}
        await self.store.operator_put("op/config", json.dumps(fields).encode())
        names = [route["name"] for route in routes]
        self.record.write("operator: configuration", version=version, routes=names)

    async def wait(self, condition: Any, seconds: float, what: str) -> None:
        """Wait until an asynchronous condition holds.

        Raises
        ------
        NotRun
            It does not hold in time.
        """
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise NotRun(f"not within {seconds} s: {what}")
            await asyncio.sleep(0.05)

    async def request(
        self, front: str, method: str, path: str, body: Any = None, prefix: str = PREFIX
    ) -> tuple[int, Any]:
        """Make a client's call at an entry and record it."""
        headers = {"Host": HOST, "X-Deadline-Ms": "3000"}
        status, answer = await call(
            self.fronts[front], method, prefix + path, body, headers, seconds=3.0
        )
        shown = answer if method == "GET" else ""
        self.record.write(f"client: {method} {path}", at=front, status=status, answer=shown)
        return status, answer

    def history(self) -> list[Any]:
        """Return every run that a worker has begun, in the order of their beginnings."""
        runs = [run for worker in self.workers.values() for run in worker.history]
        return sorted(runs, key=lambda run: run.began)

    def write_history(self) -> None:
        """Record all runs."""
        began = self.record.began
        for run in self.history():
            self.record.write(
                "run",
                task=run.task,
                run=run.run,
                worker=run.worker,
                life=run.life,
                began=round(run.began - began, 3),
                ended=round(run.ended - began, 3) if run.ended else None,
                how=run.how or None,
                noted=run.noted,
            )

    async def _is_ready(self, front: str) -> bool:
        headers = {"Host": HOST}
        status, _ = await call(self.fronts[front], "GET", PREFIX, None, headers, 1.0)
        return status == 200

    def _add_entry(self, name: str) -> None:
        ip = next(self.addresses)
        self.fronts[name] = f"{ip}:8161"
        addresses = {"front": f"{ip}:8161", "ready": f"{ip}:8167"}
        self._add_process(name, "entry", {**self._fields(name, ip), "listenAddrs": addresses})

    def _add_agent(self, name: str) -> None:
        ip = next(self.addresses)
        control = f"{ip}:8166"
        fields = {**self._fields(name, ip), "listenAddrs": {"control": control}}
        self._add_process(name, "agent", {**fields, "app": f"{ip}:8165", "service": SERVICE})
        self.workers[name] = Worker(
            f"i-{name}", SERVICE, (ip, 8165), control, self.record, ["a", "r1-1"]
        )
        if len(self.workers) <= self.labelled:
            self.workers[name].labels = ["b", "r1-1"]

    def _fields(self, name: str, ip: str) -> dict[str, Any]:
        return {
            "nodeName": name,
            "ip": ip,
            "zone": "zone-a",
            "internalPorts": [7720, 7735],
            "platform": {"addr": self.store.server.address},
            "bounds": {"stopTimeoutMs": 400},
            "limits": {"cores": 2, "cpuShare": 0.537, "linkMbps": 1000.0},
        }

    def _add_process(self, name: str, role: str, fields: dict[str, Any]) -> None:
        template = (ROOT / self.roles[role]["template"]).read_text(encoding="utf-8")
        settings = Path(self.folder.name, f"{name}.toml")
        settings.write_text(render(template, fields), encoding="utf-8")
        command = self.roles[role]["run"].split()
        log = Path(self.folder.name, f"{name}.log")
        self.processes[name] = Process(name, command, settings, log)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings; sections whose value is absent are left out."""

    def lookup(path: str) -> Any:
        value: Any = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        return value

    def section(match: re.Match[str]) -> str:
        return "" if not lookup(match[1]) else match[2].replace("{{.}}", str(lookup(match[1])))

    def value(match: re.Match[str]) -> str:
        found = lookup(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def _free_addresses() -> Any:
    """Yield loopback addresses on which the ports of the deployment are free."""
    second, third = random.randint(20, 250), random.randint(1, 250)
    for last in range(1, 250):
        ip = f"127.{second}.{third}.{last}"
        if all(_is_free(ip, port) for port in (7720, 8161, 8165, 8166, 8167, 8169, 9464)):
            yield ip
    raise NotRun("no free loopback addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def run_case(folder: Path, entries: int, workers: int, play: Any, labelled: int = 1) -> int:
    """Play a case and return its exit code: 1 if the rule was broken, 0 if it held, 2 if not run.

    Parameters
    ----------
    folder
        Folder of the case, in which `record.txt` is written.
    play
        Called with the deployment and whether the disruption is wanted; returns what broke it.
    """
    # The processes that were started are ended on SIGTERM too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("begin", trouble=trouble)

    async def run() -> list[str]:
        deployment = Deployment(record, entries, workers, labelled)
        try:
            await deployment.start()
            async with asyncio.timeout(float(os.environ.get("CASE_S", "95"))):
                return list(await play(deployment, trouble))
        finally:
            deployment.write_history()
            deployment.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # The case could not run to its end.
        record.write("not run", error=repr(error))
        print(f"not run: {error!r}")
        return 2
    for line in broken[:20]:
        record.write(f"BROKEN {line}")
        print(f"broken: {line}")
    record.write("result", broken=len(broken))
    print(f"{len(broken)} breaks of the rule; trouble={trouble}")
    return 1 if broken else 0
