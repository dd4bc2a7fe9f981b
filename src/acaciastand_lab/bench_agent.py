"""Measures a real agent and entry over loopback: memory, attempts and requests."""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import psutil

from acaciastand_lab.measurements import Slope, fit
from acaciastand_lab.processes import (
    Deployment,
    call,
    call_json,
    free_address,
    wait_until,
)

STARTED_COUNTS = [1, 2, 3, 4]
ATTEMPT_COUNTS = [4, 8, 16, 32]
ATTEMPT_COUNTS = [100, 200, 400, 800]
REQUEST_COUNTS = [400, 800, 1600, 3200]
CALLERS = 8  # requests at once; the target stand-in takes 50 ms for each
CORES = 64
IDLE_SECONDS = 10.0
SETTLE_SECONDS = 3.0  # the buckets of the service are spread, and caches are filled
LONG_SECONDS = 3600
FIELDS = {"resident": "Rss", "proportional": "Pss", "anonymous": "Anonymous"}
BODY = b"x" * 200


def memory_bytes(pid: int) -> dict[str, float]:
    """Return resident, proportional and anonymous bytes of a process."""
    found = {}
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text(encoding="ascii").splitlines():
        name, _, rest = line.partition(":")
        if name in FIELDS.values():
            found[name] = float(rest.split()[0]) * 1024
    return {name: found[field] for name, field in FIELDS.items()}


def processor_seconds(process: psutil.Process) -> float:
    """Return the user and system time of a process."""
    times = process.cpu_times()
    return float(times.user + times.system)


def idle_share(process: psutil.Process) -> float:
    """Return the share of a core that a process takes without work."""
    before = processor_seconds(process)
    time.sleep(IDLE_SECONDS)
    return (processor_seconds(process) - before) / IDLE_SECONDS


def work_seconds(
    processes: list[psutil.Process], shares: list[float], work: Callable[[], None]
) -> list[float]:
    """Return the processor time that `work` takes in each process, less its idle share."""
    before = [processor_seconds(process) for process in processes]
    started = time.monotonic()
    work()
    elapsed = time.monotonic() - started
    after = [processor_seconds(process) for process in processes]
    return [b - a - s * elapsed for a, b, s in zip(before, after, shares, strict=True)]


def started_memory() -> list[Slope]:
    """Return the memory of agents that reached their worker but no entry."""
    sums: dict[str, list[float]] = {name: [] for name in FIELDS}
    with Deployment(entries=1, agents=max(STARTED_COUNTS)) as deployment:
        totals = dict.fromkeys(FIELDS, 0.0)
        deployment.peer = {"entry-0": free_address()}  # nothing listens there
        for name in deployment.agents:
            deployment.start_platform_of(name)
        for name in deployment.agents:
            program = deployment.start_agent(name)
            time.sleep(SETTLE_SECONDS)
            for field, value in memory_bytes(program.process.pid).items():
                totals[field] += value
                sums[field].append(totals[field])
    return [
        fit(f"memory.agent_started_{name}", "bytes per agent", STARTED_COUNTS, sums[name])
        for name in FIELDS
    ]


def submit(deployment: Deployment, tasks: int, run_seconds: float) -> str:
    """Submit a job of small tasks and return its id."""
    job = {
        "name": "bench",
        "team": "bench",
        "batch_class": "bench",
        "tasks": tasks,
        "cores": 1,
        "memory_mb": 10,
        "run_seconds": run_seconds,
    }
    url = f"{deployment.url()}/v1/jobs"
    # The entry refuses jobs until it has claimed its shards.
    answer = wait_until(lambda: call_json("POST", url, job).json().get("job_id"), "job accepted")
    return str(answer)


def task_count(deployment: Deployment, job_id: str, state: str) -> int:
    """Return the number of a job's tasks in one state."""
    answer = call("GET", f"{deployment.url()}/v1/jobs/{job_id}").json()
    return int(answer["tasks"].get(state, 0))


def attempt_memory() -> list[Slope]:
    """Return the memory of a connected agent by the attempts that it holds."""
    values: dict[str, list[float]] = {name: [] for name in FIELDS}
    for count in ATTEMPT_COUNTS:
        with Deployment(entries=1, agents=1, cores=CORES) as deployment:
            deployment.start()
            run_tasks(deployment, count, LONG_SECONDS, "running")
            time.sleep(SETTLE_SECONDS)
            pid = deployment.programs["agent-0"].process.pid
            for name, value in memory_bytes(pid).items():
                values[name].append(value)
    return [
        fit(f"memory.agent_{name}", "bytes per attempt held", ATTEMPT_COUNTS, values[name])
        for name in FIELDS
    ]


def run_tasks(deployment: Deployment, count: int, run_seconds: float, state: str) -> None:
    """Submit a job of `count` tasks and wait until all of them are in `state`."""
    job_id = submit(deployment, count, run_seconds)
    wait_until(
        lambda: task_count(deployment, job_id, state) == count, f"{count} tasks {state}", 120.0
    )


def attempt_agent(deployment: Deployment) -> Slope:
    """Return the agent's processor time over the life of an attempt, worker calls included."""
    agent = psutil.Process(deployment.programs["agent-0"].process.pid)
    share = idle_share(agent)
    values = []
    for count in ATTEMPT_COUNTS:
        work = partial(run_tasks, deployment, count, 0.1, "done")
        values += work_seconds([agent], [share], work)
    return fit("processor.attempt_agent", "seconds per attempt", ATTEMPT_COUNTS, values)


def requests(deployment: Deployment) -> list[Slope]:
    """Return the processor time of one request at the entry and at the agent."""
    programs = deployment.programs
    pair = [psutil.Process(programs[name].process.pid) for name in ("entry-0", "agent-0")]
    shares = [idle_share(process) for process in pair]
    values: list[list[float]] = [[], []]
    for count in REQUEST_COUNTS:
        work = partial(send_requests, deployment, count)
        for series, seconds in zip(values, work_seconds(pair, shares, work), strict=True):
            series.append(seconds)
    return [
        fit("processor.request_entry", "seconds per request", REQUEST_COUNTS, values[0]),
        fit("processor.request_agent", "seconds per request", REQUEST_COUNTS, values[1]),
    ]


def send_requests(deployment: Deployment, count: int) -> None:
    """Send idempotent requests on `CALLERS` connections."""
    with ThreadPoolExecutor(CALLERS) as pool:
        list(pool.map(partial(_send_in_turn, deployment), [count // CALLERS] * CALLERS))


def _send_in_turn(deployment: Deployment, count: int) -> None:
    connection = http.client.HTTPConnection(deployment.http["entry-0"], timeout=10.0)
    path = f"/v1/services/{deployment.firm.service}/requests"
    headers = {"Idempotent": "true", "Request-Timeout-Ms": "5000"}
    for _ in range(count):
        connection.request("POST", path, BODY, headers)
        answer = connection.getresponse()
        answer.read()
        assert answer.status == 200, answer.status
    connection.close()


def measure_memory() -> list[Slope]:
    """Return the memory of agents."""
    return [*started_memory(), *attempt_memory()]


def measure_processor() -> list[Slope]:
    """Return the processor time of requests and attempts."""
    with Deployment(entries=1, agents=1, cores=CORES) as deployment:
        deployment.start()
        time.sleep(SETTLE_SECONDS)
        return [*requests(deployment), attempt_agent(deployment)]
