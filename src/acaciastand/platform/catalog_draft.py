"""Reads a configuration that the operators have not sent yet, with all that is wrong in its form.

The decoder of the daemons skips what it cannot decode. Here the same decoder tells which entries
and fields it would skip.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterator
from difflib import get_close_matches
from typing import Any

from acaciastand.checks import (
    MALFORMED,
    check_count,
    check_number,
    check_text,
    shorten,
)
from acaciastand.errors import InvalidInput
from acaciastand.platform.operator import MAX_PAYLOAD_BYTES, decode_catalog, decode_queue
from acaciastand.platform.strict_json import load_strict_json_map
from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.catalog_draft import (
    CatalogDraft,
    DraftLimits,
    DraftQueue,
    DraftService,
    Finding,
    Severity,
)

# Names that the operators use for the fields named in findings.
OPERATOR_FIELDS = {
    "max_attempts": "maxAttempts",
    "target_seconds": "targetLatencyMs",
    "timeout_seconds": "timeoutMs",
    "ticket_seconds": "advice.validityMs",
    "advice_seconds": "advice",
    "max_header_bytes": "maxHeaderBytes",
    "max_body_bytes": "maxBodyBytes",
    "header_timeout_seconds": "headerTimeoutMs",
    "idle_timeout_seconds": "idleTimeoutMs",
}

PARTS = ("routes", "services", "limits")
# A row with all fields that the decoder requires.
MINIMAL_ROUTE = {"name": "-", "host": "-", "prefix": "/-/", "service": "-"}
WHOLE_NUMBERS = ("priority", "maxAttempts")
FLAGS = ("rejectsOverload", "standby")
KNOWN_FIELDS = {
    "": ("version", *PARTS),
    "routes": (
        *MINIMAL_ROUTE,
        *WHOLE_NUMBERS,
        "kind",
        "timeoutMs",
        "targetLatencyMs",
        "stretch",
        "advice",
    ),
    "advice": ("decideMs", "perWorkerMs", "validityMs"),
    "services": (
        *FLAGS,
        "name",
        "healthPath",
        "maxConns",
        "protocol",
        "tls",
        "coldStartS",
        "coldPerS",
    ),
    "limits": ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"),
}


def read_draft(data: bytes) -> CatalogDraft:
    """Return a configuration as it was written.

    Raises
    ------
    InvalidInput
        It is not a JSON object, so that nothing in it can be checked.
    """
    return _DraftReader().read(data)


class _DraftReader:
    def __init__(self) -> None:
        self.findings: list[Finding] = []

    def read(self, data: bytes) -> CatalogDraft:
        try:
            fields = load_strict_json_map(data, self._duplicate)
        except MALFORMED as error:
            raise InvalidInput(
                f"it is not a JSON object: {error}", "correct it where the message says"
            ) from error
        self._check_unknown("", fields, "")
        version = self._version(fields)
        queues = [self._queue(*row) for row in self._rows(fields, "routes")]
        services = [self._service(*row) for row in self._rows(fields, "services")]
        limits = self._limits(fields)
        self._check_decoder(data)
        return CatalogDraft(
            version,
            queues,
            services,
            limits,
            {name: value for name, value in fields.items() if name not in ("version", *PARTS)},
            MAX_PAYLOAD_BYTES,
            self.findings,
        )

    def _add(
        self, severity: Severity, code: str, entry: str, field: str, message: str, remedy: str
    ) -> None:
        self.findings.append(Finding(severity, code, entry, field, message, remedy))

    def _duplicate(self, name: str) -> None:
        self._add(
            Severity.ERROR,
            "field_duplicate",
            "",
            name,
            "the field occurs twice in one object; the last one counts",
            "remove one of them",
        )

    def _version(self, fields: dict[str, Any]) -> int | None:
        if "version" not in fields:
            self._undecodable("version", "the field is missing", "add it")
            return None
        try:
            version = check_count(fields["version"])
        except MALFORMED as error:
            self._undecodable("version", str(error), "use a whole number")
            return None
        self._check_whole("", fields, "version")
        return version

    def _undecodable(self, field: str, message: str, remedy: str) -> None:
        """Record what makes the daemons ignore the whole configuration."""
        self._add(
            Severity.ERROR,
            "cannot_be_decoded",
            "",
            field,
            f"the whole configuration is ignored: {message}",
            remedy,
        )

    def _rows(self, fields: dict[str, Any], part: str) -> Iterator[tuple[str, str, dict[str, Any]]]:
        """Yield label, name and fields of each row that is a map."""
        rows = fields.get(part)
        if rows is not None and not isinstance(rows, list):
            self._undecodable(part, f"{shorten(rows)} is not a list", "write a list")
            return
        if part == "routes" and not rows:
            self._add(
                Severity.WARNING,
                "no_queues",
                "",
                part,
                "there is no queue, so that every call is answered as not found",
                "add the queues unless all of them are to be removed",
            )
        for number, row in enumerate(rows or []):
            label = f"{part}[{number}]"
            if not isinstance(row, dict):
                self._left_out(label, "", f"{shorten(row)} is not a map", "write a map")
                continue
            name = row.get("name")
            if isinstance(name, str):
                label += f" {json.dumps(name)}"
            yield label, name if isinstance(name, str) else "", row

    def _left_out(self, label: str, field: str, message: str, remedy: str) -> None:
        self._add(
            Severity.ERROR,
            "entry_left_out",
            label,
            field,
            f"the entry is left out: {message}",
            remedy,
        )

    def _queue(self, label: str, name: str, row: dict[str, Any]) -> DraftQueue:
        self._check_unknown(label, row, "routes")
        queue = self._decode_queue(label, row)
        advice = row.get("advice")
        if isinstance(advice, dict):
            self._check_unknown(label, advice, "advice")
        else:
            advice = {}
        if "advice" in row and queue is not None and not advice:
            self._add(
                Severity.WARNING,
                "advice_empty",
                label,
                "advice",
                "without a time in it the placement service is not asked",
                "give the time of a decision or remove the field",
            )
        for field in WHOLE_NUMBERS:
            self._check_whole(label, row, field)
        timeout = self._unused_number(label, row, "timeoutMs")
        validity = self._unused_number(label, advice, "validityMs", "advice.")
        return DraftQueue(label, name, row, queue, _seconds(timeout), _seconds(validity))

    def _decode_queue(self, label: str, row: dict[str, Any]) -> Queue | None:
        """Return the decoded queue, or record each field that prevents it."""
        try:
            return decode_queue(row)
        except MALFORMED as error:
            before = len(self.findings)
            for field in MINIMAL_ROUTE:
                if field not in row:
                    self._left_out(label, field, "the field is missing", "add it")
            for field in row:
                self._try_field(label, field, row[field])
            if len(self.findings) == before:
                self._left_out(label, "", str(error), "correct the entry")
            return None

    def _try_field(self, label: str, field: str, value: Any) -> None:
        try:
            decode_queue({**MINIMAL_ROUTE, field: value})
        except MALFORMED as error:
            self._left_out(label, field, str(error), "correct the value")

    def _service(self, label: str, name: str, row: dict[str, Any]) -> DraftService:
        self._check_unknown(label, row, "services")
        try:
            check_text(row["name"])
        except KeyError:
            self._left_out(label, "name", "the field is missing", "add it")
        except MALFORMED as error:
            self._left_out(label, "name", str(error), "name the service")
        for field in FLAGS:
            if field in row and not isinstance(row[field], bool):
                self._add(
                    Severity.WARNING,
                    "flag_malformed",
                    label,
                    field,
                    f"{shorten(row[field])} is taken for {json.dumps(bool(row[field]))}",
                    "write true or false",
                )
        return DraftService(label, name, row, bool(row.get("standby")))

    def _limits(self, fields: dict[str, Any]) -> DraftLimits:
        limits = fields.get("limits") or {}
        if not isinstance(limits, dict):
            self._undecodable("limits", f"{shorten(limits)} is not a map", "write a map")
            limits = {}
        self._check_unknown("limits", limits, "limits")
        return DraftLimits(
            self._unused_number("limits", limits, "maxHeaderBytes"),
            self._max_body(limits),
            _seconds(self._unused_number("limits", limits, "headerTimeoutMs")),
            _seconds(self._unused_number("limits", limits, "idleTimeoutMs")),
            limits,
        )

    def _max_body(self, limits: dict[str, Any]) -> float | None:
        if "maxBodyBytes" not in limits:
            return None
        try:
            size = check_count(limits["maxBodyBytes"])
        except MALFORMED as error:
            self._undecodable("limits.maxBodyBytes", str(error), "use a whole number")
            return None
        self._check_whole("limits", limits, "maxBodyBytes")
        return size

    def _unused_number(
        self, label: str, fields: dict[str, Any], field: str, path: str = ""
    ) -> float | None:
        """Return a number that the daemons do not decode, or None if it is absent or malformed."""
        if fields.get(field) is None:
            return None
        try:
            return check_number(fields[field])
        except MALFORMED as error:
            self._add(
                Severity.WARNING,
                "value_malformed",
                label,
                path + field,
                str(error),
                "correct the value",
            )
            return None

    def _check_whole(self, label: str, fields: dict[str, Any], field: str) -> None:
        value = fields.get(field)
        if isinstance(value, float) and not value.is_integer():
            self._add(
                Severity.WARNING,
                "fraction_dropped",
                label,
                field,
                f"{value!r} is taken for {math.trunc(value)}",
                "use a whole number",
            )

    def _check_unknown(self, label: str, fields: dict[str, Any], part: str) -> None:
        known = KNOWN_FIELDS[part]
        path = "advice." if part == "advice" else ""
        for field in fields:
            if field in known:
                continue
            similar = get_close_matches(field, known, 1)
            severity = Severity.WARNING if similar else Severity.NOTICE
            remedy = f"write {similar[0]} if that is meant" if similar else "check its spelling"
            self._add(
                severity,
                "field_unknown",
                label,
                path + field,
                "the daemons have no field of this name and ignore it",
                remedy,
            )

    def _check_decoder(self, data: bytes) -> None:
        """Record what the decoder of the daemons refuses and nothing above has found."""
        codes = {finding.code for finding in self.findings}
        ignored: list[Exception] = []
        try:
            decode_catalog(data, ignored.append)
        except InvalidInput as error:
            if "cannot_be_decoded" not in codes:
                self._undecodable("", error.message, error.remedy)
        if ignored and "entry_left_out" not in codes:
            self._left_out("", "", str(ignored[0]), "correct the entry")


def _seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000
