"""Results of a load run and their comparison with what the targets executed."""

from __future__ import annotations

from collections import Counter
from typing import Any

import numpy as np

from acaciastand.record import Record
from acaciastand_lab.load_plan import Arrival

PERCENTILES = (50.0, 99.0, 99.9)
ANSWERED = "answered"
NOT_RUN = "not_run"
MAX_PROBLEMS = 20  # printed violations


class Result(Record):
    """What became of one arrival.

    Parameters
    ----------
    seconds
        From the planned arrival to the answer, so that waiting in the generator counts.
    outcome
        ``answered``, ``not_run``, ``unknown``, ``lost`` (no HTTP answer) or ``not_sent``.
    code
        Code of a refusal.
    request_id
        Id that the entry assigned; empty when there was no answer.
    """

    __slots__ = ("arrival", "seconds", "outcome", "code", "request_id")

    def __init__(
        self, arrival: Arrival, seconds: float, outcome: str, code: str = "", request_id: str = ""
    ) -> None:
        self.arrival = arrival
        self.seconds = seconds
        self.outcome = outcome
        self.code = code
        self.request_id = request_id


def summarize(results: list[Result], double_at: float) -> dict[str, Any]:
    """Return counts, refusals by code and latency percentiles in milliseconds."""
    dry = [result for result in results if double_at < 0 or result.arrival.at < double_at]
    rain = [result for result in results if 0 <= double_at <= result.arrival.at]
    refused = [result for result in results if result.code]
    return {
        "arrivals": len(results),
        "outcomes": dict(Counter(result.outcome for result in results)),
        "refusals": dict(Counter(f"{item.outcome}.{item.code}" for item in refused)),
        "dry_ms": _percentiles(dry),
        "rain_ms": _percentiles(rain),
    }


def _percentiles(results: list[Result]) -> dict[str, float]:
    latencies = [result.seconds * 1000 for result in results if result.outcome == ANSWERED]
    if not latencies:
        return {}
    values = np.percentile(latencies, PERCENTILES)
    named = {
        f"p{name:g}": round(float(value), 2)
        for name, value in zip(PERCENTILES, values, strict=True)
    }
    return {"answered": len(latencies), **named}


def violations(results: list[Result], audits: list[dict[str, Any]]) -> list[str]:
    """Return what contradicts the properties, from the targets' counts of executions.

    A request that was refused as not run must not have run, an answered one must have run, and a
    non-idempotent one must not have run twice.
    """
    by_request: Counter[str] = Counter()
    by_key: Counter[str] = Counter()
    for audit in audits:
        by_request.update(audit["executions_by_request"])
        by_key.update(audit["executions_by_key"])
    problems = [problem for result in results for problem in _check(result, by_request, by_key)]
    return problems[:MAX_PROBLEMS]


def _check(result: Result, by_request: Counter[str], by_key: Counter[str]) -> list[str]:
    key = result.arrival.key
    ran = by_request[result.request_id] if result.request_id else 0
    name = f"request {result.arrival.number} ({result.request_id or 'no id'})"
    problems = []
    if result.outcome == NOT_RUN and ran:
        problems.append(f"{name} was refused as not run and ran {ran} times")
    if result.outcome == ANSWERED and not ran:
        problems.append(f"{name} was answered and did not run")
    if not result.arrival.idempotent and ran > 1:
        problems.append(f"{name} is not idempotent and ran {ran} times")
    if key and by_key[key] > 1:
        problems.append(f"key {key} ran {by_key[key]} times")
    return problems
