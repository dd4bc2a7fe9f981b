"""Fakes around a real entry daemon: agents over loopback sockets, owner and settings services."""

import json
import random

from gevent.event import Event
from geventhttpclient import HTTPClient

from acaciastand.coordination.store import KeyValueStore, StoreUnavailable
from acaciastand.entry.daemon import EntryDaemon
from acaciastand.resources import Resources
from acaciastand.settings.process import EntrySettings
from acaciastand.settings.schema import EffectiveSettings
from acaciastand.telemetry import Counters
from acaciastand.wire.connection import dial
from acaciastand.wire.messages import Execute, ExecuteReply, Heartbeat, Hello, ReportConfirmed

WAIT_SECONDS = 10.0
SITE = "maison-reprise/flanders/gent"
SERVICE = "order-desk"
GRANT_SECONDS = 7.5


def _down(*_arguments, **_options):
    raise StoreUnavailable("the store is down", "wait")


class DownStore(KeyValueStore):
    """Store that refuses every call."""

    get = put_if = delete_if = list = watch = _down
    grant_lease = renew_lease = revoke_lease = _down


class FakeSettings:
    """Settings service without a store."""

    def __init__(self):
        self.revision = 0
        self.values = {}
        self.values_by_path = {}
        self.callbacks = []
        self.adopted = []

    def start(self):
        """Start nothing."""

    stop = start

    def effective(self, path):
        """Return the same values for every path, and what the test set for this one."""
        values = {**self.values, **self.values_by_path.get(path, {})}
        return EffectiveSettings(values, self.revision)

    def snapshot(self):
        """Return the state as a dict."""
        return {"revision": self.revision, "values": self.values}

    def adopt_snapshot(self, snapshot):
        """Take over a newer state."""
        if snapshot["revision"] > self.revision:
            self.change(snapshot["values"], snapshot["revision"])

    def on_change(self, callback):
        """Register a callback."""
        self.callbacks.append(callback)

    def change(self, values, revision):
        """Put values in force."""
        self.values = values
        self.revision = revision
        for callback in self.callbacks:
            callback(revision)


class FakeOwner:
    """Owner service that owns what the test says."""

    def __init__(self, *_arguments):
        self.shards = []
        self.calls = []
        self.gone = []

    def start(self):
        """Start nothing."""

    stop = start

    def owned_shards(self):
        """Return the shards set by the test."""
        return self.shards

    def grant_seconds(self):
        """Return the length of renewed grants."""
        return GRANT_SECONDS

    def submit_job(self, payload, key, deadline):
        """Accept a job."""
        self.calls.append(("submit", payload, key))
        return {"job_id": f"j{self.shards[0].shard}-1"}

    def query_job(self, job_id):
        """Return a state."""
        self.calls.append(("query", job_id))
        return {"job_id": job_id, "state": "running"}

    def cancel_job(self, job_id):
        """Cancel a job."""
        self.calls.append(("cancel", job_id))
        return {"job_id": job_id, "state": "cancelled"}

    def on_hello(self, session, hello):
        """Take note."""
        self.calls.append(("hello", hello.agent_id))

    def on_heartbeat(self, _session, _heartbeat):
        """Renew nothing."""
        return []

    def on_report(self, _session, report):
        """Confirm every report."""
        return ReportConfirmed(report.shard, report.task_id, report.attempt)

    def on_agent_gone(self, session):
        """Take note."""
        self.gone.append(session.agent_id)


class Answer:
    """Status, headers and body of an HTTP answer."""

    def __init__(self, response):
        self.status = response.status_code
        self.headers = {name.lower(): value for name, value in response.headers}
        self.body = bytes(response.read())

    def json(self):
        """Return the body as a dict."""
        return json.loads(self.body)


class Entry:
    """A daemon with fakes, and a client of its HTTP interface."""

    def __init__(self, stack, name="entry-0", entries=(), zone="gent", store=None):
        settings = EntrySettings(
            entry_id=name,
            path=SITE,
            availability_zone=zone,
            http_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            entries=list(entries),
            store_url="http://127.0.0.1:1",
            shards=4,
        )
        self.settings = FakeSettings()
        self.counters = Counters()
        self.daemon = EntryDaemon(
            settings,
            store or DownStore(),
            self.settings,
            FakeOwner,
            self.counters,
            random.Random(7),
        )
        self.owner = self.daemon.owner
        self.daemon.start()
        stack.callback(self.daemon._stack.close)

    @property
    def address(self):
        """Address for agents and peers."""
        return self.daemon.listener.address

    def call(self, method, path, body=b"", headers=None):
        """Return the answer to one HTTP call."""
        host, port = self.daemon.http.bound_address.split(":")
        client = HTTPClient(host, int(port), network_timeout=WAIT_SECONDS)
        try:
            return Answer(client.request(method, path, body, headers or {}))
        finally:
            client.close()

    def ask(self, body=b"price?", **headers):
        """Send a caller's request."""
        named = {name.replace("_", "-"): str(value) for name, value in headers.items()}
        return self.call("POST", f"/v1/services/{SERVICE}/requests", body, named)

    def count(self, name):
        """Return a counter."""
        return self.counters.totals().get(name, 0)


class FakeAgent:
    """Agent that dials an entry and answers as its script says.

    Parameters
    ----------
    script
        Called with (agent, execute); returns the reply or None for silence.
    """

    def __init__(self, stack, name, script=None, zone="gent", slots=8, attempts=(), path=""):
        self.name = name
        self.script = script or answer_with_name
        self.zone = zone
        self.slots = slots
        self.path = path
        self.attempts = list(attempts)
        self.executed = []
        self.received = []
        self.sequence = 0
        self.connection = None
        self.release = Event()
        self.mangle = lambda data: [data]
        stack.callback(self.close)

    def dial(self, address):
        """Connect and announce this agent."""
        self.connection = connection = dial(address, self._handle)
        send = connection._send_frame

        def send_mangled(data, *timeout):
            for frame in self.mangle(data):
                send(frame, *timeout)

        connection._send_frame = send_mangled
        self.sequence = 0
        hello = Hello(
            agent_id=self.name,
            availability_zone=self.zone,
            capacity=Resources(32.0, 125_000, 0),
            slots=self.slots,
            connections=64,
            services=[SERVICE],
            attempts=self.attempts,
            path=self.path,
        )
        self.welcome = self.connection.request(hello, WAIT_SECONDS)
        return self

    def heartbeat(self, **fields):
        """Send a heartbeat and return the reply."""
        self.sequence += 1
        fields = {"attempts": self.attempts, **fields}
        message = Heartbeat(sequence=self.sequence, **fields)
        return self.connection.request(message, WAIT_SECONDS)

    def close(self):
        """Close the connection."""
        self.release.set()
        if self.connection is not None:
            self.connection.close()

    def _handle(self, connection, message):
        self.received.append(message)
        if isinstance(message, Execute):
            return self.script(self, message)
        return None


def answer_with_name(agent, message):
    """Run the request and answer with the agent's name and the request's body."""
    agent.executed.append(message.request_id)
    return ExecuteReply(message.request_id, 200, agent.name.encode() + b":" + message.body)
