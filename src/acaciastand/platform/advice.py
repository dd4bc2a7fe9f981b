"""Client of the operators' placement service."""

from __future__ import annotations

import json
from collections.abc import Sequence

from acaciastand.checks import MALFORMED, check_list, check_number, check_text, load_json_map
from acaciastand.errors import Refused
from acaciastand.platform.http import CallBrokeOff, HttpCaller
from acaciastand.workflow.advice import Advice, PlacementAdvisor

BUSY = 429
DEFAULT_VALID_MS = 1000  # for an answer that does not say how long its tickets are valid
JSON_HEADERS = {"Content-Type": "application/json"}


class AdviceBusy(Refused):
    """Too many questions of this host wait for an answer."""

    code = "advice_busy"


class AdviceClient(PlacementAdvisor):
    """Asks the placement service over HTTP.

    Parameters
    ----------
    address
        Its ``ip:port``.
    """

    def __init__(self, address: str) -> None:
        self.caller = HttpCaller(f"http://{address}")

    def close(self) -> None:
        """Close the kept connections."""
        self.caller.close()

    def advise(self, step: str, worker_ids: Sequence[str], seconds: float) -> Advice:
        """Return which of the workers may run a step."""
        body = json.dumps({"step": step, "workers": list(worker_ids)}).encode()
        answer = self.caller.call("POST", "/advise", body, JSON_HEADERS, seconds)
        if answer.status == BUSY:
            raise AdviceBusy("the placement service is busy", "ask again later")
        try:
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            fields = load_json_map(answer.body)
            rows = check_list(fields.get("good") or [])
            tickets = {check_text(row[0]): check_text(row[1]) for row in rows}
            valid_ms = check_number(fields.get("validityMs", DEFAULT_VALID_MS))
            return Advice(tickets, valid_ms / 1000)
        except MALFORMED as error:
            raise CallBrokeOff(f"the advice cannot be read: {error!r}", "ask again") from error
