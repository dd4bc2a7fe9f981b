"""Counters and latency histograms, served as text."""

from __future__ import annotations

from typing import Any

from gevent.pywsgi import WSGIServer
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from acaciastand.wire.connection import split_address

LATENCY_BUCKETS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)

# Name -> meaning of its label value, and description.
COUNTERS = {
    "requests": ("outcome", "Calls of callers by kind of answer."),
    "store_calls": ("outcome", "Calls to the store, as call.outcome."),
    "configuration_calls": (
        "outcome",
        "Calls to the store about the configuration: reads by cause, watches by outcome.",
    ),
    "advice": ("outcome", "Questions to the placement service."),
    "store_relay_failed": ("call", "Store calls that another entry could not make either."),
    "worker_calls_failed": ("call", "Calls to the worker without a usable answer."),
    "worker_crashes": ("", "Crashes of the worker that this agent has seen."),
    "decisions": ("what", "Decisions of the owner of the jobs."),
    "speculative_copies": (
        "outcome",
        "Copies of tasks that were started, were done first or ended otherwise, with the reason.",
    ),
    "agents_dropped": (
        "outcome",
        "Agents dropped by the owner after a long silence, by what became of the registration.",
    ),
    "announcements_ignored": ("why", "Announcements that name no worker."),
    "unexpected_errors": (
        "loop",
        "Loops that failed with an unexpected error and were begun again.",
    ),
    "refusals": (
        "outcome",
        "Submissions without capacity, as outcome.queue: worthless ones are refused, those that may"
        " be stored already are not.",
    ),
    "values_ignored": (
        "source",
        "Stored items and parts of messages that cannot be decoded and were skipped.",
    ),
}
HISTOGRAMS = {
    "request_seconds": ("call", "Time from the arrival of a call to its answer."),
    "commit_seconds": ("", "Time of one commit to the store."),
    "start_seconds": ("", "Time from the decision to start a run to the worker's answer."),
    "job_seconds": ("queue", "Time from the submission of a job to its stored end."),
    "loop_lag_seconds": ("", "Delay of a timer of the event loop."),
}
GAUGES = {
    "owner_epoch": ("", "Epoch of this entry as owner; 0 while it is not."),
    "configuration_version": ("", "Version of the configuration in use."),
    "configuration_age_seconds": ("", "Time since the store last confirmed the configuration."),
    "waiting_tasks": ("", "Tasks that wait for room."),
    "excluded_workers": ("why", "Workers that get no new work, by the rule that keeps it off."),
    "backlog_core_seconds": ("priority", "Accepted work that is still worth something."),
    "drain_cores": ("", "Core-seconds of work that the workers do in a second."),
    "drained_zones": ("", "Zones that the operators drain, as the owner knows them."),
    "drained_zone_runs": ("why", "Runs in drained zones by the reason for which they stay."),
    "zone_drains_age_seconds": (
        "",
        "Time since the store last confirmed to the owner which zones are drained.",
    ),
}
MAX_LABEL_VALUES = 64  # of one metric; later values are counted as "other"


class Metrics:
    """Metrics of one process; no method raises or blocks."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._metrics: dict[str, Any] = {}
        self._values: dict[str, set[str]] = {}
        for kind, table in ((Counter, COUNTERS), (Gauge, GAUGES)):
            for name, (label, text) in table.items():
                labels = [label] if label else []
                self._metrics[name] = kind(
                    f"acaciastand_{name}", text, labels, registry=self.registry
                )
        for name, (label, text) in HISTOGRAMS.items():
            labels = [label] if label else []
            self._metrics[name] = Histogram(
                f"acaciastand_{name}",
                text,
                labels,
                registry=self.registry,
                buckets=LATENCY_BUCKETS,
            )

    def count(self, name: str, label: str = "") -> None:
        """Add one to a counter."""
        self._child(name, label).inc()

    def observe(self, name: str, seconds: float, label: str = "") -> None:
        """Add a duration to a histogram."""
        self._child(name, label).observe(seconds)

    def set(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""
        self._child(name, label).set(value)

    def text(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self.registry)

    def _child(self, name: str, label: str) -> Any:
        metric = self._metrics[name]
        if not label:
            return metric
        seen = self._values.setdefault(name, set())
        if label not in seen and len(seen) >= MAX_LABEL_VALUES:
            label = "other"
        seen.add(label)
        return metric.labels(label)


def serve_metrics(address: str, metrics: Metrics) -> WSGIServer:
    """Serve the metrics at every path of `address`; the caller starts and stops the server."""

    def answer(_environ: dict[str, Any], start_response: Any) -> list[bytes]:
        start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
        return [metrics.text()]

    return WSGIServer(split_address(address), answer, log=None)
