"""Entries, agents and targets of one service; requests run through the product's own modules.

`RequestService` of the entry and `RequestExecutor` of the agent run unchanged, in greenlets on the
fake clock; only links, targets and the connections between them are modelled.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any, cast

import greenlet
import numpy as np

from acaciastand.agent.executor import RequestExecutor
from acaciastand.agent.runner import TARGET_POLL_SECONDS
from acaciastand.entry.agents import AgentRegistry
from acaciastand.entry.call import Answer, CallerRequest, Failure, RequestRefused, RequestUnknown
from acaciastand.entry.requests import Forwarder, RequestService
from acaciastand.host import Host
from acaciastand.platform.http import CallNotSent, CallTimedOut, HttpAnswer
from acaciastand.platform.target_client import TargetClient
from acaciastand.record import Record
from acaciastand.routing import Deadline, LeastLoadedOfTwo, Router, TargetChooser, TargetView
from acaciastand.telemetry import Counters
from acaciastand.wire.connection import ConnectionClosed, NotSent, ReplyTimeout
from acaciastand.wire.messages import Execute, ExecuteReply
from acaciastand_lab.harness.arrivals import Arrival
from acaciastand_lab.harness.clock import EventQueue
from acaciastand_lab.harness.firms import Firm
from acaciastand_lab.harness.host import HostModel, InterferenceTable

SAME_ZONE_SECONDS = 0.0002  # one-way latency inside an availability zone; an assumption
HEARTBEAT_SECONDS = 1.0
ENTRY_FANOUT = 3  # entries that each agent connects to


class Options(Record):
    """Policies and load of one run.

    Parameters
    ----------
    entries
        Number of entries; callers are spread over them at random.
    chooser
        Returns the policy of an entry in the given availability zone.
    idempotent
        Share of idempotent requests.
    service_class
        `RequestService`, or a variant of it that is measured against it.
    """

    __slots__ = (
        "entries",
        "chooser",
        "timeout_ms",
        "idempotent",
        "retry_budget",
        "max_ejected",
        "service_class",
    )

    def __init__(
        self,
        entries: int = 3,
        chooser: Callable[[str], TargetChooser] = LeastLoadedOfTwo,
        timeout_ms: int = 500,
        idempotent: float = 0.5,
        retry_budget: float = 0.2,
        max_ejected: float = 0.34,
        service_class: type[RequestService] = RequestService,
    ) -> None:
        self.entries = entries
        self.chooser = chooser
        self.timeout_ms = timeout_ms
        self.idempotent = idempotent
        self.retry_budget = retry_budget
        self.max_ejected = max_ejected
        self.service_class = service_class


class Result(Record):
    """What became of one arrival.

    Parameters
    ----------
    seconds
        From the caller's sending to its answer or refusal.
    code
        Code of the refusal, empty for an answer.
    outcome
        ``answered``, ``not_run`` or ``unknown``.
    late
        Whether the entry had the answer only after the deadline.
    """

    __slots__ = ("arrival", "seconds", "outcome", "code", "late", "request_id", "idempotent")

    def __init__(
        self,
        arrival: Arrival,
        seconds: float,
        outcome: str,
        code: str,
        late: bool,
        request_id: str,
        idempotent: bool,
    ) -> None:
        self.arrival = arrival
        self.seconds = seconds
        self.outcome = outcome
        self.code = code
        self.late = late
        self.request_id = request_id
        self.idempotent = idempotent


class ModelTarget:
    """Takes the place of the HTTP client of a target."""

    def __init__(self, queue: EventQueue, model: HostModel) -> None:
        self.queue = queue
        self.model = model
        self.gone = False
        self.active: set[str] = set()
        self.executions: Counter[str] = Counter()

    def execute(
        self,
        request_id: str,
        service: str,
        key: str,
        body: bytes,
        content_type: str,
        timeout_seconds: float,
    ) -> HttpAnswer:
        """Run a request; one that times out goes on running, as at a real target."""
        if self.gone:
            raise CallNotSent("the target is gone", "wait")
        self.executions[request_id] += 1
        self.active.add(request_id)
        seconds = self.model.draw_service_seconds(len(self.active), self.queue.now)
        self.queue.after(seconds, self.active.discard, request_id)
        if seconds > timeout_seconds:
            self.queue.sleep(timeout_seconds)
            raise CallTimedOut("no answer in time", "wait")
        self.queue.sleep(seconds)
        return HttpAnswer(200, b"")


class ModelAgent:
    """An agent with its target: the product's `Host` and `RequestExecutor` on a host model."""

    def __init__(self, queue: EventQueue, firm: Firm, number: int, model: HostModel) -> None:
        self.queue = queue
        self.agent_id = f"agent-{number}"
        self.availability_zone = firm.zone_of(number)
        self.model = model
        self.target = ModelTarget(queue, model)
        self.host = Host([firm.service], firm.slots, firm.connections)
        self.host.apply_worker_tasks([], queue.now, queue.now)
        self.executor = RequestExecutor(
            self.host, cast(TargetClient, self.target), Counters(), queue.clock
        )
        # Shares of attempts that the link loses before they arrive, and whose reply it loses.
        self.fail_before = 0.0
        self.fail_after = 0.0

    def poll_target(self) -> None:
        """Do what the agent does every `TARGET_POLL_SECONDS`."""
        now = self.queue.now
        if self.target.gone:
            self.host.target_up = False
        else:
            self.host.apply_target_status(True, sorted(self.target.active), now)

    @property
    def in_flight(self) -> int:
        """Load that heartbeats report."""
        return self.host.requests.slots.in_flight


class ModelSession:
    """Connection between one entry and one agent."""

    def __init__(
        self,
        queue: EventQueue,
        agent: ModelAgent,
        latency: float,
        rng: random.Random,
        sent: list[tuple[float, str]],
    ) -> None:
        self.queue = queue
        self.agent = agent
        self.latency = latency
        self.rng = rng
        self.sent = sent

    def request(self, message: Execute, timeout: float) -> ExecuteReply:
        """Send a message and wait for its reply, as the product's sessions do."""
        self.sent.append((self.queue.now, message.request_id))
        if self.rng.random() < self.agent.fail_before:
            raise NotSent("the link lost the attempt", "send it again")
        waiter = greenlet.getcurrent()
        timer = self.queue.after(timeout, waiter.switch, None)
        arrival = self.queue.after(
            self.latency, self.queue.spawn, self._handle, message, timer, waiter
        )
        reply = self.queue.suspend()
        if reply is None:
            arrival.cancelled = True
            raise ReplyTimeout("no reply in time", "check whether it ran")
        if self.rng.random() < self.agent.fail_after:
            raise ConnectionClosed("the link lost the reply", "check whether it ran")
        return cast(ExecuteReply, reply)

    def _handle(self, message: Execute, timer: Any, waiter: Any) -> None:
        reply = self.agent.executor.execute(message)
        self.queue.after(self.latency, self._deliver, reply, timer, waiter)

    def _deliver(self, reply: ExecuteReply, timer: Any, waiter: Any) -> None:
        if self.queue.now >= timer.due:
            return  # the entry no longer waits
        timer.cancelled = True
        waiter.switch(reply)


class ModelEntry:
    """An entry: the product's `Router` and `RequestService` on modelled connections."""

    def __init__(
        self,
        queue: EventQueue,
        zone: str,
        zone_seconds: float,
        options: Options,
        rng: random.Random,
    ) -> None:
        self.queue = queue
        self.availability_zone = zone
        self.router = Router(options.chooser(zone), rng, options.max_ejected, options.retry_budget)
        self.zone_seconds = zone_seconds
        self.peers: list[ModelEntry] = []
        self.announced_free = 0
        self.sessions: dict[str, ModelSession] = {}
        self.sent: list[tuple[float, str]] = []  # second and request id of each attempt
        self.counters = Counters()
        self.service = options.service_class(
            self.router,
            cast(AgentRegistry, self.sessions),  # only `get` is used
            cast(Forwarder, self),
            self.counters,
            queue.clock,
        )

    def forward_execute(self, request: CallerRequest) -> Answer | Failure | None:
        """Let another entry execute the request, the one that announced most free slots."""
        peer = max(self.peers, key=lambda peer: peer.announced_free, default=None)
        if peer is None:
            return None
        near = peer.availability_zone == self.availability_zone
        latency = SAME_ZONE_SECONDS if near else self.zone_seconds
        self.queue.sleep(latency)
        try:
            return peer.service.execute(request.replace(forwarded=True))
        except (RequestRefused, RequestUnknown) as error:
            assert error.outcome is not None
            return Failure(error.outcome, error.code, error.message)
        finally:
            self.queue.sleep(latency)

    def announce(self) -> None:
        """Do what the heartbeat to the other entries does."""
        self.announced_free = sum(self.router.free_slots().values())

    def connect(self, agent: ModelAgent, firm: Firm, rng: random.Random) -> None:
        """Take the agent's connection and its heartbeats."""
        near = agent.availability_zone == self.availability_zone
        latency = SAME_ZONE_SECONDS if near else firm.zone_seconds
        self.sessions[agent.agent_id] = ModelSession(self.queue, agent, latency, rng, self.sent)
        view = TargetView(agent.agent_id, agent.availability_zone, (firm.service,), firm.slots)
        self.router.add(view)

        def send_heartbeat() -> None:
            load, healthy = agent.in_flight, agent.host.target_up
            self.queue.after(latency, self._heartbeat, view, load, healthy)

        self.queue.every(HEARTBEAT_SECONDS, send_heartbeat, rng.random() * HEARTBEAT_SECONDS)

    def _heartbeat(self, view: TargetView, load: int, healthy: bool) -> None:
        view.update_load(load)
        view.healthy = healthy


class ServedSystem:
    """All entries, agents and targets of a firm's service.

    Parameters
    ----------
    table
        Slowdowns by batch tasks; None for a system without interference.
    """

    def __init__(
        self, firm: Firm, options: Options, seed: int, table: InterferenceTable | None = None
    ) -> None:
        self.firm = firm
        self.options = options
        self.queue = EventQueue()
        self.rng = random.Random(seed)
        self.results: list[Result] = []
        draws = np.random.default_rng(seed)
        interference = table or InterferenceTable({})
        self.agents = [
            ModelAgent(self.queue, firm, number, self._host(number, interference, draws))
            for number in range(firm.hosts)
        ]
        self.entries = [
            ModelEntry(self.queue, firm.zone_of(number), firm.zone_seconds, options, self.rng)
            for number in range(options.entries)
        ]
        for entry in self.entries:
            entry.peers = [other for other in self.entries if other is not entry]
            first = self.rng.random() * HEARTBEAT_SECONDS
            self.queue.every(HEARTBEAT_SECONDS, entry.announce, first)
        for agent in self.agents:
            for entry in self._entries_of(agent):
                entry.connect(agent, firm, self.rng)
            first = self.rng.random() * TARGET_POLL_SECONDS
            agent.poll_target()
            self.queue.every(TARGET_POLL_SECONDS, agent.poll_target, first)

    def run(self, arrivals: list[Arrival]) -> list[Result]:
        """Send all arrivals and return one result for each."""
        for arrival in arrivals:
            self.queue.at(arrival.at, self._send, arrival)
        end = arrivals[-1].at if arrivals else 0.0
        self.queue.run(end + 2 * self.options.timeout_ms / 1000 + 1.0)
        return self.results

    def executions(self) -> Counter[str]:
        """Return how often targets began each request."""
        total: Counter[str] = Counter()
        for agent in self.agents:
            total.update(agent.target.executions)
        return total

    def _host(self, number: int, table: InterferenceTable, draws: np.random.Generator) -> HostModel:
        firm = self.firm
        return HostModel(
            f"host-{number}",
            firm.cores,
            firm.slots,
            firm.service,
            firm.service_seconds,
            table,
            draws,
        )

    def _entries_of(self, agent: ModelAgent) -> list[ModelEntry]:
        order = list(self.entries)
        self.rng.shuffle(order)
        order.sort(key=lambda entry: entry.availability_zone != agent.availability_zone)
        return order[:ENTRY_FANOUT]

    def _send(self, arrival: Arrival) -> None:
        entry = self.rng.choice(self.entries)
        idempotent = self.rng.random() < self.options.idempotent
        delay = self.firm.client_seconds
        self.queue.after(delay, self.queue.spawn, self._execute, entry, arrival, idempotent)

    def _execute(self, entry: ModelEntry, arrival: Arrival, idempotent: bool) -> None:
        deadline = Deadline.after(self.queue.now, self.options.timeout_ms)
        request = CallerRequest(
            f"r{arrival.number}", arrival.service, b"", deadline, idempotent=idempotent
        )
        outcome, code = "answered", ""
        try:
            entry.service.execute(request)
        except (RequestRefused, RequestUnknown) as error:
            assert error.outcome is not None
            outcome, code = error.outcome.value, error.code
        seconds = self.queue.now + self.firm.client_seconds - arrival.at
        late = self.queue.now > deadline.expires_at
        self.results.append(
            Result(arrival, seconds, outcome, code, late, request.request_id, idempotent)
        )
