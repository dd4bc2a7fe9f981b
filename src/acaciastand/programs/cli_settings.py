"""Commands on the settings tree."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote, urlencode

import typer

from acaciastand.programs.cli_common import EntryOption, JsonOption, client_of, poll, progress, show
from acaciastand.programs.client import EntryClient
from acaciastand.settings.tree_file import read_tree_file

WAIT_SECONDS = 60.0

app = typer.Typer(help="Read and edit the settings tree.", no_args_is_help=True)

PathArgument = Annotated[str, typer.Argument(help="firm/region/site/service, or its first levels.")]
KeyArgument = Annotated[str, typer.Argument(help="Key of the schema; see docs/SETTINGS.md.")]
AuthorOption = Annotated[
    str, typer.Option("--author", envvar=["ACACIASTAND_AUTHOR", "USER"], help="Who edits.")
]
RevisionOption = Annotated[
    int | None,
    typer.Option("--if-revision", help="Revision the edit is based on; the newest if absent."),
]
WaitOption = Annotated[bool, typer.Option("--wait", help="Wait until in force everywhere.")]
WaitSecondsOption = Annotated[float, typer.Option("--wait-seconds", help="Longest wait.")]


@app.command("get")
def get(path: PathArgument, key: KeyArgument, entry: EntryOption = "", as_json: JsonOption = False):
    """Print the value in use and the level it comes from."""
    found = client_of(entry).read(_place(path, key))
    show(found, as_json, lambda value: [f"{json.dumps(value['value'])}  ({value['level']})"])


@app.command("set")
def set_value(
    path: PathArgument,
    key: KeyArgument,
    value: Annotated[str, typer.Argument(help="New value as JSON; other text is a string.")],
    entry: EntryOption = "",
    author: AuthorOption = "",
    if_revision: RevisionOption = None,
    wait: WaitOption = False,
    wait_seconds: WaitSecondsOption = WAIT_SECONDS,
    as_json: JsonOption = False,
):
    """Override a value."""
    client = client_of(entry)
    body = {
        "value": _parse(value),
        "if_revision": _based_on(client, if_revision),
        "author": author,
    }
    answer = client.send_json("PUT", _place(path, key), body)
    _report(client, answer, wait, wait_seconds, as_json)


@app.command("unset")
def unset(
    path: PathArgument,
    key: KeyArgument,
    entry: EntryOption = "",
    author: AuthorOption = "",
    if_revision: RevisionOption = None,
    wait: WaitOption = False,
    wait_seconds: WaitSecondsOption = WAIT_SECONDS,
    as_json: JsonOption = False,
):
    """Remove an override; the value of the level above applies again."""
    client = client_of(entry)
    query = urlencode({"if_revision": _based_on(client, if_revision), "author": author})
    answer = client.call("DELETE", f"{_place(path, key)}?{query}").json()
    _report(client, answer, wait, wait_seconds, as_json)


@app.command("import")
def import_file(
    file: Annotated[Path, typer.Argument(help="TOML file with a table for each path.")],
    entry: EntryOption = "",
    author: AuthorOption = "",
    if_revision: RevisionOption = None,
    wait: WaitOption = False,
    wait_seconds: WaitSecondsOption = WAIT_SECONDS,
    as_json: JsonOption = False,
):
    """Apply all values of a file as one revision; nothing is applied if any value is wrong."""
    edits = [
        {"path": edit.path, "key": edit.key, "value": edit.value} for edit in read_tree_file(file)
    ]
    client = client_of(entry)
    body = {"edits": edits, "if_revision": _based_on(client, if_revision), "author": author}
    answer = client.send_json("POST", "/v1/settings", body)
    _report(client, answer, wait, wait_seconds, as_json)


@app.command("tree")
def tree(entry: EntryOption = "", as_json: JsonOption = False):
    """Print all overrides and the revision in force."""
    show(client_of(entry).read("/v1/settings"), as_json, _tree_lines)


@app.command("history")
def history(entry: EntryOption = "", as_json: JsonOption = False):
    """Print the accepted edits, the newest first."""
    show(client_of(entry).read("/v1/settings-history"), as_json, _history_lines)


def _place(path: str, key: str) -> str:
    return f"/v1/settings/{quote(path)}/{quote(key, safe='')}"


def _parse(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _based_on(client: EntryClient, if_revision: int | None) -> int:
    if if_revision is not None:
        return if_revision
    return int(client.read("/v1/settings")["revision"])


def _report(
    client: EntryClient, answer: dict[str, Any], wait: bool, seconds: float, as_json: bool
) -> None:
    revision = int(answer["revision"])
    if wait:
        progress(f"accepted as revision {revision}")
        poll(
            lambda: _not_in_force(client, revision),
            seconds,
            f"revision {revision} is accepted, but not in force everywhere",
            "it stays accepted; see `acaciastand settings tree` for the processes that lag",
        )
    state = "in_force" if wait else "accepted"
    show({**answer, "state": state}, as_json, lambda _: [f"revision {revision} {state}"])


def _not_in_force(client: EntryClient, revision: int) -> str | None:
    report = client.read("/v1/settings")
    unreachable = report.get("unreachable", [])
    if report["in_force"] >= revision and not unreachable:
        return None
    text = f"revision {report['in_force']} is in force"
    if report.get("lagging_count"):
        text += f"; {report['lagging_count']} lag: {', '.join(report['lagging'][:5])}"
    return text + (f"; unreachable: {', '.join(unreachable[:5])}" if unreachable else "")


def _tree_lines(report: dict[str, Any]) -> list[str]:
    lines = [f"revision {report['revision']}, in force {report['in_force']}"]
    for path, keys in report["tree"].items():
        lines.append(path)
        lines += [f"  {key} = {json.dumps(value)}" for key, value in keys.items()]
    return lines


def _history_lines(report: dict[str, Any]) -> list[str]:
    return [
        f"{item['revision']}  {item['author']}  {item['path']}/{item['key']} = "
        + ("unset" if item["value"] is None else json.dumps(item["value"]))
        for item in report["history"]
    ]
