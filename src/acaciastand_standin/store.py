"""HTTP stand-in of the platform's key-value service.

Calls are ``POST /v1/store/<call>`` with a CBOR array of arguments:

========  ============================================  ===============================
call      arguments                                     result
========  ============================================  ===============================
get       key                                           [key, value, version] or null
put       key, value, expected version, lease or null   new version
delete    key, expected version                         null
list      prefix                                        array of [key, value, version]
watch     key, known version, timeout in seconds        [key, value, version] or null
grant     time to live in seconds                       lease id
renew     lease id                                      null
revoke    lease id                                      null
========  ============================================  ===============================

The answer is the result in CBOR with status 200, or an array [code, message, remedy] with the
status of the error. POST is used for reads as well, so that no HTTP library repeats a call.

Administration, in JSON and not counted: ``GET /v1/admin/counts``, ``POST /v1/admin/faults`` (see
`Faults`) and ``DELETE /v1/admin/faults``, which ends all faults.
"""

from __future__ import annotations

import socket
import sys
import time
from collections.abc import Callable
from typing import Any

import cbor2
import falcon
import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

from acaciastand.coordination import (
    ALL_KINDS,
    CallKind,
    FaultKind,
    FaultPlan,
    MemoryStore,
    StoreAnswerLost,
    Versioned,
)
from acaciastand.errors import AcaciastandError, InvalidInput
from acaciastand_standin.serving import serve_until_signal, split_address

MAX_WATCH_SECONDS = 300.0  # longer watches return after this time
MAX_CONNECTIONS = 10_000  # connections served at once; further ones wait to be accepted
MAX_BODY_BYTES = 1_100_000  # a value of one megabyte and its key
UNTIL_CLEARED = 1 << 62  # calls of a rule that ends only when the faults are cleared
CBOR = "application/cbor"


class Faults:
    """Faults of the service, switched by ``POST /v1/admin/faults``.

    The body is an object; all members are optional: ``outage`` (bool) refuses every call;
    ``slow_seconds`` delays each call before its effect; ``errors`` and ``lost_answers`` (arrays of
    call names) refuse these calls, or apply them and close the connection; ``calls`` limits
    ``errors`` and ``lost_answers`` of this request to the next so many matching calls;
    ``key_prefix`` limits them to keys with this prefix.
    """

    __slots__ = ("plan", "slow_seconds")

    def __init__(self) -> None:
        self.plan = FaultPlan()
        self.slow_seconds = 0.0

    def change(self, wanted: dict[str, Any]) -> None:
        """Apply the members of one request."""
        self.plan.outage = bool(wanted.get("outage", self.plan.outage))
        self.slow_seconds = float(wanted.get("slow_seconds", self.slow_seconds))
        calls = int(wanted.get("calls", UNTIL_CLEARED))
        prefix = str(wanted.get("key_prefix", ""))
        for member, fault in (
            ("errors", FaultKind.UNAVAILABLE),
            ("lost_answers", FaultKind.LOSE_ANSWER),
        ):
            if member in wanted:
                self.plan.add(fault, _kinds(wanted[member]), prefix, calls)

    def clear(self) -> None:
        """End all faults."""
        self.plan.clear()
        self.slow_seconds = 0.0


class _StoppingError(Exception):
    """Ends a watch that waits while the service stops."""


class StoreService:
    """The store behind the HTTP resources."""

    __slots__ = ("changed", "faults", "store", "value_bytes", "calls", "stopping")

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.faults = Faults()
        self.changed = Event()
        self.stopping = False
        self.store = MemoryStore(clock, self.faults.plan, self._wait)
        self.value_bytes = 0  # bytes of all values in put calls
        self.calls: dict[CallKind, Callable[..., Any]] = {
            CallKind.GET: self.store.get,
            CallKind.PUT: self.store.put_if,
            CallKind.DELETE: self.store.delete_if,
            CallKind.LIST: self.store.list,
            CallKind.WATCH: self._watch,
            CallKind.GRANT: self.store.grant_lease,
            CallKind.RENEW: self.store.renew_lease,
            CallKind.REVOKE: self.store.revoke_lease,
        }

    def call(self, kind: CallKind, arguments: list[Any]) -> Any:
        """Run one call and return its result as a CBOR-friendly value."""
        if self.faults.slow_seconds:
            gevent.sleep(self.faults.slow_seconds)
        if kind is CallKind.PUT:
            self.value_bytes += len(arguments[1])
        try:
            return _plain(self.calls[kind](*arguments))
        finally:
            if kind in (CallKind.PUT, CallKind.DELETE, CallKind.REVOKE):
                self._notify()

    def _watch(self, key: str, after_version: int, timeout_seconds: float) -> Versioned | None:
        try:
            return self.store.watch(key, after_version, min(timeout_seconds, MAX_WATCH_SECONDS))
        except _StoppingError:
            return None

    def stop(self) -> None:
        """End all waiting watches as at their timeout; further ones do not wait."""
        self.stopping = True
        self._notify()

    def _wait(self, seconds: float) -> None:
        if not self.stopping:
            self.changed.wait(seconds)
        if self.stopping:
            raise _StoppingError

    def _notify(self) -> None:
        """Wake all watches; those of other keys go back to waiting."""
        changed, self.changed = self.changed, Event()
        changed.set()


class CallResource:
    """``/v1/store/{call}``."""

    def __init__(self, service: StoreService) -> None:
        self.service = service

    def on_post(self, request: falcon.Request, response: falcon.Response, call: str) -> None:
        """Answer one call of the store."""
        response.content_type = CBOR
        try:
            kind, arguments = _parse(call, request.bounded_stream.read(MAX_BODY_BYTES + 1))
            response.data = cbor2.dumps(self.service.call(kind, arguments))
        except StoreAnswerLost:
            raise
        except AcaciastandError as error:
            response.status = error.http_status
            response.data = cbor2.dumps([error.code, error.message, error.remedy])


class CountsResource:
    """``/v1/admin/counts``."""

    def __init__(self, service: StoreService) -> None:
        self.service = service

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the number of calls by kind and the bytes of all written values."""
        counts = self.service.faults.plan.calls
        response.media = {
            "calls": {kind.value: counts[kind] for kind in CallKind},
            "value_bytes": self.service.value_bytes,
        }


class FaultsResource:
    """``/v1/admin/faults``."""

    def __init__(self, service: StoreService) -> None:
        self.service = service

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Switch faults on or off."""
        try:
            self.service.faults.change(request.media)
        except (AcaciastandError, TypeError, ValueError) as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error

    def on_delete(self, request: falcon.Request, response: falcon.Response) -> None:
        """End all faults."""
        self.service.faults.clear()


class _Handler(WSGIHandler):
    """Closes the connection without an answer when an answer is to be lost."""

    def __init__(self, sock: Any, address: Any, server: WSGIServer) -> None:
        # pywsgi writes head and body separately; without this option each call took 44 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        if isinstance(error, StoreAnswerLost):
            self.close_connection = True
            return
        super().handle_error(kind, error, trace)


def create_app(service: StoreService) -> falcon.App:
    """Return the WSGI application of the service."""
    app = falcon.App()
    app.add_error_handler(StoreAnswerLost, _reraise)
    app.add_route("/v1/store/{call}", CallResource(service))
    app.add_route("/v1/admin/counts", CountsResource(service))
    app.add_route("/v1/admin/faults", FaultsResource(service))
    return app


def create_server(
    listen: str, service: StoreService, max_connections: int = MAX_CONNECTIONS
) -> WSGIServer:
    """Return a server for `service` that is not started yet."""
    return WSGIServer(
        split_address(listen),
        create_app(service),
        spawn=max_connections,
        log=None,
        error_log=sys.stderr,
        handler_class=_Handler,
    )


def serve(listen: str) -> None:
    """Serve the key-value service at ``ip:port`` until SIGTERM or SIGINT."""
    service = StoreService()
    serve_until_signal(create_server(listen, service), "store", service.stop)


def _reraise(_request: Any, _response: Any, error: Exception, _params: Any) -> None:
    raise error


def _parse(call: str, body: bytes) -> tuple[CallKind, list[Any]]:
    try:
        kind = CallKind(call)
        arguments = cbor2.loads(body)
    except (ValueError, cbor2.CBORDecodeError) as error:
        raise _bad_call(call) from error
    if len(body) > MAX_BODY_BYTES or not isinstance(arguments, list):
        raise _bad_call(call)
    return kind, arguments


def _bad_call(call: str) -> InvalidInput:
    return InvalidInput(
        f"{call!r} is not a call with its arguments",
        f"send a CBOR array of at most {MAX_BODY_BYTES} bytes to a documented call",
    )


def _kinds(names: list[str]) -> frozenset[CallKind]:
    if not isinstance(names, list):
        raise ValueError("kinds must be an array of call names, or ['all']")
    return ALL_KINDS if names == ["all"] else frozenset(CallKind(name) for name in names)


def _plain(result: Any) -> Any:
    if isinstance(result, Versioned):
        return list(result.values())
    if isinstance(result, list):
        return [list(item.values()) for item in result]
    return result
