"""Composition root: builds and connects the services of one daemon."""

import math
import os
import random
import threading
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NoReturn

import structlog

from chicorychute.admission.quarantine import Quarantine
from chicorychute.conf.settings import Settings
from chicorychute.core.clock import Clock
from chicorychute.core.messages import (
    PROTOCOL_VERSION,
    AnswerChunk,
    AnswerCredit,
    AnswerHead,
    Beat,
    BodyChunk,
    Cancel,
    DigestUpdate,
    Forward,
    Gossip,
    Hello,
    ListedUpstream,
    ListRequest,
    ListUpdate,
    MemberRecord,
    MemberStatus,
    Message,
    ProbeRequest,
    Pulse,
    QuarantineNotice,
    Recall,
    RecalledAnswer,
    RecalledRefusal,
    RecallNoted,
    Refusal,
    Relay,
    TableAnnounce,
    TableRequest,
    TableUpdate,
)
from chicorychute.core.system_clock import SystemClock
from chicorychute.membership.readers import READERS_PER_ZONE
from chicorychute.membership.regional import RegionalView
from chicorychute.membership.view import MembershipView
from chicorychute.orders.ledger import OrderLedger
from chicorychute.pipeline import filters
from chicorychute.pipeline.leaving import DrainState
from chicorychute.pipeline.measure import measure
from chicorychute.pipeline.once import OrderHome
from chicorychute.pipeline.request_log import log_end
from chicorychute.pipeline.startup import StartupHold
from chicorychute.pipeline.values import Handler, chain
from chicorychute.services.drain import DrainService
from chicorychute.services.entry import EntryService
from chicorychute.services.exchanges import Exchanges
from chicorychute.services.fleet import FleetService
from chicorychute.services.gate import GateService
from chicorychute.services.listing import RELAYING_READERS_PER_ZONE, ListService
from chicorychute.services.notices import NoticeService
from chicorychute.services.peers import PeerService
from chicorychute.services.permits import ServerPermits
from chicorychute.services.recalls import RecallService
from chicorychute.services.recorder import NoRecorder, Recorder
from chicorychute.services.reloading import SettingsWatch
from chicorychute.services.senders import Senders
from chicorychute.services.status import StatusReport
from chicorychute.services.stopping import StopSignals
from chicorychute.services.tables import TableService
from chicorychute.services.ticker import Task, Ticker
from chicorychute.sources.base import PlatformBackend
from chicorychute.sources.http import HttpPlatform
from chicorychute.sources.pacing import ReadPace
from chicorychute.table.rows import Table
from chicorychute.table.versions import TableVersions
from chicorychute.telemetry.instruments import Instruments
from chicorychute.telemetry.prometheus import render
from chicorychute.telemetry.tracing import PassThroughTracing, Tracing
from chicorychute.transport.callers import CallerWatch
from chicorychute.transport.dialect import Dialect
from chicorychute.transport.edge import (
    IDLE_TIMEOUT_S,
    EdgeApplication,
    EdgeServer,
)
from chicorychute.transport.links import Link, LinkHub
from chicorychute.transport.operator import OperatorPages, OperatorServer

QUEUE_TICK_S = 0.05
NOTICE_REPAIR_S = 2.0
CALLER_TICK_S = 0.1
# Bounds the updates that an upstream causes if it fails and recovers repeatedly.
RISK_PUBLISH_INTERVAL_S = 0.2
RECALL_TICK_S = 0.05
PROBE_TICK_S = 0.1
# A list that has become complete is applied again within this time.
LIST_COMPLETION_TICK_S = 0.5
# A change of the settings file takes effect within this time.
SETTINGS_TICK_S = 1.0
PLATFORM_TICK_S = 0.1
# Pause between two reads of the table: edits in quick succession are read as one.
TABLE_PAUSE_S = 0.5
# Fraction of the time until the kill. Requests that still run after five sixths of that
# time may be aborted, and the exit takes up to STOP_LIMIT_S and the time to write the
# last log lines.
DRAIN_FRACTION = 0.84
# Time for the listeners to close once nothing is in flight.
STOP_LIMIT_S = 0.5
EXIT_DRAINED = 0
EXIT_ABORTED = 1  # Requests were aborted at shutdown.

logger = structlog.get_logger()


class Daemon:
    """One daemon, built from its settings and started by `run`.

    Parameters
    ----------
    record_path : Path, optional
        File to which the trace of the gate's decisions is written.
    record_max_bytes : int
        Size at which the recording stops.
    settings_path : Path, optional
        Settings file, which is read again when it changes.

    Raises
    ------
    RecordError
        If the trace file can't be opened for writing.
    OSError
        If a listener can't be opened, as when its port is in use.
    """

    def __init__(
        self,
        settings: Settings,
        record_path: Path | None = None,
        record_max_bytes: int = 0,
        settings_path: Path | None = None,
    ):
        self._settings_watch = SettingsWatch(
            settings_path, settings, self._apply_settings
        )
        self._settings = settings
        self._clock = SystemClock()
        services = tuple((u.id, u.service) for u in settings.upstreams)
        self._recorder = (
            Recorder(record_path, services, self._clock, record_max_bytes)
            if record_path is not None
            else NoRecorder()
        )
        self._rng = random.Random()
        self._stop_requested = threading.Event()
        self._edge_listens = False
        self._risk_published_s = -math.inf
        self.on_exit: Callable[[], None] = lambda: None
        self._build()

    def _build(self) -> None:
        get = self._settings.get
        instance = get("instance", "id")
        hello = Hello(
            PROTOCOL_VERSION,
            instance,
            int(self._clock.utc().timestamp() * 1000),
            get("instance", "zone"),
            get("instance", "region"),
        )
        self._tracing = _tracing(self._settings, instance, self._rng)
        self._telemetry = Instruments(instance, self._clock)
        self._exchanges = Exchanges(self._clock)
        self._dialect = _dialect(self._settings, self._own_service)
        self._platform = _platform(self._settings, self._clock)
        self._build_links(hello)
        self._build_fleet(hello)
        self._build_gate(hello)
        self._build_shutdown()
        handle = self._build_pipeline(hello)
        self._peers = PeerService(
            self._gate, self._clock, handle, self._tables.table, hello.incarnation
        )
        self._recalls = RecallService(
            self._exchanges,
            self._fleet,
            self._senders,
            lambda: self._peers,
            self._clock,
            self._rng,
            self._telemetry.recall_steps,
        )
        self._build_edge(handle)
        self._build_operator()
        self._tickers = self._make_tickers(self._platform)

    def _build_links(self, hello: Hello) -> None:
        get = self._settings.get
        telemetry = self._telemetry
        self._hub = LinkHub(
            hello,
            (get("peer", "host"), get("peer", "port")),
            self._clock,
            self._on_message,
            self._on_closed,
            lambda fault: telemetry.link_faults.add(fault.value),
            telemetry.link_bytes,
        )
        self._senders = Senders(self._get_hub)

    def _build_fleet(self, hello: Hello) -> None:
        get = self._settings.get
        own = MemberRecord(
            hello.instance,
            hello.incarnation,
            0,
            MemberStatus.ALIVE,
            get("peer", "host"),
            self._hub.port,
            hello.zone,
            hello.region,
            0,
            (),
        )
        suspect_after_s = get("gossip", "suspect_after_s").total_seconds()
        view = (
            self._nearby_view(own)
            if get("gossip", "scope") == "region"
            else MembershipView(own, suspect_after_s, self._clock, self._rng)
        )
        self._list_pace = self._read_pace(get("platform", "poll_s").total_seconds())
        self._watch_pace = self._read_pace(TABLE_PAUSE_S)
        self._fleet = FleetService(
            view,
            get("peer", "seeds"),
            self._senders,
            self._rng,
            self._on_listed_leaving,
            RELAYING_READERS_PER_ZONE if self._is_mesh else READERS_PER_ZONE,
        )
        self._lists = ListService(
            self._fleet,
            self._platform,
            get("peer", "port"),
            self._senders,
            self._list_pace,
            self._clock,
            self._on_listed,
            relays=self._is_mesh,
        )
        self._notices = NoticeService(self._fleet, self._get_hub, self._rng)
        self._tables = TableService(
            TableVersions(self._clock),
            self._platform,
            self._fleet,
            self._lists.reads_platform,
            self._senders,
            self._watch_pace,
            self._rng,
            self._on_table,
            self._lists.watch_wait_s,
        )

    def _nearby_view(self, own: MemberRecord) -> RegionalView:
        get = self._settings.get
        interval_s = get("gossip", "interval_s").total_seconds()
        return RegionalView(own, interval_s, self._clock, get("gossip", "regions"))

    def _build_gate(self, hello: Hello) -> None:
        self._gate = GateService(
            self._settings.upstreams,
            self._clock,
            self._tracing,
            self._fleet.peer_digests,
            Quarantine(hello.instance, hello.incarnation, self._clock),
            self._notices.send_to_all,
            self._recorder,
            self._dialect,
            self._is_mesh,
            self._settings.get("health", "episodes") == "on",
            self._publish_risk,
        )

    def _build_shutdown(self) -> None:
        self._leaving = DrainState(self._clock)
        limit_s = self._settings.get("shutdown", "drain_limit_s").total_seconds()
        kill_s = self._settings.get("shutdown", "kill_after_s").total_seconds()
        if kill_s:
            limit_s = min(limit_s, kill_s * DRAIN_FRACTION)
        self._drain = DrainService(
            self._leaving,
            self._fleet,
            self._gate,
            self._senders,
            limit_s,
            self._clock,
            lambda: not self._home.idle(),
            self._settings.get("shutdown", "settle_s").total_seconds(),
        )

    def _build_pipeline(self, hello: Hello) -> Handler:
        """Return the handler of requests, its filters in the order of this list."""
        clock = self._clock
        entry = EntryService(
            self._gate,
            self._fleet,
            self._exchanges,
            self._get_hub,
            clock,
            self._rng,
            self._settings.get("platform", "retry_slack"),
        )
        ledger = OrderLedger(hello.instance, hello.incarnation, clock)
        self._home = OrderHome(ledger, entry.relay, clock)
        self._permits = ServerPermits(self._settings.get("edge", "threads"))
        self._startup = StartupHold(self._can_route, clock)
        return chain(
            [
                self._leaving.track,
                filters.trace(self._tracing, "entry"),
                measure(self._telemetry.requests, clock),
                log_end(clock, lambda: self._tables.version),
                self._home.confirm_not_run,
                self._startup.filter,
                filters.route(self._tables.routes),
                filters.in_turn,
                self._permits.filter,
                self._leaving.refuse_new,
                filters.deadline(clock),
                self._leaving.limit_deadline,
                self._home.handle_orders,
            ],
            entry.handle,
        )

    def _build_edge(self, handle: Handler) -> None:
        get = self._settings.get
        telemetry = self._telemetry
        self._callers = CallerWatch()
        application = EdgeApplication(
            handle,
            self._home.new_token,
            self._clock,
            get("edge", "max_body_bytes"),
            self._leaving.is_serving,
            lambda reason: telemetry.bad_requests.add(reason.value),
            self._callers,
            self._dialect,
        )
        self._edge = EdgeServer(
            application,
            (get("edge", "host"), get("edge", "port")),
            get("edge", "threads"),
            get("edge", "max_header_bytes"),
            get("edge", "read_limit_s").total_seconds(),
        )

    def _build_operator(self) -> None:
        get = self._settings.get
        telemetry = self._telemetry
        self._publish_metrics(self._platform)
        report = StatusReport(
            self._fleet, self._tables, self._gate, telemetry, self._why_not_ready
        )
        pages = OperatorPages(
            self._why_not_ready,
            report.as_json,
            lambda: render(telemetry.metrics.collect()),
            self._tables.table,
        )
        self._operator = OperatorServer(
            pages, (get("operator", "host"), get("operator", "port"))
        )

    def _publish_metrics(self, platform: PlatformBackend | None) -> None:
        telemetry = self._telemetry
        telemetry.publish_upstreams(self._gate.digests)
        telemetry.publish_members(
            lambda: Counter(status.value for _, status in self._fleet.snapshot())
        )
        telemetry.publish_table_conflicts(lambda: self._tables.conflicts)
        if platform is not None:
            telemetry.publish_platform_reads(lambda: platform.reads)

    def _make_tickers(self, platform: PlatformBackend | None) -> list[Ticker]:
        get = self._settings.get
        gossip_s = get("gossip", "interval_s").total_seconds()
        tasks = [
            Task("gate", QUEUE_TICK_S, self._gate.tick),
            Task("callers", CALLER_TICK_S, self._callers.poll),
            Task("recalls", RECALL_TICK_S, self._recalls.tick),
            Task("probe", PROBE_TICK_S, self._gate.probe),
            Task("gossip", gossip_s, self._gossip),
            Task("notices", NOTICE_REPAIR_S, self._repair_notices),
            Task("list completion", LIST_COMPLETION_TICK_S, self._lists.complete),
            Task("settings", SETTINGS_TICK_S, self._settings_watch.poll),
        ]
        tickers = [Ticker("rounds", tasks, self._clock, self._is_idle)]
        if platform is not None:
            tickers.append(self._read_ticker("list", self._lists.read, self._list_pace))
            tickers.append(self._read_ticker("watch", self._watch, self._watch_pace))
        return tickers

    def _read_ticker(
        self, name: str, work: Callable[[], object], pace: ReadPace
    ) -> Ticker:
        """Return a separate ticker for reads, which may block on the platform."""
        task = Task(name, PLATFORM_TICK_S, work, lambda: pace.until_next_s)
        return Ticker(name, [task], self._clock)

    def _is_idle(self) -> bool:
        return self._gate.idle() and self._callers.idle()

    def _read_pace(self, interval_s: float) -> ReadPace:
        spread_s = self._settings.get("platform", "start_spread_s").total_seconds()
        max_pause_s = self._settings.get("platform", "longest_pause_s").total_seconds()
        return ReadPace(interval_s, spread_s, self._clock, self._rng, max_pause_s)

    def run(self) -> NoReturn:
        """Serve until a signal asks to stop, then end the process."""
        StopSignals(self._on_stop_signal, self._settings_watch.on_signal).listen()
        self._hub.start()
        self._operator.start()
        for ticker in self._tickers:
            ticker.start()
        self._edge.start()
        self._edge_listens = True
        logger.info("daemon: serving", instance=self._fleet.own().instance)
        self._stop_requested.wait()
        self._home.leave()
        drained = self._drain.run()
        if drained:
            stopping = threading.Thread(target=self._stop, daemon=True)
            stopping.start()
            stopping.join(STOP_LIMIT_S)
            self._recorder.close()
        logger.info("daemon: stopped")
        self.on_exit()
        # A normal exit would join threads that wait for an upstream or a peer.
        os._exit(EXIT_DRAINED if drained else EXIT_ABORTED)

    def _on_stop_signal(self) -> None:
        if self._stop_requested.is_set():
            self._drain.abort()
        self._stop_requested.set()

    def _apply_settings(self, settings: Settings) -> frozenset[str]:
        self._gate.apply_settings(settings.upstreams)
        self._lists.apply_again()
        return frozenset({"upstream"})

    def _on_listed_leaving(self) -> None:
        self._home.leave()
        self._drain.leave()

    def _stop(self) -> None:
        self._edge.stop()
        for ticker in self._tickers:
            ticker.stop()
        self._operator.stop()
        self._hub.stop()

    def _get_hub(self) -> LinkHub:
        return self._hub

    @property
    def _is_mesh(self) -> bool:
        return self._settings.get("platform", "backend") == "mesh"

    def _own_service(self) -> str:
        return self._gate.service_of(self._settings.upstreams[0].id)

    def _on_listed(self, upstreams: tuple[ListedUpstream, ...], complete: bool) -> None:
        if self._gate.apply_list(upstreams, complete):
            self._publish()
            self._fleet.send_own_record()
        self._startup.update()

    def _publish(self) -> None:
        digests = self._gate.digests()
        self._telemetry.verdicts.observe(digests)
        self._fleet.publish(
            self._tables.version,
            digests,
            self._tables.hash,
            self._lists.announced_revision(),
        )

    def _gossip(self) -> None:
        self._publish()
        self._fleet.gossip()

    def _publish_risk(self) -> None:
        """Notify peers at once that an upstream is at risk, not in the next round."""
        now_s = self._clock.monotonic()
        if now_s - self._risk_published_s >= RISK_PUBLISH_INTERVAL_S:
            self._risk_published_s = now_s
            self._publish()
            self._fleet.send_own_record()

    def _repair_notices(self) -> None:
        self._notices.send_to_one(self._gate.notices())

    def _watch(self) -> None:
        if not self._stop_requested.is_set():
            self._tables.watch()

    def _on_table(self, table: Table) -> None:
        self._gate.apply(table)
        self._permits.apply(table)
        self._peers.apply(table)
        idle_s = max((row.idle_s for row in table.rows), default=0.0)
        self._edge.set_idle_timeout(idle_s or IDLE_TIMEOUT_S)
        self._telemetry.table.set_version(table.version)
        self._startup.update()

    def _can_route(self) -> bool:
        """Return whether the table is known and, where it decides, the list."""
        has_list = not self._is_mesh or self._lists.revision > 0
        return bool(self._tables.version) and has_list

    def _why_not_ready(self) -> str:
        if self._stop_requested.is_set():
            return "leaving"
        if not self._tables.version:
            return "no table yet"
        return "" if self._edge_listens else "the edge does not listen yet"

    def _on_message(self, link: Link, message: Message) -> None:
        match message:
            case Forward() if self._drain.on_forward(link, message):
                pass
            case Forward() | Relay():
                self._peers.on_peer_request(link, message)
            case BodyChunk():
                self._peers.on_body(link, message)
            case AnswerCredit():
                link.windows.credit(message.id, message.chunks)
            case Cancel():
                link.windows.cancel(message.id)
                self._peers.on_cancel(link, message)
            case AnswerHead() | AnswerChunk() | Refusal():
                self._exchanges.on_answer_message(link, message)
            case Gossip():
                self._fleet.on_gossip(link, message)
                self._tables.on_gossip(link, message)
            case Beat(record):
                self._fleet.on_beat(link, message)
                announce = TableAnnounce(record.table_version, record.table_hash)
                self._tables.on_announce(link, announce)
                self._lists.on_announced(link, record.list_revision)
            case Pulse():
                self._fleet.on_pulse(link, message)
                self._lists.on_announced(link, message.list_revision)
            case ListRequest():
                self._lists.on_request(link, message)
            case ListUpdate():
                self._lists.on_update(link, message)
            case DigestUpdate():
                self._fleet.on_digests(message)
            case ProbeRequest():
                self._fleet.on_probe_request(message)
            case TableAnnounce():
                self._tables.on_announce(link, message)
            case TableRequest():
                self._tables.on_request(link, message)
            case TableUpdate():
                self._tables.on_update(link, message)
            case QuarantineNotice():
                self._gate.on_notice(message)
            case Recall():
                self._recalls.on_recall(link, message)
            case RecallNoted() | RecalledAnswer() | RecalledRefusal():
                self._recalls.on_reply(message)

    def _on_closed(self, link: Link) -> None:
        link.windows.close()
        self._exchanges.on_closed(link)
        self._peers.on_closed(link)


def _platform(settings: Settings, clock: Clock) -> PlatformBackend | None:
    factory_by_backend: dict[str, Callable[[], PlatformBackend | None]] = {
        "http": lambda: HttpPlatform(settings.get("platform", "url"), clock),
        "mesh": lambda: _mesh_platform(settings, clock),
        "none": lambda: None,
    }
    return factory_by_backend[settings.get("platform", "backend")]()


def _mesh_platform(settings: Settings, clock: Clock) -> PlatformBackend:
    from chicorychute.platform.backend import MeshPlatform
    from chicorychute.platform.store import StoreClient
    from chicorychute.platform.tables import PolicyValues

    policy = PolicyValues(
        settings.get("platform", "retry_share"),
        settings.get("platform", "retry_burst"),
        settings.get("platform", "floor"),
    )
    store = StoreClient(settings.get("platform", "url"), clock)
    return MeshPlatform(store, settings.get("peer", "port"), policy)


def _dialect(settings: Settings, own_service: Callable[[], str]) -> Dialect:
    if settings.get("platform", "backend") != "mesh":
        return Dialect()
    from chicorychute.platform.dialect import MeshDialect

    return MeshDialect(own_service)


def _tracing(settings: Settings, instance: str, rng: random.Random) -> Tracing:
    if settings.get("trace", "export") == "off":
        return PassThroughTracing(rng)
    from chicorychute.telemetry.spans import LogExporter, RecordedTracing

    return RecordedTracing(instance, settings.get("trace", "ratio"), LogExporter())
