"""Reports the ends of attempts until their owners confirm that they are committed."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import gevent.pool

from acaciastand.agent.executor import CounterSink
from acaciastand.agent.link import Link
from acaciastand.agent.links import Links
from acaciastand.errors import AcaciastandError
from acaciastand.host import Attempt, Host
from acaciastand.wire.messages import AttemptReport, ReportConfirmed

REPORT_SECONDS = 5.0  # the owner answers after its commit, which takes up to 2 s
REPORT_INTERVAL_SECONDS = 0.1
MAX_REPORTS_AT_ONCE = 16


class Reporter:
    """Sends each result to the owner of its shard, again and again until it is confirmed."""

    def __init__(
        self, host: Host, links: Links, counters: CounterSink, clock: Callable[[], float]
    ) -> None:
        self.host = host
        self.links = links
        self.counters = counters
        self.clock = clock
        self._sending: set[tuple[str, int]] = set()
        self._pool = gevent.pool.Pool(MAX_REPORTS_AT_ONCE)

    def run(self) -> None:
        """Report until killed."""
        while True:
            for attempt in self.host.unconfirmed_attempts():
                self._consider(attempt)
            gevent.sleep(REPORT_INTERVAL_SECONDS)

    def send_once(self, link: Link, report: AttemptReport) -> None:
        """Send a report in the background without repeating it."""
        self._pool.spawn(self._ask, link, report)

    def _consider(self, attempt: Attempt) -> None:
        name = (attempt.task_id, attempt.number)
        link = self.links.owner_of(attempt.grant.shard)
        if link is None or name in self._sending or self._pool.full():
            return
        self._sending.add(name)
        self._pool.spawn(self._report, link, attempt)

    def _report(self, link: Link, attempt: Attempt) -> None:
        try:
            if self._ask(link, _report_of(attempt)):
                self.host.confirm_result(attempt.task_id, attempt.number, self.clock())
            else:
                gevent.sleep(REPORT_INTERVAL_SECONDS)
        finally:
            self._sending.discard((attempt.task_id, attempt.number))

    def _ask(self, link: Link, report: AttemptReport) -> bool:
        if link.connection is None:
            return False
        try:
            reply = link.connection.request(report, REPORT_SECONDS)
        except AcaciastandError:
            self.counters.increment("agent.reports.repeated")
            return False
        return (
            isinstance(reply, ReportConfirmed)
            and reply.task_id == report.task_id
            and reply.attempt == report.attempt
        )


def _report_of(attempt: Attempt) -> AttemptReport:
    assert attempt.result is not None
    return AttemptReport(
        attempt.grant.shard,
        attempt.task_id,
        attempt.number,
        attempt.result,
        attempt.end_checkpoint,
        attempt.observed,
        attempt.run_seconds,
        attempt.detail,
    )
