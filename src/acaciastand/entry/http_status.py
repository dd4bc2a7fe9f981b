"""Health checks of the balancer and the status page of operators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import falcon


class LiveResource:
    """``/livez``: the process answers."""

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Answer 200."""
        response.media = {"live": True}


class ReadyResource:
    """``/readyz``: the balancer may send callers here."""

    def __init__(self, problem: Callable[[], str]) -> None:
        self.problem = problem

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Answer 200, or 503 with the reason."""
        problem = self.problem()
        response.status = 503 if problem else 200
        response.media = {"ready": not problem, "reason": problem}


class StatusResource:
    """``/v1/status``."""

    def __init__(self, status: Callable[[], dict[str, Any]]) -> None:
        self.status = status

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return what this entry knows."""
        response.media = self.status()
