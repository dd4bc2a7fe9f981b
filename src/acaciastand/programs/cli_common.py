"""Options, output and waiting that the commands of the command line share."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Annotated, Any

import typer

from acaciastand.errors import AcaciastandError
from acaciastand.programs.client import AnswerLost, EntryClient, EntryUnreachable, RemoteError

POLL_SECONDS = 0.25
TEMPORARY_STATUSES = (429, 502, 503, 504)  # for example while a shard has no owner

EntryOption = Annotated[
    str,
    typer.Option("--entry", envvar="ACACIASTAND_ENTRY", help="HTTP address ip:port of an entry."),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


class WaitedTooLong(AcaciastandError):
    """The state that a command waited for did not come in time."""

    code = "waited_too_long"
    http_status = 504
    exit_code = 10


def client_of(entry: str) -> EntryClient:
    """Return a client of the entry that the options name."""
    return EntryClient(entry)


def show(
    value: dict[str, Any], as_json: bool, lines: Callable[[dict[str, Any]], list[str]]
) -> None:
    """Print a value as JSON or as lines."""
    if as_json:
        typer.echo(json.dumps(value, ensure_ascii=False))
        return
    for line in lines(value):
        typer.echo(line)


def progress(text: str) -> None:
    """Print a line of progress to standard error."""
    typer.echo(text, err=True)


def poll(read: Callable[[], str | None], seconds: float, awaited: str, remedy: str) -> None:
    """Call `read` until it returns None, and print each new text that it returns.

    An entry that cannot be reached or refuses for the moment is asked again; reads repeat safely.

    Raises
    ------
    WaitedTooLong
        It did not return None within `seconds`.
    """
    deadline = time.monotonic() + seconds
    last = ""
    while True:
        try:
            text = read()
        except (EntryUnreachable, AnswerLost, RemoteError) as error:
            if error.http_status not in TEMPORARY_STATUSES:
                raise
            text = error.message
        if text is None:
            return
        if text != last:
            progress(text)
            last = text
        if time.monotonic() >= deadline:
            raise WaitedTooLong(f"{awaited} after {seconds:g} s: {text}", remedy)
        time.sleep(POLL_SECONDS)
