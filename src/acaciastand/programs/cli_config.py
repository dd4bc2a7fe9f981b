"""Commands on the configuration of the operators; none of them writes to the store."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import urlsplit

import typer

from acaciastand.coordination.store import StoreUnavailable
from acaciastand.errors import AcaciastandError, InvalidInput
from acaciastand.platform.catalog_draft import OPERATOR_FIELDS, read_draft
from acaciastand.platform.kv import PlatformStore
from acaciastand.platform.operator import CONFIG_KEY
from acaciastand.programs.cli_common import JsonOption, progress, show
from acaciastand.record import Record
from acaciastand.workflow.catalog_changes import Action, CatalogChange, check_changes, list_changes
from acaciastand.workflow.catalog_check import check_draft, sort_findings
from acaciastand.workflow.catalog_draft import CatalogDraft, Finding, Severity

MAX_FILE_BYTES = 4 << 20  # Several times what the store accepts as one value.
READ_SECONDS = 5.0  # Time until the store's answer begins; a person waits for it.
MAX_SHOWN = 160  # Longer values are cut in the lines for people.

app = typer.Typer(help="Check the configuration of the operators.", no_args_is_help=True)


@app.callback()
def options():
    """Check the configuration of the operators before it is sent."""


class ConfigurationUnreadable(InvalidInput):
    """The file of a configuration is missing, too large, or not JSON."""

    code = "configuration_unreadable"


class ConfigurationFaulty(InvalidInput):
    """The check of a configuration found errors."""

    code = "configuration_faulty"


class Comparison(Record):
    """The version in force, if it could be read.

    Parameters
    ----------
    source
        File or address that it was read from; empty if none was named.
    draft
        The version in force; None if there is none or it could not be read.
    error
        Why it could not be read, or None.
    """

    __slots__ = ("source", "draft", "error")

    def __init__(
        self,
        source: str = "",
        draft: CatalogDraft | None = None,
        error: AcaciastandError | None = None,
    ) -> None:
        self.source = source
        self.draft = draft
        self.error = error


@app.command("check")
def check(
    file: Annotated[Path, typer.Argument(help="JSON file with the configuration.")],
    in_force: Annotated[
        Path | None, typer.Option("--in-force", help="File with the version in force.")
    ] = None,
    store: Annotated[
        str, typer.Option("--store", help="URL of the store with the version in force.")
    ] = "",
    as_json: JsonOption = False,
):
    """Print what is wrong with a configuration and what it changes; exit code 2 on errors."""
    if in_force is not None and store:
        raise InvalidInput("both --in-force and --store are given", "give one of them")
    address = _store_url(store)
    draft = _read_file(file)
    comparison = _read_in_force(in_force, address)
    findings = check_draft(draft)
    changes: list[CatalogChange] = []
    if comparison.draft is not None:
        findings = sort_findings([*findings, *check_changes(comparison.draft, draft)])
        changes = list_changes(comparison.draft, draft)
    report = _report(file, draft, comparison, findings, changes)
    show(report, as_json, lambda _: _lines(report, findings, changes))
    _raise_worst(file, report["errors"], comparison)


def _raise_worst(file: Path, errors: int, comparison: Comparison) -> None:
    if errors:
        if comparison.error is not None:
            progress(f"not compared: {comparison.error}")
        raise ConfigurationFaulty(
            f"{file} has {_counted(errors, 'error')}", "correct the file before it is sent"
        )
    if comparison.error is not None:
        raise comparison.error


def _read_file(path: Path) -> CatalogDraft:
    try:
        with path.open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:  # A path with a zero byte raises ValueError.
        raise ConfigurationUnreadable(
            f"{path} cannot be read: {error}", "check the path and its permissions"
        ) from error
    if len(data) > MAX_FILE_BYTES:
        raise ConfigurationUnreadable(
            f"{path} is longer than {MAX_FILE_BYTES} bytes", "check that it is a configuration"
        )
    return _draft(str(path), data)


def _draft(source: str, data: bytes) -> CatalogDraft:
    try:
        return read_draft(data)
    except InvalidInput as error:
        raise ConfigurationUnreadable(f"{source}: {error.message}", error.remedy) from error


def _read_in_force(file: Path | None, url: str) -> Comparison:
    source = str(file) if file is not None else url
    try:
        if file is not None:
            return Comparison(source, _read_file(file))
        if url:
            return Comparison(source, _read_store(url))
    except (ConfigurationUnreadable, StoreUnavailable) as error:
        return Comparison(source, error=error)
    return Comparison()


def _store_url(url: str) -> str:
    """Return the URL of a store, checked, since a connection to half of one goes elsewhere."""
    try:
        parts = urlsplit(url)
        valid = (
            parts.scheme == "http"
            and bool(parts.hostname)
            and parts.port is not None
            and parts.path in ("", "/")
        )
    except ValueError:
        valid = False
    if url and not valid:
        raise InvalidInput(f"{url!r} is not the URL of a store", "write http://ip:port")
    return url


def _read_store(url: str) -> CatalogDraft | None:
    store = PlatformStore(url)
    store.read_seconds = READ_SECONDS
    try:
        item = store.get(CONFIG_KEY)
    finally:
        store.close()
    return _draft(f"{CONFIG_KEY} in {url}", item.value) if item.revision else None


def _report(
    file: Path,
    draft: CatalogDraft,
    comparison: Comparison,
    findings: list[Finding],
    changes: list[CatalogChange],
) -> dict[str, Any]:
    severities = [finding.severity for finding in findings]
    return {
        "file": str(file),
        "version": draft.version,
        "in_force": {
            "source": comparison.source,
            "version": comparison.draft.version if comparison.draft else None,
            "compared": comparison.draft is not None,
            "error": str(comparison.error) if comparison.error else None,
        },
        "errors": severities.count(Severity.ERROR),
        "warnings": severities.count(Severity.WARNING),
        "notices": severities.count(Severity.NOTICE),
        "findings": [_finding_fields(finding) for finding in findings],
        "changes": [_change_fields(change) for change in changes],
    }


def _finding_fields(finding: Finding) -> dict[str, Any]:
    return {
        "severity": finding.severity.value,
        "code": finding.code,
        "entry": finding.entry,
        "field": OPERATOR_FIELDS.get(finding.field, finding.field),
        "message": finding.message,
        "remedy": finding.remedy,
    }


def _change_fields(change: CatalogChange) -> dict[str, Any]:
    return {
        "subject": change.subject.value,
        "name": change.name,
        "action": change.action.value,
        "field": change.field,
        "before": change.before,
        "after": change.after,
    }


def _lines(
    report: dict[str, Any], findings: list[Finding], changes: list[CatalogChange]
) -> list[str]:
    return [
        *(_finding_line(_finding_fields(finding)) for finding in findings),
        *(_change_line(change) for change in changes),
        _comparison_line(report),
        ", ".join(
            _counted(number, noun)
            for number, noun in (
                (report["errors"], "error"),
                (report["warnings"], "warning"),
                (report["notices"], "notice"),
                (len(changes), "change"),
            )
        ),
    ]


def _finding_line(fields: dict[str, Any]) -> str:
    place = " ".join(filter(None, (fields["entry"], _plain(fields["field"]))))
    head = f"{fields['severity']} {fields['code']}"
    return f"{head}{' ' + place if place else ''}: {fields['message']}; {fields['remedy']}"


def _plain(text: str) -> str:
    """Return a name as it is, or quoted if it could mislead a terminal or a reader."""
    return text if text.isascii() and text.isprintable() else json.dumps(text)


def _change_line(change: CatalogChange) -> str:
    line = f"{change.action.value} {change.subject.value} {json.dumps(change.name)}"
    if change.field:
        line += f" {_plain(change.field)}"
    if change.action is Action.CHANGED:
        return f"{line}: {_shown(change.before)} -> {_shown(change.after)}"
    return f"{line}: {_shown(change.after if change.before is None else change.before)}"


def _shown(value: Any) -> str:
    if value is None:
        return "absent"
    text = json.dumps(value)
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}..."


def _comparison_line(report: dict[str, Any]) -> str:
    in_force = report["in_force"]
    if in_force["compared"]:
        return f"version {report['version']}, compared with version {in_force['version']} in force"
    if in_force["error"]:
        return f"not compared with {in_force['source']}: {in_force['error']}"
    if in_force["source"]:
        return f"not compared: {in_force['source']} holds no configuration yet"
    return "not compared: state --in-force FILE or --store URL"


def _counted(number: int, noun: str) -> str:
    return f"{number} {noun}{'' if number == 1 else 's'}"
