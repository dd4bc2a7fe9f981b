"""Reports of ended attempts to the owners of their shards."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import gevent.pool

from acaciastand.agent.entry_link import EntryLink
from acaciastand.agent.entry_link_pool import EntryLinkPool
from acaciastand.agent.executor import CounterSink
from acaciastand.errors import AcaciastandError
from acaciastand.host import Attempt, Host
from acaciastand.wire.messages import AttemptReport, ReportConfirmed

REPORT_TIMEOUT_SECONDS = 5.0  # The owner replies after its commit, which takes up to 2 s.
REPORT_INTERVAL_SECONDS = 0.1
MAX_REPORTS_AT_ONCE = 16


class ResultReporter:
    """Sends each result to the owner of its shard, repeatedly until the owner confirms it.

    Owners confirm a result after they have committed it.
    """

    def __init__(
        self,
        host: Host,
        link_pool: EntryLinkPool,
        counters: CounterSink,
        clock: Callable[[], float],
    ) -> None:
        self.host = host
        self.link_pool = link_pool
        self.counters = counters
        self.clock = clock
        self._sending: set[tuple[str, int]] = set()
        self._pool = gevent.pool.Pool(MAX_REPORTS_AT_ONCE)

    def run(self) -> None:
        """Report all results that are not confirmed, until killed."""
        while True:
            for attempt in self.host.unconfirmed_attempts():
                self._report_if_possible(attempt)
            gevent.sleep(REPORT_INTERVAL_SECONDS)

    def send_once(self, link: EntryLink, report: AttemptReport) -> None:
        """Send a report in the background, without a repeat when it is not confirmed."""
        self._pool.spawn(self._send_report, link, report)

    def _report_if_possible(self, attempt: Attempt) -> None:
        name = (attempt.task_id, attempt.number)
        link = self.link_pool.owner_of(attempt.grant.shard)
        if link is None or name in self._sending or self._pool.full():
            return
        self._sending.add(name)
        self._pool.spawn(self._report_attempt, link, attempt)

    def _report_attempt(self, link: EntryLink, attempt: Attempt) -> None:
        try:
            if self._send_report(link, _attempt_report(attempt)):
                self.host.confirm_result(attempt.task_id, attempt.number, self.clock())
            else:
                gevent.sleep(REPORT_INTERVAL_SECONDS)
        finally:
            self._sending.discard((attempt.task_id, attempt.number))

    def _send_report(self, link: EntryLink, report: AttemptReport) -> bool:
        if link.connection is None:
            return False
        try:
            reply = link.connection.request(report, REPORT_TIMEOUT_SECONDS)
        except AcaciastandError:
            self.counters.increment("agent.reports.repeated")
            return False
        return (
            isinstance(reply, ReportConfirmed)
            and reply.task_id == report.task_id
            and reply.attempt == report.attempt
        )


def _attempt_report(attempt: Attempt) -> AttemptReport:
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
