"""Calls from the command line to an entry, with one typed error for each way to fail."""

from __future__ import annotations

import http.client
import json
from typing import Any

from acaciastand.errors import AcaciastandError, InvalidInput, Outcome
from acaciastand.programs.error_codes import exit_code_of
from acaciastand.settings.fields import is_address

MAX_ANSWER_BYTES = 4 << 20


class EntryUnreachable(AcaciastandError):
    """No connection to the entry; nothing was sent."""

    code = "entry_unreachable"
    outcome = Outcome.NOT_RUN
    http_status = 503
    exit_code = 8


class AnswerLost(AcaciastandError):
    """The connection ended before the answer; the call may have taken effect."""

    code = "answer_lost"
    outcome = Outcome.UNKNOWN
    http_status = 504
    exit_code = 6


class AnswerInvalid(AcaciastandError):
    """The answer is not one that an entry gives."""

    code = "answer_invalid"
    outcome = Outcome.UNKNOWN
    http_status = 502
    exit_code = 1


class RemoteError(AcaciastandError):
    """An error that the entry returned, with its code, outcome and exit code."""

    code = "remote_error"

    def __init__(
        self, status: int, code: str, outcome: str | None, message: str, remedy: str
    ) -> None:
        super().__init__(message, remedy)
        self.http_status = status
        self.code = code
        known = {item.value for item in Outcome}
        self.outcome = Outcome(outcome) if outcome in known else None
        self.exit_code = exit_code_of(code, status, self.outcome)


class Answer:
    """Status, headers and body of a successful call."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object.

        Raises
        ------
        AnswerInvalid
            The body is something else.
        """
        try:
            value = json.loads(self.body)
        except ValueError:
            value = None
        if not isinstance(value, dict):
            raise AnswerInvalid(
                "the answer is not a JSON object",
                "check that --entry names the HTTP address of an entry",
            )
        return value


class EntryClient:
    """Client of one entry; each call opens its own connection.

    Parameters
    ----------
    address
        ``ip:port`` of the entry's HTTP interface.
    timeout_seconds
        Longest wait for a connection and for each part of an answer.

    Raises
    ------
    InvalidInput
        The address is not ``ip:port``.
    """

    def __init__(self, address: str, timeout_seconds: float = 30.0) -> None:
        if not is_address(address):
            raise InvalidInput(
                f"{address!r} is not the address of an entry",
                "state --entry ip:port or set ACACIASTAND_ENTRY",
            )
        self.address = address
        self.timeout_seconds = timeout_seconds

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one call and return the answer.

        Raises
        ------
        EntryUnreachable, AnswerLost, AnswerInvalid
            There is no answer, or a foreign one.
        RemoteError
            The entry refused the call.
        """
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=self.timeout_seconds)
        try:
            self._connect(connection)
            answer = self._exchange(connection, method, path, body, headers or {})
        finally:
            connection.close()
        if answer.status >= 300:
            raise _remote_error(answer)
        return answer

    def send_json(self, method: str, path: str, value: Any) -> dict[str, Any]:
        """Send a JSON body and return the JSON answer."""
        body = json.dumps(value).encode("utf-8")
        return self.call(method, path, body, {"Content-Type": "application/json"}).json()

    def read(self, path: str) -> dict[str, Any]:
        """Return the JSON object at `path`."""
        return self.call("GET", path).json()

    def _connect(self, connection: http.client.HTTPConnection) -> None:
        try:
            connection.connect()
        except OSError as error:
            raise EntryUnreachable(
                f"cannot connect to entry {self.address}: {error}",
                "check the address, or state another entry with --entry",
            ) from None

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> Answer:
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            data = response.read(MAX_ANSWER_BYTES + 1)
        except (OSError, http.client.HTTPException) as error:
            raise AnswerLost(
                f"entry {self.address} did not answer: {error or type(error).__name__}",
                "look up the state before you repeat a call that changes something",
            ) from None
        if len(data) > MAX_ANSWER_BYTES:
            raise AnswerInvalid(
                f"the answer has more than {MAX_ANSWER_BYTES} bytes", "check the address"
            )
        return Answer(response.status, dict(response.getheaders()), data)


def _remote_error(answer: Answer) -> AcaciastandError:
    try:
        body = answer.json()
    except AnswerInvalid:
        body = {}
    return RemoteError(
        answer.status,
        str(body.get("code", "remote_error")),
        body.get("outcome"),
        str(body.get("message", f"the entry answered with status {answer.status}")),
        str(body.get("remedy", "check that --entry names the HTTP address of an entry")),
    )
