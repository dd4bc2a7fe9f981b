"""Command line ``acaciastand`` for callers and operators; see docs/CLI.md."""

from __future__ import annotations

import json
import sys
from importlib.metadata import PackageNotFoundError, version
from itertools import chain
from typing import Annotated
from urllib.parse import quote

import typer

from acaciastand.errors import AcaciastandError
from acaciastand.programs import cli_config, cli_jobs, cli_settings
from acaciastand.programs.cli_common import EntryOption, JsonOption, client_of, show
from acaciastand.programs.client import EntryClient
from acaciastand.programs.explain import cause, lines_of

ANSWER_GRACE_SECONDS = 5.0  # the entry itself answers a timed-out request

app = typer.Typer(
    help="Command line of acaciastand.", no_args_is_help=True, pretty_exceptions_enable=False
)
app.add_typer(cli_settings.app, name="settings")
app.add_typer(cli_jobs.app, name="job")
app.add_typer(cli_config.app, name="config")


def _print_version(wanted: bool) -> None:
    if not wanted:
        return
    try:
        typer.echo(f"acaciastand {version('acaciastand')}")
    except PackageNotFoundError:
        typer.echo("acaciastand (not installed)")
    raise typer.Exit


@app.callback()
def options(
    _version: Annotated[
        bool,
        typer.Option("--version", callback=_print_version, is_eager=True, help="Print version."),
    ] = False,
):
    """Command line of acaciastand; exit codes are in docs/CLI.md."""


@app.command("status")
def status(entry: EntryOption = "", as_json: JsonOption = False):
    """Print what the entry knows about itself, its agents and peers."""
    show(
        client_of(entry).read("/v1/status"),
        as_json,
        lambda value: [f"{name} = {json.dumps(item)}" for name, item in value.items()],
    )


@app.command("request")
def request(
    service: Annotated[str, typer.Argument(help="Service that is called.")],
    body: Annotated[str | None, typer.Option(help="Body; standard input if absent.")] = None,
    timeout_ms: Annotated[int, typer.Option(min=1, help="Timeout in milliseconds.")] = 2000,
    idempotent: Annotated[bool, typer.Option(help="The request may run more than once.")] = False,
    key: Annotated[str, typer.Option("--key", help="Idempotency key.")] = "",
    attempt_number: Annotated[int, typer.Option(min=1, help="Attempt with this key.")] = 1,
    key_age_ms: Annotated[
        int | None, typer.Option(min=0, help="Time since the first attempt with this key.")
    ] = None,
    entry: EntryOption = "",
):
    """Send a request and print the answer's body as it is."""
    headers = {"Request-Timeout-Ms": str(timeout_ms)}
    headers["Idempotent"] = "true" if idempotent else "false"
    if key:
        headers |= {"Idempotency-Key": key, "Attempt-Number": str(attempt_number)}
    if key_age_ms is not None:
        headers["Key-Age-Ms"] = str(key_age_ms)
    data = sys.stdin.buffer.read() if body is None else body.encode("utf-8")
    client = EntryClient(entry, timeout_ms / 1000 + ANSWER_GRACE_SECONDS)
    answer = client.call("POST", f"/v1/services/{quote(service, safe='')}/requests", data, headers)
    sys.stdout.buffer.write(answer.body)
    sys.stdout.buffer.flush()


@app.command("explain")
def explain(
    job_id: Annotated[str, typer.Argument(help="Id of the job or request.")],
    files: Annotated[
        list[typer.FileText] | None, typer.Argument(help="Log files; standard input if absent.")
    ] = None,
    as_json: JsonOption = False,
):
    """Print the life of a job or request from log lines, and how it ended."""
    found = lines_of(job_id, chain.from_iterable(files or [sys.stdin]))
    show(
        {"lines": [line.content for line in found], "cause": cause(job_id, found)},
        as_json,
        lambda value: [*(line.text() for line in found), value["cause"]],
    )


def main() -> None:
    """Run the command line; errors go to standard error and set the exit code."""
    try:
        app()
    except AcaciastandError as error:
        outcome = f", outcome {error.outcome.value}" if error.outcome else ""
        typer.echo(f"error {error.code}{outcome}: {error}", err=True)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
