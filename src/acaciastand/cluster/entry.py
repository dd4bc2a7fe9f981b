"""Entry daemon: serves callers, takes part in the election of the owner and may own the jobs."""

from __future__ import annotations

import logging
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from typing import Any

import falcon
import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from acaciastand.checks import MALFORMED, check_bytes, check_integer, check_text
from acaciastand.cluster.admission_control import AdmissionControl
from acaciastand.cluster.callers import CallerSink
from acaciastand.cluster.catalog_copy import CATALOG_CALL, CatalogCopy
from acaciastand.cluster.claim import claim, decode_owner
from acaciastand.cluster.clock import now, now_unix
from acaciastand.cluster.election import (
    OWNER_HEARTBEAT_SECONDS,
    SMALL_HOST_CLAIM_DELAY_SECONDS,
    Candidate,
    Observation,
)
from acaciastand.cluster.job_api import INBOX_ITEM_CALL, JOB_STATE_CALL, WAITING_JOBS_CALL, JobApi
from acaciastand.cluster.keys import (
    CONTROL_PREFIX,
    ENTRIES_PREFIX,
    INBOX_PREFIX,
    OWNER_HEARTBEAT_KEY,
    OWNER_KEY,
    OwnerRecord,
    StoredItemUnreadable,
    decode_address,
)
from acaciastand.cluster.loop_lag import measure_loop_lag
from acaciastand.cluster.members import Registration
from acaciastand.cluster.owner import Owner
from acaciastand.cluster.peers import PING_CALL, PeerLink, PeerStatus, answer_forward
from acaciastand.cluster.room_gauges import RoomGauges
from acaciastand.cluster.settings import JobEntrySettings
from acaciastand.cluster.store_availability import StoreAvailability
from acaciastand.cluster.store_relay import (
    STORE_CALLS,
    RelayedStore,
)
from acaciastand.cluster.supervision import supervised
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import Item, TransactionalStore
from acaciastand.entry.http import CallerServer
from acaciastand.errors import InvalidInput, Refused
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.wire.connection import Connection, Listener, split_address
from acaciastand.wire.messages import Message
from acaciastand.workflow.admission import AcceptAll, AdmissionPolicy, RefuseWorthless
from acaciastand.workflow.advice import PlacementAdvisor
from acaciastand.workflow.backlog import BacklogEstimate
from acaciastand.workflow.catalog import Catalog

RETRY_SECONDS = 0.15  # Pause after a failed call to the store.
MEMBERS_INTERVAL_SECONDS = 2.0  # Interval between reads of the list of entries.
# A stopping entry reports that it is not ready for this long before it refuses connections. The
# load balancer needs two checks, one second apart, to notice.
UNREADY_NOTICE_SECONDS = 2.2
MAX_DRAIN_SECONDS = 3.0  # Longest wait for calls in progress during a stop.
GAUGES_INTERVAL_SECONDS = 0.5  # Interval between two updates of the gauges of an entry.
# Policies on the jobs that are refused, by their names in the settings.
ADMISSION_POLICIES: dict[str, type[AdmissionPolicy]] = {
    "accept_all": AcceptAll,
    "refuse_worthless": RefuseWorthless,
}
DRAIN_POLL_SECONDS = 0.02  # Interval between checks whether calls are in progress.

logger = logging.getLogger(__name__)


class JobEntry:
    """One entry.

    Parameters
    ----------
    settings
        Settings of this entry.
    store
        The platform's store.
    advisor
        The operators' placement service; None if there is none.

    Attributes
    ----------
    configuration
        Copy of the operators' configuration.
    owner
        Current term of ownership of this entry; None while another entry owns the jobs.
    owner_record
        Owner according to the store or, while this entry cannot read it, to another entry; None
        if there is no owner.
    unconfirmed_claim
        Record of this entry's last claim; None once a term began with it.
    candidate
        Decides when this entry claims the ownership.
    peers
        Connections to the other entries, by entry id.
    """

    def __init__(
        self,
        settings: JobEntrySettings,
        store: TransactionalStore,
        metrics: Metrics,
        advisor: PlacementAdvisor | None = None,
    ) -> None:
        self.settings = settings
        self.store = store
        self.metrics = metrics
        self.ignored = IgnoredValues(metrics, now)
        self.advisor = advisor
        self.configuration = CatalogCopy(store, self._apply_catalog, metrics)
        self.owner: Owner | None = None
        self.owner_record: OwnerRecord | None = None
        self.unconfirmed_claim: OwnerRecord | None = None
        self.candidate = self._new_candidate()
        self.election_store_availability = StoreAvailability("election")
        self.peers: dict[str, PeerLink] = {}
        self.peer_greenlets: dict[str, gevent.Greenlet] = {}
        self.is_stopping = False
        self.stop_requested = Event()
        self.listener = Listener(settings.peer_address, self._handle)
        self.relayed_store = RelayedStore(store, lambda: list(self.peers.values()), metrics)
        self.job_api = JobApi(self.relayed_store, lambda: self.owner, self.owner_link)
        app = falcon.App()
        self.admission = AdmissionControl(
            ADMISSION_POLICIES[settings.admission](),
            lambda: self.owner,
            self.job_api.may_be_stored,
            metrics,
        )
        self.room_gauges = RoomGauges(metrics)
        sink = CallerSink(self.job_api, self.admission, self.configuration, metrics)
        app.add_sink(sink, "/")
        self.http = CallerServer(settings.http_address, app)
        self.ready_server = WSGIServer(
            split_address(settings.ready_address), self._serve_readiness, log=None
        )

    def run(self) -> None:
        """Serve until `request_stop`, then release the ownership and finish calls in progress."""
        with ExitStack() as stack:
            for server in (self.listener, self.http, self.ready_server):
                server.start()
            stack.callback(self.listener.close)
            stack.callback(self.http.stop, 0.0)
            stack.callback(self.ready_server.stop, 0.0)
            loops = (
                self._register,
                self.configuration.follow_forever,
                self._elect_forever,
                self._follow_members,
                self._set_gauges,
                partial(measure_loop_lag, self.metrics),
            )
            for loop in loops:
                stack.callback(gevent.spawn(supervised(loop, self.metrics)).kill)
            stack.callback(self._close_peers)
            logger.info("entry started", extra={"entry_id": self.settings.entry_id})
            self.stop_requested.wait()
            self._shut_down()
        logger.info("entry stopped", extra={"entry_id": self.settings.entry_id})

    def request_stop(self) -> None:
        """Ask `run` to return; safe in a signal handler."""
        self.stop_requested.set()

    def owner_link(self) -> PeerLink | None:
        """Return the connection to the owner; None if there is none or this entry is the owner."""
        if self.owner_record is None or self.owner is not None:
            return None
        link = self.peers.get(self.owner_record.entry_id)
        return link if link is not None and link.connection is not None else None

    # Start and stop

    def _shut_down(self) -> None:
        """Release the ownership, let the load balancer notice the stop and finish calls."""
        self.is_stopping = True
        logger.info("entry stops", extra={"entry_id": self.settings.entry_id})
        if self.owner is not None:
            owner, self.owner = self.owner, None
            owner.release()
        gevent.sleep(UNREADY_NOTICE_SECONDS)
        self.http.begin_stop()
        with gevent.Timeout(MAX_DRAIN_SECONDS, False):
            while self.http.in_progress:
                gevent.sleep(DRAIN_POLL_SECONDS)

    def _serve_readiness(self, _environ: dict[str, Any], start_response: Any) -> list[bytes]:
        is_ready = not self.is_stopping and self.configuration.catalog is not None
        status = "200 OK" if is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    def _set_gauges(self) -> None:
        while True:
            gevent.sleep(GAUGES_INTERVAL_SECONDS)
            self.metrics.set("configuration_age_seconds", self.configuration.age_seconds)
            self.room_gauges.update(self.admission.own_estimate())

    def _apply_catalog(self, catalog: Catalog) -> None:
        if self.owner is not None:
            self.owner.scheduler.apply_catalog(catalog, now(), now_unix())
            self.owner.plan_due.set()
        self.metrics.set("configuration_version", catalog.version)

    # Election

    def _elect_forever(self) -> None:
        while True:
            gevent.sleep(
                OWNER_HEARTBEAT_SECONDS if self.owner is not None else OWNER_HEARTBEAT_SECONDS / 2
            )
            if (
                self.owner is None
                and not self.is_stopping
                and self.configuration.catalog is not None
            ):
                try:
                    self._check_ownership()
                    self.election_store_availability.record_success()
                except (StoreUnavailable, StoreAnswerLost) as error:
                    self.election_store_availability.record_failure(error)

    def _new_candidate(self) -> Candidate:
        return Candidate(SMALL_HOST_CLAIM_DELAY_SECONDS if self.settings.is_small else 0.0)

    def _check_ownership(self) -> None:
        """Read the owner key and its heartbeat, and claim the ownership if the owner is lost.

        Raises
        ------
        StoreUnavailable, StoreAnswerLost
            The store cannot be read, or did not answer a claim.
        """
        read_at = now()
        items = {item.key: item for item in self.store.list(CONTROL_PREFIX).items}
        current = items.get(OWNER_KEY, Item(OWNER_KEY))
        heartbeat = items.get(OWNER_HEARTBEAT_KEY, Item(OWNER_HEARTBEAT_KEY))
        self.candidate.observe(Observation(current, heartbeat), read_at, now())
        self._record_owner(current)
        if self.unconfirmed_claim is not None and current.value == self.unconfirmed_claim.encode():
            return self._begin_term(self.unconfirmed_claim, current.revision, read_at)
        if self.owner_record and self.owner_record.address == self.settings.dialled_address:
            # This process listens at the address of the recorded owner, so that one has ended.
            self.candidate.record_owner_ended()
        link = self.peers.get(self.owner_record.entry_id) if self.owner_record else None
        if link is not None and link.refused:
            self.candidate.record_connection_refused()
        if not self.candidate.should_claim(now()):
            return
        self._claim(current, heartbeat)

    def _claim(self, current: Item, heartbeat: Item) -> None:
        claimed_at = now()
        entry_id, address = self.settings.entry_id, self.settings.dialled_address
        logger.info(
            "claiming ownership",
            extra={
                "revision": current.revision,
                "unchanged_s": round(claimed_at - self.candidate.changed_at, 2),
                "refused": self.candidate.refused,
            },
        )
        won = claim(
            self.store,
            current,
            heartbeat,
            self.owner_record,
            entry_id,
            address,
            self._remember_claim,
        )
        if won is not None:
            self._begin_term(won[0], won[1], claimed_at)

    def _remember_claim(self, record: OwnerRecord) -> None:
        self.unconfirmed_claim = record

    def _begin_term(self, record: OwnerRecord, fence: int, confirmed_at: float) -> None:
        """Begin to own the jobs, unless this entry is stopping.

        Parameters
        ----------
        record, fence
            The owner key as this entry wrote it, and its revision.
        confirmed_at
            When the claim was sent or, if its answer was lost, the read that showed it began.
        """
        assert self.configuration.catalog is not None
        self.unconfirmed_claim = None
        self.owner_record = record
        owner = Owner(
            self.relayed_store,
            record,
            fence,
            confirmed_at,
            self.candidate.heartbeat_sent_by,
            self.configuration.catalog,
            self.settings.stop_timeout_ms / 1000,
            self.metrics,
            self._end_term,
            self.advisor,
            self.settings.zone_drain_ms / 1000,
        )
        if self.is_stopping:  # The stop was requested while the claim was on its way.
            owner.release()
            return
        self.owner = owner
        owner.start()
        logger.info("ownership gained", extra={"epoch": record.epoch, "fence": fence})

    def _end_term(self, owner: Owner) -> None:
        """Return to the election after a term has lost the ownership."""
        if self.owner is owner:
            self.owner = None
            self.candidate = self._new_candidate()
        gevent.spawn(owner.stop)

    def _record_owner(self, current: Item) -> None:
        record = decode_owner(current, self.ignored.recorder(OWNER_KEY))
        if record != self.owner_record:
            self.owner_record = record
            logger.info(
                "owner changed",
                extra={
                    "owner": record.entry_id if record else None,
                    "epoch": record.epoch if record else 0,
                },
            )

    def _apply_peer_owner(self, record: OwnerRecord) -> None:
        """Follow the owner that another entry names while the store refuses this one."""
        epoch = self.owner_record.epoch if self.owner_record else 0
        if self.election_store_availability.is_lost and self.owner is None and record.epoch > epoch:
            self.owner_record = record
            logger.info(
                "owner learned from a peer",
                extra={"owner": record.entry_id, "epoch": record.epoch},
            )

    # Other entries

    def _register(self) -> None:
        key = ENTRIES_PREFIX + self.settings.entry_id
        registration = Registration(self.store, key, self.settings)
        while not registration.write():
            gevent.sleep(RETRY_SECONDS)

    def _follow_members(self) -> None:
        """Connect to each entry that registers in the store."""
        while True:
            try:
                listing = self.store.list(ENTRIES_PREFIX, stale=True)
            except (StoreUnavailable, StoreAnswerLost) as error:
                logger.debug("list of entries not read", extra={"error": str(error)})
                gevent.sleep(RETRY_SECONDS)
                continue
            self._add_members(listing.items)
            gevent.sleep(MEMBERS_INTERVAL_SECONDS)

    def _add_members(self, items: list[Item]) -> None:
        for item in items:
            try:
                self._add_peer(item.key[len(ENTRIES_PREFIX) :], decode_address(item))
            except StoredItemUnreadable as error:
                self.ignored.record(ENTRIES_PREFIX, error)

    def _add_peer(self, entry_id: str, address: str) -> None:
        if entry_id == self.settings.entry_id:
            return
        if entry_id in self.peers:
            self.peers[entry_id].address = address
            return
        link = PeerLink(entry_id, address, self._status, self._apply_peer_status)
        self.peers[entry_id] = link
        self.peer_greenlets[entry_id] = gevent.spawn(supervised(link.run, self.metrics))

    def _close_peers(self) -> None:
        gevent.killall(list(self.peer_greenlets.values()))

    def _status(self) -> dict[str, Any]:
        estimate = self.admission.own_estimate()
        return PeerStatus(
            self.settings.entry_id,
            self.settings.dialled_address,
            self.configuration.version,
            self.owner_record.encode() if self.owner_record else b"",
            estimate.to_list() if estimate else None,
        ).to_map()

    def _answer_ping(self, status: dict[str, Any]) -> dict[str, Any]:
        """Connect to the pinging entry too, and return the status of this one.

        An entry that the store refuses cannot read the list of the others.
        """
        peer = PeerStatus.from_map(status)
        self._add_peer(peer.entry_id, peer.address)
        return self._status()

    def _apply_peer_status(self, link: PeerLink, status: dict[str, Any]) -> None:
        try:
            peer = PeerStatus.from_map(status)
        except MALFORMED as error:
            return self.ignored.record(PING_CALL, error)
        owner = decode_owner(Item(OWNER_KEY, peer.owner), self.ignored.recorder(PING_CALL))
        if owner is not None:
            self._apply_peer_owner(owner)
            if peer.backlog is not None and owner.entry_id == peer.entry_id:
                self._record_backlog(peer.backlog, owner.epoch)
        self.configuration.fetch(peer.configuration, link.entry_id, link.call)

    def _record_backlog(self, fields: list[Any], epoch: int) -> None:
        """Record the estimate of an owner, unless a newer one is known."""
        if self.owner_record is not None and epoch < self.owner_record.epoch:
            return
        try:
            self.admission.record_estimate(BacklogEstimate.from_list(fields), epoch)
        except MALFORMED as error:
            self.ignored.record(PING_CALL, error)

    def _handle(self, _connection: Connection, message: Message) -> Message | None:
        return answer_forward(self._answer_call, message)

    def _answer_call(self, name: str, payload: dict[str, Any]) -> dict[str, Any]:
        calls: dict[str, Callable[[dict[str, Any]], dict[str, Any]]] = {
            PING_CALL: self._answer_ping,
            CATALOG_CALL: lambda _: {"zlib": self.configuration.compressed_catalog},
            **{call: partial(self.relayed_store.answer_call, call) for call in STORE_CALLS},
            JOB_STATE_CALL: self._answer_job_state,
            INBOX_ITEM_CALL: self._answer_inbox_item,
            WAITING_JOBS_CALL: lambda _: self._require_owner().count_waiting(),
        }
        if name not in calls:
            raise InvalidInput(f"unknown call {name!r}", "upgrade the receiving entry")
        return calls[name](payload)

    def _require_owner(self) -> Owner:
        if self.owner is None or not self.owner.is_ready:
            raise Refused("this entry does not own the jobs", "send the call to the owner")
        return self.owner

    def _answer_job_state(self, payload: dict[str, Any]) -> dict[str, Any]:
        state = self._require_owner().job_state(check_text(payload["job_id"]))
        return {"state": state.value if state else ""}

    def _answer_inbox_item(self, payload: dict[str, Any]) -> dict[str, Any]:
        key = check_text(payload["key"])
        if not key.startswith(INBOX_PREFIX):
            raise InvalidInput(f"{key!r} is no key of the inbox", "upgrade the sending entry")
        item = Item(key, check_bytes(payload["value"]), check_integer(payload["revision"]))
        self._require_owner().apply_item(item)
        return {}
