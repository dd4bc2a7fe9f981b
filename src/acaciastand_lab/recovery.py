"""Measures recovery over real processes: ``python -m acaciastand_lab.recovery``.

For each fault: time until a request is answered again, time until an urgent job submitted after the
fault starts, time until the job that ran during the fault completes, work lost and calls made to
the store. The table goes to docs/recovery.md with the command and the date of the run.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from acaciastand.record import Record
from acaciastand_lab.demo import (
    edit,
    find_double_runs,
    job_state,
    send_request,
    submit,
    wait_done,
    wait_running,
)
from acaciastand_lab.processes import Deployment, call, call_json, wait_until

RUNS = 2  # deployments per fault; the page shows the smallest and the largest value
TASKS = 6
TASK_SECONDS = 4.0
GRANT_SECONDS = 2.0
STOP_SECONDS = 0.5
OUTAGE_HOLD_SECONDS = 10.0
OUTAGE_SECONDS = 6.0
COMPLETION_SECONDS = 90.0
POLL_SECONDS = 0.01
PAGE = Path("docs/recovery.md")


class Recovery(Record):
    """What one run measured; times in seconds from the end of the fault's injection."""

    __slots__ = ("fault", "answered", "urgent", "completed", "lost_seconds", "store_calls")

    def __init__(
        self,
        fault: str,
        answered: float,
        urgent: float,
        completed: float,
        lost_seconds: float,
        store_calls: int,
    ) -> None:
        self.fault = fault
        self.answered = answered
        self.urgent = urgent
        self.completed = completed
        self.lost_seconds = lost_seconds
        self.store_calls = store_calls


class Situation:
    """A deployment with a running job and the entry that owns it."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.job_id = submit(deployment, "entry-0", "recovery", TASKS, TASK_SECONDS)
        wait_running(deployment, "entry-0", self.job_id)
        self.owner = self._owner()
        self.survivor = next(name for name in deployment.http if name != self.owner)

    def _owner(self) -> str:
        shard = int(self.job_id.partition("-")[0].removeprefix("j"))

        def find() -> str | None:
            for name in self.deployment.http:
                if shard in self.deployment.status(name)["shards"]:
                    return name
            return None

        return wait_until(find, f"shard {shard} has an owner")

    def busy_agent(self) -> str:
        """Return an agent whose worker runs a task."""
        for agent, audit in self.deployment.audits("worker").items():
            if any(run["stopped"] is None for run in audit["runs"]):
                return agent
        raise LookupError("no task runs")


def kill_owner(situation: Situation) -> None:
    """Kill the entry that owns the job's shard."""
    situation.deployment.programs[situation.owner].kill()


def stop_owner(situation: Situation) -> None:
    """Stop the owner as planned."""
    situation.deployment.programs[situation.owner].stop()


def kill_agent(situation: Situation) -> None:
    """Kill a busy agent and start it again at once."""
    agent = situation.busy_agent()
    situation.deployment.programs[agent].kill()
    situation.deployment.start_agent(agent)


def lose_host(situation: Situation) -> None:
    """Kill a busy agent with its worker and target; nothing replaces them."""
    agent = situation.busy_agent()
    for name in (agent, f"worker-{agent}", f"target-{agent}"):
        situation.deployment.programs[name].kill()
    del situation.deployment.workers[agent]
    del situation.deployment.targets[agent]


def store_outage(situation: Situation) -> None:
    """Take the store away for longer than an entry's lease."""
    situation.deployment.store_faults({"outage": True})
    time.sleep(OUTAGE_SECONDS)
    situation.deployment.end_store_faults()


FAULTS: dict[str, Callable[[Situation], None]] = {
    "owner killed": kill_owner,
    "owner stopped as planned": stop_owner,
    "agent killed and restarted": kill_agent,
    "host lost for good": lose_host,
    f"store outage of {OUTAGE_SECONDS:g} s": store_outage,
}


def measure(fault: str) -> Recovery:
    """Run one fault in a deployment of its own."""
    with Deployment(cores=4) as deployment:
        deployment.start()
        edit(deployment, "grant_seconds", GRANT_SECONDS)
        edit(deployment, "stop_seconds", STOP_SECONDS)
        edit(deployment, "outage_hold_seconds", OUTAGE_HOLD_SECONDS)
        situation = Situation(deployment)
        calls_before = store_calls(deployment)
        FAULTS[fault](situation)
        started = time.monotonic()
        reader = situation.survivor
        answered = elapsed_until(started, lambda: answers(deployment, reader))
        urgent = elapsed_until(started, urgent_job(deployment, reader))
        wait_done(deployment, reader, situation.job_id, COMPLETION_SECONDS)
        completed = time.monotonic() - started
        calls = store_calls(deployment) - calls_before
        audits = deployment.audits("worker")
        if find_double_runs(audits):
            raise AssertionError(f"{fault}: a task ran in two places")
        return Recovery(fault, answered, urgent, completed, lost_work(audits), calls)


def elapsed_until(started: float, condition: Callable[[], Any]) -> float:
    """Return the seconds from `started` until `condition` first holds."""
    while True:
        try:
            if condition():
                return time.monotonic() - started
        except OSError:
            pass
        if time.monotonic() - started > COMPLETION_SECONDS:
            raise TimeoutError("no recovery")
        time.sleep(POLL_SECONDS)


def answers(deployment: Deployment, entry: str) -> bool:
    """Whether a request at `entry` is answered."""
    return send_request(deployment, entry, b"price?", Idempotent="true").status == 200


def urgent_job(deployment: Deployment, entry: str) -> Callable[[], bool]:
    """Return a condition: an urgent job, submitted as soon as it is accepted, has started."""
    accepted: list[str] = []
    payload = {
        "name": "urgent",
        "team": "print",
        "batch_class": "print-run",
        "priority": "urgent",
        "tasks": 1,
        "cores": 0.5,
        "memory_mb": 100,
        "accelerators": 0,
        "run_seconds": 0.5,
        "service": deployment.firm.service,
    }

    def started() -> bool:
        if not accepted:
            answer = call_json("POST", f"{deployment.url(entry)}/v1/jobs", payload)
            if answer.status >= 300:
                return False
            accepted.append(answer.json()["job_id"])
        tasks = job_state(deployment, entry, accepted[0])["tasks"]
        return tasks["running"] + tasks["done"] > 0

    return started


def store_calls(deployment: Deployment) -> int:
    """Return the number of calls that the store has counted."""
    counts = call("GET", f"http://{deployment.store_address}/v1/admin/counts").json()
    return sum(counts["calls"].values())


def lost_work(audits: dict[str, Any]) -> float:
    """Return the seconds of task run time beyond what the tasks needed.

    A run that resumes from a checkpoint starts at that progress, so only repeated progress counts.
    """
    spent: dict[str, float] = {}
    for audit in audits.values():
        for run in audit["runs"]:
            if run["stopped"] is not None:
                spent[run["task_id"]] = spent.get(run["task_id"], 0.0) + (
                    run["stopped"] - run["started"]
                )
    return sum(max(0.0, seconds - TASK_SECONDS) for seconds in spent.values())


def line(runs: list[Recovery]) -> str:
    """Return the table line of one fault: smallest to largest value."""
    cells = [runs[0].fault]
    for name in ("answered", "urgent", "completed", "lost_seconds", "store_calls"):
        values = [getattr(run, name) for run in runs]
        cells.append(f"{min(values):.3g} to {max(values):.3g}")
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    """Measure every fault and write the page."""
    lines = [
        "# Recovery after faults",
        "",
        f"Written by `python -m acaciastand_lab.recovery` on {datetime.now(UTC):%Y-%m-%d}: two "
        f"entries and three agents as processes on one machine, {RUNS} deployments per fault, "
        f"smallest to largest value. Grants last {GRANT_SECONDS:g} s, `stop_seconds` is "
        f"{STOP_SECONDS:g}, `outage_hold_seconds` {OUTAGE_HOLD_SECONDS:g}; a job of {TASKS} tasks "
        f"of {TASK_SECONDS:g} s runs during the fault. Times are seconds from the end of the "
        "injection; lost work is task run time beyond what the tasks needed, pauses included. "
        "The urgent job carries no key, so it goes to a shard that the surviving entry owns.",
        "",
        "| fault | request answered | urgent job started | running job completed "
        "| run time lost, s | store calls |",
        "|---|---|---|---|---|---|",
    ]
    for fault in FAULTS:
        runs = [measure(fault) for _ in range(RUNS)]
        lines.append(line(runs))
        print(lines[-1], flush=True)
    PAGE.write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
