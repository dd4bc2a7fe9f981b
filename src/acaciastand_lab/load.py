"""Open-loop load generator: ``acaciastand-load``.

Arrivals follow their plan however slow the answers are, and latency counts from the planned
arrival. Only loopback addresses are accepted.
"""

from __future__ import annotations

import json
import sys
import time
from ipaddress import ip_address
from typing import Annotated, Any
from urllib.parse import urlsplit

import gevent
import typer
from gevent.pool import Pool
from geventhttpclient import HTTPClient

from acaciastand.errors import AcaciastandError, InvalidInput
from acaciastand_lab.load_plan import Arrival, LoadOptions, draw_arrivals
from acaciastand_lab.load_report import ANSWERED, Result, summarize, violations

MAX_IN_FLIGHT = 2048  # later arrivals are counted as not sent
GRACE_SECONDS = 5.0  # for the last answers after their timeout
OK = 200


class LoadRun:
    """Sends the arrivals of a plan to one entry.

    Parameters
    ----------
    url
        Base URL of an entry on loopback.
    service
        Service to ask.
    """

    def __init__(self, url: str, service: str, options: LoadOptions) -> None:
        self.options = options
        self.path = f"/v1/services/{service}/requests"
        self.results: list[Result] = []
        self._pool = Pool(MAX_IN_FLIGHT)
        timeout = options.timeout_ms / 1000 + GRACE_SECONDS
        self._client = client_of(url, timeout, MAX_IN_FLIGHT)

    def run(self) -> list[Result]:
        """Return one result for each arrival, in the order of their ends."""
        arrivals = draw_arrivals(self.options)
        started = time.monotonic()
        for arrival in arrivals:
            gevent.sleep(max(started + arrival.at - time.monotonic(), 0.0))
            if self._pool.full():
                self.results.append(Result(arrival, 0.0, "not_sent", "generator_full"))
            else:
                self._pool.spawn(self._send, arrival, started)
        self._pool.join(timeout=self.options.timeout_ms / 1000 + 2 * GRACE_SECONDS)
        self._client.close()
        return self.results

    def _send(self, arrival: Arrival, started: float) -> None:
        try:
            response = self._client.post(
                self.path, f"arrival {arrival.number}", _headers(self, arrival)
            )
            status, body = response.status_code, bytes(response.read())
        except Exception as error:  # the client raises errors of several libraries
            seconds = time.monotonic() - started - arrival.at
            self.results.append(Result(arrival, seconds, "lost", type(error).__name__))
            return
        seconds = time.monotonic() - started - arrival.at
        self.results.append(
            _result(arrival, seconds, status, body, str(response.get("request-id") or ""))
        )


def _headers(run: LoadRun, arrival: Arrival) -> dict[str, str]:
    headers = {
        "Request-Timeout-Ms": str(run.options.timeout_ms),
        "Idempotent": "true" if arrival.idempotent else "false",
    }
    if arrival.key:
        headers |= {"Idempotency-Key": arrival.key, "Attempt-Number": "1"}
    return headers


def _result(arrival: Arrival, seconds: float, status: int, body: bytes, request_id: str) -> Result:
    if status == OK:
        return Result(arrival, seconds, ANSWERED, "", request_id)
    error = json.loads(body)
    return Result(arrival, seconds, str(error["outcome"]), error["code"], request_id)


def client_of(url: str, timeout_seconds: float, concurrency: int) -> HTTPClient:
    """Return a client of an HTTP server on loopback.

    Raises
    ------
    InvalidInput
        The address is not on loopback.
    """
    parts = urlsplit(url)
    host = parts.hostname or ""
    try:
        loopback = ip_address(host).is_loopback
    except ValueError:
        loopback = False
    if not loopback or parts.port is None:
        raise InvalidInput(f"{url!r} is not on loopback", "use http://127.0.0.1:<port>")
    return HTTPClient(
        host,
        parts.port,
        concurrency=concurrency,
        connection_timeout=timeout_seconds,
        network_timeout=timeout_seconds,
    )


def read_audit(url: str) -> dict[str, Any]:
    """Return what the target stand-in at `url` executed."""
    client = client_of(url, GRACE_SECONDS, 1)
    try:
        return json.loads(bytes(client.get("/v1/audit").read()))
    finally:
        client.close()


def measure(url: str, service: str, options: LoadOptions, audit_urls: list[str]) -> dict[str, Any]:
    """Run the load and return the report."""
    results = LoadRun(url, service, options).run()
    report = summarize(results, options.double_at)
    if audit_urls:
        report["violations"] = violations(results, [read_audit(item) for item in audit_urls])
    return report


def load(
    url: Annotated[str, typer.Option(help="Base URL of an entry on loopback.")],
    service: Annotated[str, typer.Option(help="Service to ask.")] = "order-desk",
    rate: Annotated[float, typer.Option(help="Mean arrivals per second.")] = 100.0,
    seconds: Annotated[float, typer.Option(help="Length of the run.")] = 10.0,
    double_at: Annotated[float, typer.Option(help="Second of the doubling; -1: never.")] = -1.0,
    seed: Annotated[int, typer.Option(help="Seed of all draws.")] = 1,
    idempotent: Annotated[float, typer.Option(help="Share of idempotent requests.")] = 0.5,
    keyed: Annotated[float, typer.Option(help="Share of the others with a key.")] = 0.0,
    timeout_ms: Annotated[int, typer.Option(help="Deadline of each request.")] = 2000,
    audit: Annotated[
        list[str] | None, typer.Option(help="Base URL of a target stand-in; repeatable.")
    ] = None,
) -> None:
    """Send open-loop load to an entry and print a JSON report; exit code 1 on violations."""
    options = LoadOptions(rate, seconds, double_at, seed, idempotent, keyed, timeout_ms)
    try:
        report = measure(url, service, options, audit or [])
    except AcaciastandError as error:
        print(f"acaciastand-load: {error}", file=sys.stderr)
        raise typer.Exit(error.exit_code) from None
    print(json.dumps(report, indent=2))
    if report.get("violations"):
        raise typer.Exit(1)


def main() -> None:
    """Run the command line."""
    typer.run(load)


if __name__ == "__main__":
    main()
