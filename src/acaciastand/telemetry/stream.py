"""Writes log lines to a pipe without ever blocking the process."""

from __future__ import annotations

import logging
import os
from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

from acaciastand.telemetry.logs import JsonFormatter, set_level

MAX_BUFFERED_BYTES = 1 << 20  # lines that wait for the reader of the pipe
LINES_PER_SECOND = 400  # budget of one process
BURST_LINES = 1_200


class BoundedStreamHandler(logging.Handler):
    """Buffers lines and writes them as the reader takes them; drops and counts the rest.

    Parameters
    ----------
    descriptor
        File descriptor of the pipe; it is made non-blocking.
    clock
        Monotonic seconds, for the budget.

    Attributes
    ----------
    dropped
        Lines dropped since the start, for the budget or because the reader is slow.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        super().__init__()
        self.setFormatter(JsonFormatter())
        self.descriptor = descriptor
        self.clock = clock
        self.dropped = 0
        self._reported = 0
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._allowance = float(BURST_LINES)
        self._refilled_at = clock()
        self._ready = Event()
        make_nonblocking(descriptor)
        self._writer = gevent.spawn(self._write_loop)

    def emit(self, record: logging.LogRecord) -> None:
        """Take a line into the buffer, or drop it."""
        if not self._within_budget():
            self.dropped += 1
            return
        self._put(self.format(record))

    def close(self) -> None:
        """Write what the reader takes at once, and stop."""
        self._writer.kill()
        try:
            while self._lines:
                os.write(self.descriptor, self._lines.popleft())
        except OSError:
            self.dropped += len(self._lines) + 1
        super().close()

    def _within_budget(self) -> bool:
        now = self.clock()
        earned = (now - self._refilled_at) * LINES_PER_SECOND
        self._allowance = min(BURST_LINES, self._allowance + earned)
        self._refilled_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _put(self, line: str) -> None:
        data = line.encode("utf-8", "replace") + b"\n"
        if self._bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(data)
        self._bytes += len(data)
        self._ready.set()

    def _write_loop(self) -> None:
        while True:
            self._ready.wait()
            self._ready.clear()
            while self._lines:
                data = self._lines.popleft()
                self._bytes -= len(data)
                if not self._write(data):
                    return
            self._report_dropped()

    def _write(self, data: bytes) -> bool:
        view = memoryview(data)
        while view:
            try:
                view = view[nb_write(self.descriptor, view) :]
            except OSError:
                return False  # nobody reads the pipe any more; `emit` counts what follows
        return True

    def _report_dropped(self) -> None:
        if self.dropped > self._reported:
            record = logging.makeLogRecord(
                {
                    "name": __name__,
                    "levelname": "WARNING",
                    "levelno": logging.WARNING,
                    "msg": "log lines dropped",
                    "dropped": self.dropped - self._reported,
                }
            )
            self._reported = self.dropped
            self._put(self.format(record))


def log_to_stdout(level: str, clock: Callable[[], float]) -> BoundedStreamHandler:
    """Log to standard output through a bounded buffer and replace earlier handlers."""
    handler = BoundedStreamHandler(1, clock)
    logging.getLogger().handlers[:] = [handler]
    set_level(level)
    return handler
