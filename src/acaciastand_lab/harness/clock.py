"""Event queue on a fake clock; blocking code runs on it in greenlets."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

import greenlet


class Timer:
    """One planned call."""

    __slots__ = ("due", "action", "arguments", "cancelled")

    def __init__(self, due: float, action: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
        self.due = due
        self.action = action
        self.arguments = arguments
        self.cancelled = False


class EventQueue:
    """Runs planned calls in the order of time; calls at the same time in the order of planning."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Timer]] = []
        self._count = 0
        self._loop: greenlet.greenlet | None = None

    def clock(self) -> float:
        """Return the current second; passed to modules that ask for a clock."""
        return self.now

    def at(self, when: float, action: Callable[..., Any], *arguments: Any) -> Timer:
        """Plan a call; a time in the past means now."""
        timer = Timer(max(when, self.now), action, arguments)
        self._count += 1
        heapq.heappush(self._heap, (timer.due, self._count, timer))
        return timer

    def after(self, seconds: float, action: Callable[..., Any], *arguments: Any) -> Timer:
        """Plan a call `seconds` from now."""
        return self.at(self.now + seconds, action, *arguments)

    def every(self, seconds: float, action: Callable[[], Any], first: float = 0.0) -> None:
        """Plan a call now and then repeatedly, the first one at `first`."""

        def repeat() -> None:
            action()
            self.after(seconds, repeat)

        self.at(first, repeat)

    def run(self, until: float) -> None:
        """Run all calls planned up to `until` and set the clock to it."""
        self._loop = greenlet.getcurrent()
        while self._heap and self._heap[0][0] <= until:
            self.now, _, timer = heapq.heappop(self._heap)
            if not timer.cancelled:
                timer.action(*timer.arguments)
        self.now = until

    # For blocking code

    def spawn(self, action: Callable[..., Any], *arguments: Any) -> None:
        """Start blocking code; call it from a planned call."""
        greenlet.greenlet(action, parent=self._loop).switch(*arguments)

    def suspend(self) -> Any:
        """Wait, inside spawned code, until the greenlet is switched to; return what it is given."""
        assert self._loop is not None, "blocking code runs only inside run()"
        return self._loop.switch()

    def sleep(self, seconds: float) -> None:
        """Wait, inside spawned code."""
        self.after(seconds, greenlet.getcurrent().switch)
        self.suspend()
