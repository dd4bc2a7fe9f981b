"""HTTP client of the platform's key-value service, on geventhttpclient."""

from __future__ import annotations

from typing import Any

import cbor2
import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from acaciastand.coordination import (
    KeyValueStore,
    LeaseLost,
    StoreAnswerLost,
    StoreFull,
    StoreUnavailable,
    ValueTooLarge,
    Versioned,
    VersionMismatch,
)
from acaciastand.errors import AcaciastandError, InvalidInput

MAX_CONNECTIONS = 64  # calls under way at once; watches come on top
READS = frozenset({"get", "list", "watch"})
CALL_ERRORS: dict[str, type[AcaciastandError]] = {
    error.code: error
    for error in (
        InvalidInput,
        LeaseLost,
        StoreFull,
        StoreUnavailable,
        ValueTooLarge,
        VersionMismatch,
    )
}


class HttpStore(KeyValueStore):
    """The platform's key-value service.

    Each call is sent once: POST requests are not repeated by the HTTP library, so a
    `VersionMismatch` never stems from an earlier, hidden attempt of the same call.

    Parameters
    ----------
    url
        Address of the service, for example ``http://127.0.0.1:7000``.
    timeout_seconds
        Longest wait for a whole answer, in seconds, with the wait for a connection; a watch has
        its own timeout on top.
    """

    def __init__(self, url: str, timeout_seconds: float) -> None:
        self.url = url
        self.timeout_seconds = timeout_seconds
        self._client = self._connect(timeout_seconds, MAX_CONNECTIONS)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def get(self, key: str) -> Versioned | None:
        """Return the current value of `key`; see `KeyValueStore.get`."""
        return _versioned(self._call("get", key))

    def put_if(
        self, key: str, value: bytes, expected_version: int, lease_id: int | None = None
    ) -> int:
        """Write by compare-and-swap; see `KeyValueStore.put_if`."""
        return int(self._call("put", key, value, expected_version, lease_id))

    def delete_if(self, key: str, expected_version: int) -> None:
        """Delete by compare-and-swap; see `KeyValueStore.delete_if`."""
        self._call("delete", key, expected_version)

    def watch(self, key: str, after_version: int, timeout_seconds: float) -> Versioned | None:
        """Wait for another version of `key`; see `KeyValueStore.watch`."""
        # A connection of its own: the answer may take `timeout_seconds` longer than that of other
        # calls, and waiting watches must not use up the connections of the pool.
        limit = self.timeout_seconds + timeout_seconds
        client = self._connect(limit, 1)
        try:
            arguments = (key, after_version, timeout_seconds)
            return _versioned(self._send(client, limit, "watch", *arguments))
        finally:
            client.close()

    def grant_lease(self, ttl_seconds: float) -> int:
        """Create a lease; see `KeyValueStore.grant_lease`."""
        return int(self._call("grant", ttl_seconds))

    def renew_lease(self, lease_id: int) -> None:
        """Extend a lease; see `KeyValueStore.renew_lease`."""
        self._call("renew", lease_id)

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; see `KeyValueStore.revoke_lease`."""
        self._call("revoke", lease_id)

    def list(self, prefix: str) -> list[Versioned]:
        """Return all keys with `prefix`; see `KeyValueStore.list`."""
        return [Versioned(*item) for item in self._call("list", prefix)]

    def _connect(self, answer_seconds: float, connections: int) -> HTTPClient:
        return HTTPClient.from_url(
            self.url,
            concurrency=connections,
            connection_timeout=self.timeout_seconds,
            network_timeout=answer_seconds,
        )

    def _call(self, call: str, *arguments: Any) -> Any:
        return self._send(self._client, self.timeout_seconds, call, *arguments)

    def _send(self, client: HTTPClient, limit: float, call: str, *arguments: Any) -> Any:
        try:
            # The client's own timeout covers one read; a slow answer has many.
            with gevent.Timeout(limit, TimeoutError(f"no whole answer within {limit:g} s")):
                response = client.post(f"/v1/store/{call}", body=cbor2.dumps(arguments))
                status, body = response.status_code, bytes(response.read())
        except ConnectionRefusedError as error:
            raise StoreUnavailable(
                f"the store at {self.url} refuses connections", "try again later"
            ) from error
        except (OSError, HTTPParseError) as error:
            raise _no_answer(call, str(error) or type(error).__name__) from error
        if status == 200:
            return cbor2.loads(body)
        raise _refusal(call, status, body)


def _versioned(item: Any) -> Versioned | None:
    return None if item is None else Versioned(*item)


def _no_answer(call: str, cause: str) -> AcaciastandError:
    if call in READS:
        return StoreUnavailable(f"the store did not answer {call} ({cause})", "try again later")
    return StoreAnswerLost(
        f"the store's answer to {call} was lost ({cause})",
        "read the key to learn whether it took effect",
    )


def _refusal(call: str, status: int, body: bytes) -> AcaciastandError:
    try:
        code, message, remedy = cbor2.loads(body)
        return CALL_ERRORS[code](message, remedy)
    except (KeyError, TypeError, ValueError, cbor2.CBORDecodeError):
        # A status without a known code says nothing about the effect, for example from a proxy.
        return _no_answer(call, f"status {status}")
