"""Operators' HTTP interface to the settings tree."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import falcon

from acaciastand.entry.http_errors import read_body
from acaciastand.entry.settings_service import SettingsService
from acaciastand.errors import InvalidInput
from acaciastand.settings.confirmation import InForce
from acaciastand.settings.edits import Edit

InForceSource = Callable[[], InForce]


def add_settings_routes(app: falcon.App, service: SettingsService, in_force: InForceSource) -> None:
    """Mount the settings resources.

    Parameters
    ----------
    app
        WSGI application of the entry, with the handlers of `add_error_handlers`.
    service
        Settings of this entry.
    in_force
        Returns what is known about the revision in force.
    """
    app.add_route("/v1/settings", TreeResource(service, in_force))
    app.add_route("/v1/settings/{place:path}", ValueResource(service))
    app.add_route("/v1/settings-history", HistoryResource(service))


class TreeResource:
    """The whole tree: reading it, and several edits as one revision."""

    def __init__(self, service: SettingsService, in_force: InForceSource) -> None:
        self.service = service
        self.in_force = in_force

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return overrides, revision and the revision in force."""
        report = self.in_force()
        response.media = {
            "revision": self.service.revision,
            "in_force": report.revision,
            "lagging": report.lagging,
            "lagging_count": report.lagging_count,
            "unreachable": report.unreachable,
            "tree": self.service.tree(),
        }

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Apply all edits of the body as one revision, or none."""
        body = _read_object(request, ("edits", "if_revision", "author"))
        edits = [_read_edit(item) for item in _list_of_edits(body["edits"])]
        revision = self.service.edit_all(edits, body["if_revision"], body["author"])
        response.media = {"revision": revision}


class ValueResource:
    """One key at one path."""

    def __init__(self, service: SettingsService) -> None:
        self.service = service

    def on_get(self, _request: falcon.Request, response: falcon.Response, place: str) -> None:
        """Return the effective value and the level that it comes from."""
        path, key = _split_place(place)
        found = self.service.value(path, key)
        response.media = {
            "path": path,
            "key": key,
            "value": found.value,
            "level": found.path or "default",
            "author": found.author,
            "changed_at_revision": found.revision,
            "revision": self.service.revision,
        }

    def on_put(self, request: falcon.Request, response: falcon.Response, place: str) -> None:
        """Override the value."""
        path, key = _split_place(place)
        body = _read_object(request, ("value", "if_revision", "author"))
        if body["value"] is None:
            raise InvalidInput("the value is null", "send DELETE to remove an override")
        revision = self.service.edit(path, key, body["value"], body["if_revision"], body["author"])
        response.media = {"revision": revision}

    def on_delete(self, request: falcon.Request, response: falcon.Response, place: str) -> None:
        """Remove the override."""
        path, key = _split_place(place)
        if_revision = _query_revision(request)
        author = request.get_param("author") or ""
        response.media = {"revision": self.service.unset(path, key, if_revision, author)}


class HistoryResource:
    """Accepted edits, the newest first."""

    def __init__(self, service: SettingsService) -> None:
        self.service = service

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the edits that are still remembered."""
        names = ("revision", "path", "key", "value", "author", "edited_at")
        response.media = {
            "revision": self.service.revision,
            "history": [
                {name: getattr(item, name) for name in names}
                for item in reversed(self.service.history())
            ],
        }


def _split_place(place: str) -> tuple[str, str]:
    path, _, key = place.rpartition("/")
    if not path:
        raise InvalidInput(
            f"{place!r} does not name a path and a key", "use /v1/settings/{path}/{key}"
        )
    return path, key


def _query_revision(request: falcon.Request) -> int:
    text = request.get_param("if_revision") or ""
    if not text.isascii() or not text.isdecimal() or len(text) > len(str(2**63)):
        raise InvalidInput(
            f"if_revision {text[:40]!r} is not a revision",
            "add ?if_revision=N with the revision that the edit is based on",
        )
    return int(text)


def _read_object(request: falcon.Request, names: tuple[str, ...]) -> dict[str, Any]:
    data = read_body(request)
    remedy = f"send a JSON object with {', '.join(names)}"
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise InvalidInput(f"the body is not JSON: {error}", remedy) from None
    if not isinstance(body, dict) or set(body) != set(names):
        raise InvalidInput("the body has missing or unknown fields", remedy)
    return body


def _list_of_edits(items: Any) -> list[Any]:
    if not isinstance(items, list):
        raise InvalidInput("edits is not a list", "send a list of {path, key, value}")
    return items


def _read_edit(item: Any) -> Edit:
    if not isinstance(item, dict) or set(item) != {"path", "key", "value"}:
        raise InvalidInput("an edit has missing or unknown fields", "send {path, key, value}")
    return Edit(item["path"], item["key"], item["value"])
