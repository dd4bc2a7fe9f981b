"""Demonstration on one machine: ``make demo``, or ``make demo FIRM=blue-mahoe``.

Starts stand-ins, two entries and three agents with targets and workers, walks through the main
uses and prints each step with its outcome. Exits with 0 only if every outcome was right.
"""

from __future__ import annotations

import itertools
import json
import sys
import time
from collections.abc import Callable
from typing import Any

from acaciastand_lab.firms import FIRMS
from acaciastand_lab.processes import (
    Deployment,
    call,
    call_json,
    wait_until,
)

JOB_SECONDS = 30.0
PROPAGATION_SECONDS = 19.0


class DemoFailure(Exception):
    """A step had another outcome than it should."""


def expect(condition: Any, message: str) -> None:
    """Raise `DemoFailure` with `message` unless `condition` holds."""
    if not condition:
        raise DemoFailure(message)


def send_request(deployment: Deployment, entry: str, body: bytes, **headers: str) -> Any:
    """Send one request to the service through `entry`."""
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    url = f"{deployment.url(entry)}/v1/services/{deployment.firm.service}/requests"
    return call("POST", url, body, names)


def show_request(deployment: Deployment) -> str:
    """Serve one request end to end."""
    answer = send_request(deployment, "entry-0", b"price of kit 7?", Idempotent="true")
    expect(answer.status == 200, f"status {answer.status}: {answer.body!r}")
    expect(answer.body, "the answer is empty")
    return f"{answer.status}, {len(answer.body)} bytes"


def show_keyed_request(deployment: Deployment) -> str:
    """Send the same keyed order at both entries; it runs once."""

    def ordered() -> Any:
        headers = {"Idempotency-Key": "order-1", "Attempt-Number": "1"}
        answer = send_request(deployment, "entry-0", b"two boxes of wool", **headers)
        return answer if answer.status == 200 else None

    first = wait_until(ordered, "the key's bucket has a home")
    again = {"Idempotency-Key": "order-1", "Attempt-Number": "2"}
    second = send_request(deployment, "entry-1", b"two boxes of wool", **again)
    expect(second.status == 200, f"repeat: status {second.status}: {second.body!r}")
    expect(second.body == first.body, "the repeat got another answer")
    runs = sum(
        audit["executions_by_key"].get("order-1", 0)
        for audit in deployment.audits("target").values()
    )
    expect(runs == 1, f"the order ran {runs} times")
    return "same answer at both entries, 1 execution"


def submit(deployment: Deployment, entry: str, name: str, tasks: int, seconds: float) -> str:
    """Submit a batch job and return its id."""
    payload = {
        "name": name,
        "team": "print",
        "batch_class": "print-run",
        "priority": "normal",
        "tasks": tasks,
        "cores": 1.0,
        "memory_mb": 500,
        "accelerators": 0,
        "run_seconds": seconds,
        "service": deployment.firm.service,
    }

    def accepted() -> Any:
        # Right after a start no entry owns a shard yet; the refusal says that nothing was kept.
        answer = call_json("POST", f"{deployment.url(entry)}/v1/jobs", payload)
        expect(answer.status in (200, 201, 202, 503), f"submission: {answer.body!r}")
        return answer if answer.status != 503 else None

    return wait_until(accepted, "the job is accepted").json()["job_id"]


def job_state(deployment: Deployment, entry: str, job_id: str) -> dict[str, Any]:
    """Return the state of a job as `entry` reports it.

    Raises
    ------
    OSError
        The entry cannot tell at the moment, as during a takeover.
    """
    answer = call("GET", f"{deployment.url(entry)}/v1/jobs/{job_id}")
    if answer.status == 503:
        raise OSError(answer.body.decode())
    return answer.json()


def wait_done(
    deployment: Deployment, entry: str, job_id: str, timeout_seconds: float = JOB_SECONDS
) -> dict[str, Any]:
    """Wait until the job is complete and return its state."""

    def done() -> dict[str, Any] | None:
        job = job_state(deployment, entry, job_id)
        return job if job["state"] == "completed" else None

    return wait_until(done, f"job {job_id} done", timeout_seconds)


def wait_running(deployment: Deployment, entry: str, job_id: str) -> None:
    """Wait until a task of the job runs."""
    wait_until(lambda: job_state(deployment, entry, job_id)["tasks"]["running"] > 0, "a task runs")


def show_job(deployment: Deployment) -> str:
    """Submit a job at one entry and watch it complete from the other."""
    job_id = submit(deployment, "entry-0", "pattern sheets", 3, 0.5)
    wait_done(deployment, "entry-1", job_id)
    return f"{job_id} done, seen from the other entry"


def edit(deployment: Deployment, key: str, value: Any) -> int:
    """Set one key at the site and wait until it is in force everywhere."""
    url = f"{deployment.url('entry-0')}/v1/settings/{deployment.firm.region_path}/{key}"
    current = call("GET", f"{deployment.url('entry-0')}/v1/settings").json()["revision"]
    payload = {"value": value, "if_revision": current, "author": "demo"}
    answer = call_json("PUT", url, payload)
    expect(answer.status == 200, f"edit: {answer.status} {answer.body!r}")
    revision = answer.json()["revision"]

    def in_force() -> bool:
        return all(
            call("GET", f"{deployment.url(entry)}/v1/settings").json()["in_force"] >= revision
            for entry in deployment.http
        )

    wait_until(in_force, f"revision {revision} in force", PROPAGATION_SECONDS)
    return revision


def show_import(deployment: Deployment) -> str:
    """Load the firm's initial tree with the command line."""
    deployment.command("settings", "import", str(deployment.firm.tree_file), "--author", "demo")
    key = "tail_latency_weight"
    shown = deployment.command("settings", "get", deployment.firm.region_path, key, "--json")
    return f"{key} of {deployment.firm.name} is {json.loads(shown)['value']}"


def show_settings(deployment: Deployment) -> str:
    """Edit one setting and see it in force on every process without a restart."""
    revision = edit(deployment, "request_timeout_ms", 1500)
    return f"revision {revision} in force everywhere"


def show_drain(deployment: Deployment) -> str:
    """Drain one agent through the settings tree while a job runs."""
    job_id = submit(deployment, "entry-0", "stock watchers", 6, 3.0)
    wait_running(deployment, "entry-0", job_id)
    edit(deployment, "draining", ["agent-2"])
    before = deployment.audits("target")["agent-2"]["executions"]
    for _ in range(20):
        answer = send_request(deployment, "entry-1", b"price?", Idempotent="true")
        expect(answer.status == 200, f"request while draining: {answer.status}")
    after = deployment.audits("target")["agent-2"]["executions"]
    expect(before == after, "the draining target received work")
    wait_done(deployment, "entry-0", job_id)
    edit(deployment, "draining", [])
    return f"no request reached agent-2; {job_id} done"


def show_killed_agent(deployment: Deployment) -> str:
    """Kill one agent; requests go on, and its restart takes over its tasks."""
    job_id = submit(deployment, "entry-1", "kit labels", 4, 3.0)
    wait_running(deployment, "entry-1", job_id)
    deployment.programs["agent-1"].kill()
    answers = [send_request(deployment, "entry-0", b"price?", Idempotent="true") for _ in range(10)]
    expect(all(answer.status == 200 for answer in answers), "a request failed")
    deployment.start_agent("agent-1")
    deployment.wait_ready()
    wait_done(deployment, "entry-0", job_id)
    return f"10 requests answered, {job_id} done"


def show_audit(deployment: Deployment) -> str:
    """Check at the workers that no task ever ran in two places."""
    problems = find_double_runs(deployment.audits("worker"))
    expect(not problems, f"double runs: {problems}")
    return "no task ran in two places"


def find_double_runs(audits: dict[str, Any]) -> list[str]:
    """Return the tasks whose runs on different workers overlap in time.

    Parameters
    ----------
    audits
        Audit of each worker; every run has ``task_id``, ``started`` and ``stopped`` (seconds of
        one clock; None while it runs).
    """
    runs: dict[str, list[tuple[float, float, str]]] = {}
    for worker, audit in audits.items():
        for run in audit["runs"]:
            stopped = run["stopped"] if run["stopped"] is not None else float("inf")
            runs.setdefault(run["task_id"], []).append((run["started"], stopped, worker))
    problems = []
    for task_id, spans in runs.items():
        spans.sort()
        overlaps = any(earlier[1] > later[0] for earlier, later in itertools.pairwise(spans))
        if overlaps:
            problems.append(f"{task_id}: {spans}")
    return problems


def show_stop(deployment: Deployment) -> str:
    """Stop every process as planned."""
    names = [*deployment.agents, *deployment.http]
    codes = {name: deployment.programs[name].stop() for name in names}
    expect(set(codes.values()) == {0}, f"exit codes {codes}")
    return f"{len(codes)} processes ended with exit code 0"


STEPS: tuple[tuple[str, Callable[[Deployment], str]], ...] = (
    ("the firm's settings tree", show_import),
    ("a request, end to end", show_request),
    ("a keyed order, repeated at the other entry", show_keyed_request),
    ("a batch job", show_job),
    ("a settings edit", show_settings),
    ("a drain", show_drain),
    ("a killed agent", show_killed_agent),
    ("audit of the workers", show_audit),
    ("planned stop", show_stop),
)


def main() -> int:
    """Run all steps and return the exit code."""
    started = time.monotonic()
    firm = sys.argv[1] if len(sys.argv) > 1 else FIRMS[0]
    if firm not in FIRMS:
        print(f"unknown firm {firm!r}; choose one of {', '.join(FIRMS)}")
        return 2
    with Deployment(firm) as deployment:
        try:
            deployment.start()
            print(f"started {len(deployment.programs)} processes")
            for name, step in STEPS:
                print(f"{name}: ", end="", flush=True)
                print(step(deployment), flush=True)
        except (DemoFailure, OSError, RuntimeError, KeyError, TypeError) as error:
            print(f"FAILED: {type(error).__name__}: {error}")
            for program in deployment.programs.values():
                if not program.running or program.name.startswith(("entry", "agent")):
                    print(f"--- {program.name}\n{program.tail()}")
            return 1
    print(f"all outcomes right after {time.monotonic() - started:.1f} s; everything is stopped")
    return 0


if __name__ == "__main__":
    sys.exit(main())
