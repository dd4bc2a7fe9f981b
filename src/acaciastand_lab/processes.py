"""Starts a small deployment of real processes on loopback, for the demo and for scenarios.

Every process gets free ports and a settings file in a temporary folder; its output goes to a log
file there. All processes that were started are ended when the deployment is closed.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections import deque
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from typing import Any

from acaciastand.record import Record
from acaciastand_lab.firms import Firm

WAIT_SECONDS = 30.0
POLL_SECONDS = 0.05
STOP_SECONDS = 15.0  # a planned stop that takes longer is ended by SIGKILL and reported
REMEMBERED_ADDRESSES = 4096  # several deployments; a sixth of the ports that the kernel offers

_handed_out: deque[str] = deque(maxlen=REMEMBERED_ADDRESSES)


class Answer(Record):
    """An HTTP answer."""

    __slots__ = ("status", "body", "headers")

    def __init__(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self.status = status
        self.body = body
        self.headers = headers

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


def call(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_seconds: float = 10.0,
) -> Answer:
    """Send one HTTP request and return the answer, whatever its status.

    Raises
    ------
    OSError
        Nothing answered.
    """
    request = urllib.request.Request(url, data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout_seconds) as answer:
            return Answer(answer.status, answer.read(), dict(answer.headers))
    except urllib.error.HTTPError as error:
        with error:
            return Answer(error.code, error.read(), dict(error.headers))


def call_json(method: str, url: str, payload: Any = None, **headers: str) -> Answer:
    """Send `payload` as JSON; header names are given with underscores."""
    body = None if payload is None else json.dumps(payload).encode()
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return call(method, url, body, {"Content-Type": "application/json", **names})


def own_loopback() -> str:
    """Return a loopback address that other runs do not use.

    Outgoing connections have 127.0.0.1 as their source, and take ports of it at any moment.
    """
    pid = os.getpid()
    return f"127.{1 + pid // 64_516 % 250}.{1 + pid // 254 % 254}.{1 + pid % 254}"


def free_address() -> str:
    """Return an ``ip:port`` on a loopback address of this run, with a free port.

    The kernel may offer a port again as soon as it is closed, although the process that it was
    meant for has not begun to listen; such a port is passed over.
    """
    while True:
        with socket.socket() as sock:
            sock.bind((own_loopback(), 0))
            host, port = sock.getsockname()
        address = f"{host}:{port}"
        if address not in _handed_out:
            _handed_out.append(address)
            return address


def wait_until(
    condition: Callable[[], Any], what: str, timeout_seconds: float = WAIT_SECONDS
) -> Any:
    """Return the first true value of `condition`; connection errors count as false.

    Raises
    ------
    TimeoutError
        The condition stayed false; the message names `what`.
    """
    deadline = time.monotonic() + timeout_seconds
    while True:
        try:
            value = condition()
        except (OSError, ValueError):
            value = None
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {timeout_seconds:g} s: {what}")
        time.sleep(POLL_SECONDS)


def _environment() -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": os.pathsep.join(p for p in sys.path if p)}


class Program:
    """One started process.

    Parameters
    ----------
    name
        Unique name, also of its log file.
    arguments
        Module and arguments for ``python -m``.
    folder
        Folder of the log file.
    """

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=_environment(),
            )

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def freeze(self) -> None:
        """Pause the process with SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Continue the process with SIGCONT."""
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process without notice."""
        self.process.kill()
        self.process.wait()

    def terminate(self) -> None:
        """Ask for a planned stop and return at once."""
        self.process.terminate()

    def stop(self, timeout_seconds: float = STOP_SECONDS) -> int:
        """Ask for a planned stop and return the exit code."""
        self.terminate()
        return self.wait(timeout_seconds)

    def wait(self, timeout_seconds: float = STOP_SECONDS) -> int:
        """Wait for the process to end and return the exit code; SIGKILL it after the timeout."""
        try:
            return self.process.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.process.returncode

    def tail(self, lines: int = 20) -> str:
        """Return the last lines of the log."""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-lines:])


class Deployment:
    """Store, workers, targets, entries and agents of one firm, on loopback.

    Parameters
    ----------
    firm
        Name of the firm whose example files are used.
    entries, agents
        Numbers of processes; each agent has a worker and a target of its own.
    cores
        Processor cores of each worker; the firm's figure when absent.
    """

    def __init__(
        self,
        firm: str = "maison-reprise",
        entries: int = 2,
        agents: int = 3,
        cores: int | None = None,
    ) -> None:
        self.firm = Firm(firm)
        self.cores = cores or self.firm.cores
        self.stack = ExitStack()
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.programs: dict[str, Program] = {}
        self.store_address = free_address()
        self.http: dict[str, str] = {f"entry-{i}": free_address() for i in range(entries)}
        self.peer: dict[str, str] = {name: free_address() for name in self.http}
        self.agents = [f"agent-{i}" for i in range(agents)]
        self.workers: dict[str, str] = {name: free_address() for name in self.agents}
        self.targets: dict[str, str] = {name: free_address() for name in self.agents}
        self.stack.callback(self._end_all)

    def __enter__(self) -> Deployment:
        """Return the deployment; nothing is started yet."""
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes and remove the folder."""
        self.stack.close()

    def start(self) -> None:
        """Start everything and wait until all agents are announced at all entries."""
        self.start_store()
        for name in self.agents:
            self.start_platform_of(name)
        for name in self.http:
            self.start_entry(name)
        for name in self.agents:
            self.start_agent(name)
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until each entry is ready and knows every agent."""
        for name in self.http:
            wait_until(partial(self._entry_ready, name), f"{name} ready and all agents announced")

    def _entry_ready(self, name: str) -> bool:
        if call("GET", f"{self.url(name)}/readyz").status != 200:
            return False
        return set(self.agents) <= set(self.known_agents(name))

    def known_agents(self, entry: str) -> list[str]:
        """Return the ids of the agents that `entry` knows."""
        status = self.status(entry)
        return [agent["agent_id"] for agent in status["agents"]]

    def status(self, entry: str) -> dict[str, Any]:
        """Return the status page of `entry`."""
        return call("GET", f"{self.url(entry)}/v1/status").json()

    def url(self, entry: str = "entry-0") -> str:
        """Return the base URL of the HTTP listener of `entry`."""
        return f"http://{self.http[entry]}"

    def store_faults(self, payload: dict[str, Any]) -> None:
        """Switch faults of the store stand-in, such as ``{"outage": true}``."""
        call_json("POST", f"http://{self.store_address}/v1/admin/faults", payload)

    def end_store_faults(self) -> None:
        """End all faults of the store stand-in."""
        call("DELETE", f"http://{self.store_address}/v1/admin/faults")

    def target_faults(self, agent: str, payload: dict[str, Any]) -> None:
        """Switch faults of the target stand-in beside `agent`, such as ``{"frozen": true}``."""
        call_json("POST", f"http://{self.targets[agent]}/v1/faults", payload)

    def start_store(self) -> Program:
        """Start the stand-in of the key-value service."""
        arguments = ["acaciastand_standin.program", "store", "--listen", self.store_address]
        program = self._start("store", arguments)
        self._wait_listening(self.store_address, "store")
        return program

    def start_platform_of(self, agent: str) -> None:
        """Start the worker and target stand-ins of `agent`."""
        worker = [
            *("acaciastand_standin.program", "worker", "--listen", self.workers[agent]),
            *("--cores", str(self.cores), "--memory-mb", str(self.firm.memory_mb)),
        ]
        self._start(f"worker-{agent}", worker)
        target = ["acaciastand_standin.program", "target", "--listen", self.targets[agent]]
        self._start(f"target-{agent}", target)
        self._wait_listening(self.workers[agent], f"worker of {agent}")
        self._wait_listening(self.targets[agent], f"target of {agent}")

    def start_entry(self, name: str) -> Program:
        """Start one entry."""
        number = list(self.http).index(name)
        settings = {
            **self.firm.entries[number % len(self.firm.entries)],
            "entry_id": name,
            "http_address": self.http[name],
            "peer_address": self.peer[name],
            "entries": list(self.peer.values()),
            "store_url": f"http://{self.store_address}",
        }
        path = self._write_settings(name, settings)
        return self._start(name, ["acaciastand.programs.entry", "--settings", str(path)])

    def start_agent(self, name: str) -> Program:
        """Start one agent."""
        number = self.agents.index(name)
        settings = {
            **self.firm.agents[number % len(self.firm.agents)],
            "agent_id": name,
            "target_url": f"http://{self.targets[name]}",
            "worker_url": f"http://{self.workers[name]}",
            "entries": list(self.peer.values()),
        }
        path = self._write_settings(name, settings)
        return self._start(name, ["acaciastand.programs.agent", "--settings", str(path)])

    def command(self, *arguments: str) -> str:
        """Run the command line at the first entry and return its output.

        Raises
        ------
        RuntimeError
            The command failed; the message has its output.
        """
        done = subprocess.run(
            [sys.executable, "-m", "acaciastand.programs.cli", *arguments],
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            check=False,
            env={**_environment(), "ACACIASTAND_ENTRY": next(iter(self.http.values()))},
        )
        if done.returncode:
            raise RuntimeError(f"{' '.join(arguments)}: {done.stdout}{done.stderr}")
        return done.stdout

    def audits(self, kind: str) -> dict[str, Any]:
        """Return the audit of every ``worker`` or ``target`` stand-in, by agent."""
        addresses = self.workers if kind == "worker" else self.targets
        return {
            name: call("GET", f"http://{address}/v1/audit").json()
            for name, address in addresses.items()
        }

    def _write_settings(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.toml"
        # JSON strings, numbers and arrays of strings are valid TOML values.
        lines = [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def _start(self, name: str, arguments: list[str]) -> Program:
        program = Program(name, arguments, self.folder)
        self.programs[name] = program
        return program

    def _wait_listening(self, address: str, what: str) -> None:
        host, port = address.split(":")

        def connected() -> bool:
            with socket.create_connection((host, int(port)), timeout=1.0):
                return True

        wait_until(connected, f"{what} listens on {address}")

    def _end_all(self) -> None:
        for program in self.programs.values():
            if program.running:
                program.process.kill()
        for program in self.programs.values():
            program.process.wait()
