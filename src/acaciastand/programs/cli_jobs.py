"""Commands on jobs."""

from __future__ import annotations

import json
import uuid
from typing import Annotated, Any
from urllib.parse import quote

import typer

from acaciastand.errors import AcaciastandError
from acaciastand.programs.cli_common import EntryOption, JsonOption, client_of, poll, progress, show

WAIT_SECONDS = 3600.0
SUCCEEDED = "completed"
ENDED = (SUCCEEDED, "failed", "cancelled")

app = typer.Typer(help="Submit and follow batch jobs.", no_args_is_help=True)

JobArgument = Annotated[str, typer.Argument(help="Id of the job.")]


class JobNotCompleted(AcaciastandError):
    """The job ended without success."""

    code = "job_not_completed"
    http_status = 409
    exit_code = 9


@app.command("submit")
def submit(
    team: Annotated[str, typer.Option(help="Team whose quota is used.")],
    batch_class: Annotated[str, typer.Option(help="Class for interference and size estimates.")],
    name: Annotated[str, typer.Option(help="Name for people.")] = "",
    priority: Annotated[str, typer.Option(help="urgent or normal.")] = "normal",
    tasks: Annotated[int, typer.Option(help="Number of tasks.")] = 1,
    cores: Annotated[float, typer.Option(help="Processor cores of a task.")] = 1.0,
    memory_mb: Annotated[int, typer.Option(help="Memory of a task in megabytes.")] = 0,
    accelerators: Annotated[int, typer.Option(help="Accelerators of a task.")] = 0,
    run_seconds: Annotated[float, typer.Option(help="Expected run time of a task.")] = 0.0,
    service: Annotated[str, typer.Option(help="Service beside which the tasks run.")] = "",
    key: Annotated[str, typer.Option("--key", help="Idempotency key; random if absent.")] = "",
    entry: EntryOption = "",
    as_json: JsonOption = False,
):
    """Submit a job; the same --key never submits it twice."""
    key = key or str(uuid.uuid4())
    job = {
        "name": name,
        "team": team,
        "batch_class": batch_class,
        "priority": priority,
        "tasks": tasks,
        "cores": cores,
        "memory_mb": memory_mb,
        "accelerators": accelerators,
        "run_seconds": run_seconds,
        "service": service,
    }
    headers = {"Content-Type": "application/json", "Idempotency-Key": key}
    progress(f"idempotency key {key}")
    answer = client_of(entry).call("POST", "/v1/jobs", json.dumps(job).encode(), headers)
    show(answer.json(), as_json, _lines)


@app.command("status")
def status(job_id: JobArgument, entry: EntryOption = "", as_json: JsonOption = False):
    """Print the state of a job."""
    show(client_of(entry).read(_place(job_id)), as_json, _lines)


@app.command("cancel")
def cancel(job_id: JobArgument, entry: EntryOption = "", as_json: JsonOption = False):
    """Cancel a job."""
    show(client_of(entry).call("DELETE", _place(job_id)).json(), as_json, _lines)


@app.command("wait")
def wait(
    job_id: JobArgument,
    wait_seconds: Annotated[float, typer.Option("--wait-seconds", help="Longest wait.")] = (
        WAIT_SECONDS
    ),
    entry: EntryOption = "",
    as_json: JsonOption = False,
):
    """Wait until a job ends; exit code 9 if it was not completed."""
    client = client_of(entry)
    last: dict[str, Any] = {}

    def read() -> str | None:
        last.clear()
        last.update(client.read(_place(job_id)))
        return None if last.get("state") in ENDED else f"job {job_id} is {last.get('state')}"

    remedy = "wait again; the job goes on"
    poll(read, wait_seconds, f"job {job_id} has not ended", remedy)
    show(last, as_json, _lines)
    if last["state"] != SUCCEEDED:
        raise JobNotCompleted(
            f"job {job_id} ended as {last['state']}", "see `acaciastand job status`"
        )


def _place(job_id: str) -> str:
    return f"/v1/jobs/{quote(job_id, safe='')}"


def _lines(value: dict[str, Any]) -> list[str]:
    return [f"{name} = {json.dumps(item)}" for name, item in value.items()]
