"""The composition root of the daemon that forwards by routes."""

import os
import random
import time
from dataclasses import replace

import eventlet
from cassiastair.data import Vm
from cassiastair.errors import SettingsError
from cassiastair.forwarding import (
    Forwarder,
    ForwardingDependencies,
    OutlierDetector,
    RetryBudget,
    RoutedTargetRegistry,
    SendCounts,
)
from cassiastair.forwarding.prober import TargetProber
from cassiastair.forwarding.readiness import RouteReadiness
from cassiastair.forwarding.retry_budget import RetryBudgetLimits
from cassiastair.forwarding.route_latencies import RouteLatencies
from cassiastair.forwarding.target_chooser import RoutedTargetChooser
from cassiastair.membership import Freshness, MemberList, ReaderSelection
from cassiastair.pauses import PauseDetector
from cassiastair.replication import (
    ReplicationNode,
    StoreClient,
    StoreReader,
    StoreReplica,
)
from cassiastair.routing import RoutingTable

from ..drain import Drain
from ..heap_freezer import HeapFreezer
from ..peers import LinkManager, PeerServer
from ..peers.call_forwarder import CallForwarder
from .boot_clock import BootClock
from .caller_server import CallerServer
from .entry_settings import EntrySettings
from .event_log import EventLog
from .http_codec import HttpCodec
from .item_decoder import ItemDecoder
from .metrics_page import MetricsPage
from .ready_server import ReadyServer
from .request_counts import RequestCounts
from .routed_transport import RoutedTransport
from .store_change_applier import StoreChangeApplier

BACKLOG = 1024
METRICS_PORT = int(os.environ.get("CASSIASTAIRD_METRICS_PORT", "9102"))
TEND_S = 0.5  # interval of looks at leaving targets and the heap
LEAST_VMS = 7  # VMs assumed to share bounds until more are known
DEFAULT_CONNECTIONS = 16  # connections of a target whose service states no limit
LOCAL_DEGREE = 4  # links inside the data centre: two rings
CROSS_DEGREE = 2  # links to other data centres: one ring
STOP_SHARE = 0.5  # part of the grace for which new connections are taken
FLUSH_S = 0.05  # time for a last word to peers
END_MARGIN_S = 0.4  # time before the end of the grace at which work is given up


class EntryDaemon:
    """One entry VM.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    dialect : Dialect
        Words requests and answers.
    decoder : ItemDecoder
        Decodes the store's items.
    open_store : callable
        Makes the client of the store from its host and port.
    """

    def __init__(
        self,
        settings: EntrySettings,
        dialect: HttpCodec,
        decoder: ItemDecoder,
        open_store,
    ):
        self.settings = settings
        self._source = random.Random()
        self._clock = BootClock()
        self.log = EventLog(settings.vm, self._clock)
        self.drain = Drain()
        self.counts = RequestCounts()
        self.pauses = PauseDetector(self._clock)
        self.lag = 0.0
        self._tidied = -1
        self.own = self._make_own()
        self._wire_forwarding(dialect)
        self._wire_news(decoder, open_store(*settings.store_address))
        self._listeners = [
            eventlet.listen(address, backlog=BACKLOG)
            for address in (
                settings.caller_address,
                settings.ready_address,
                (settings.host, METRICS_PORT),
            )
        ]
        self._peer_server = PeerServer(*settings.peer_address)

    def _make_own(self) -> Vm:
        """Return this VM with a new incarnation."""
        settings = self.settings
        return Vm(
            name=settings.vm,
            incarnation=f"{time.time_ns():016x}{self._source.getrandbits(32):08x}",
            data_centre=settings.data_centre,
            host=settings.host,
            api_port=settings.caller_address[1],
            peer_port=settings.peer_address[1],
        )

    def _wire_forwarding(self, dialect: HttpCodec) -> None:
        """Make what serves callers."""
        settings = self.settings
        self.roster = MemberList(self.own, self._clock)
        self.table = RoutingTable(self._source)
        self.transport = RoutedTransport(
            dialect, self._clock, self._get_connections, self.count_vms
        )
        self.book = RoutedTargetRegistry(
            self._clock, settings.target_drain_s, self.transport.close_idle
        )
        self.troubled = OutlierDetector(self._clock)
        bounds = RetryBudgetLimits(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        parts = ForwardingDependencies(
            table=self.table,
            registry=self.book,
            transport=self.transport,
            chooser=RoutedTargetChooser(
                self._source, settings.data_centre, self.troubled
            ),
            retry_budget=RetryBudget(self._clock, bounds, self.count_vms),
            latencies=RouteLatencies(self._clock),
            outliers=self.troubled,
            decisions=self.log,
            send_counts=SendCounts(),
            clock=self._clock,
        )
        self.parts = parts
        self.prober = TargetProber(
            self.book,
            self.transport.probe,
            eventlet.spawn_n,
            eventlet.sleep,
            self._clock,
        )
        self.reach = RouteReadiness(self.table, self.book)
        self.server = CallerServer(
            Forwarder(parts),
            self.table,
            dialect,
            self.drain,
            self.log,
            self.counts,
            self.is_ready,
            self._clock,
        )

    def _wire_news(self, decoder: ItemDecoder, store: StoreClient) -> None:
        """Make what learns from the platform."""
        self.store = store
        self.intake = StoreChangeApplier(decoder, self.table, self.book, self.log)
        self.news = StoreReplica(self.intake.take)
        self.freshness = Freshness(self._clock)
        self.turns = ReaderSelection(
            self.own.name, self.own.data_centre, self.roster.local_names, self._clock
        )
        self.node = ReplicationNode(
            self.own,
            self.roster,
            self.news,
            self.freshness,
            self.turns,
            lambda: self.reader.store_available,
            self.troubled,
        )
        self.node.log_event = lambda event, **inputs: self.log.warn(event, "", **inputs)
        self.forwarder = CallForwarder(refuse_call)
        self.keeper = LinkManager(
            self.node,
            self.forwarder,
            self.settings.seed_peers,
            LOCAL_DEGREE,
            CROSS_DEGREE,
            self._clock,
        )
        bound = min(self.settings.target_drain_s, self.settings.config_apply_s)
        self.reader = StoreReader(
            store,
            self.news,
            self.turns,
            self.freshness,
            self.node.publish,
            bound,
            lambda event, **inputs: self.log.warn(event, "", **inputs),
            eventlet.sleep,
            self._source,
        )

    def _get_connections(self, service: str) -> int:
        """Return the connections that each target of a service accepts."""
        configuration = self.table.configuration
        if configuration is None:
            return DEFAULT_CONNECTIONS
        return configuration.connection_limits.get(service, DEFAULT_CONNECTIONS)

    def count_vms(self) -> int:
        """Return the VMs that share the bounds of targets and budgets."""
        return max(LEAST_VMS, 1 + self.roster.count())

    def is_ready(self) -> bool:
        """Tell whether this VM takes work."""
        if self.drain.draining or self.table.configuration is None:
            return False
        return len(self.book) > 0 and self.reach.is_ready()

    def _make_metrics(self) -> MetricsPage:
        """Return the metrics page with all readings."""
        page = MetricsPage(self.counts)
        sends = self.parts.send_counts
        page.add_table("sends_total", "Sends by reason.", "reason", sends.by_reason)
        page.add_table("send_ends_total", "Ends of sends.", "end", sends.by_outcome)
        add = page.add_gauge
        add("configuration_version", "In force.", lambda: self.table.version)
        add("news_revision", "Known completely.", lambda: self.news.revision)
        add("news_age_seconds", "Age of the store's word.", self._read_age)
        add("store_calls", "Calls of the store.", lambda: self.store.calls)
        add("store_reading", "Whether this VM reads.", lambda: self.turns.reading)
        add("targets", "Targets that may get work.", lambda: len(self.book))
        add("targets_out_of_reach", "Of them.", self.book.count_unreachable)
        add("targets_in_trouble", "Slow or failing.", self.troubled.count)
        add("peer_links", "Open links.", lambda: len(self.node.links))
        add("known_vms", "VMs that share bounds.", self.count_vms)
        add("requests_in_progress", "Now.", lambda: self.drain.in_progress)
        add("connections_opened", "To targets.", self.transport.count_opened)
        add("items_refused", "Items not decoded.", lambda: self.intake.refused)
        add("log_lines_dropped", "Lines not written.", lambda: self.log.dropped)
        add("pauses", "Pauses of the process.", lambda: self.pauses.pause_count)
        add("loop_lag_seconds", "Last lateness of a timer.", lambda: self.lag)
        return page

    def _read_age(self) -> float:
        """Return the age of the store's word, -1 before the first."""
        age = self.freshness.age
        return -1.0 if age == float("inf") else age

    def start(self) -> None:
        """Start every task; returns at once."""
        callers, questions, metrics = self._listeners
        self._peer_server.start(self.node, self.forwarder)
        ready = ReadyServer(self.is_ready, self._make_metrics().render)
        for task, *inputs in (
            (self.server.run, callers),
            (ready.run, questions),
            (ready.run, metrics),
            (self.keeper.run,),
            (self.reader.run, self._may_wait()),
            (self.prober.run,),
            (self._tend,),
        ):
            eventlet.spawn_n(self._run_task, task, *inputs)
        self.log.warn("started", "", incarnation=self.own.incarnation, pid=os.getpid())

    def _may_wait(self) -> bool:
        """Tell whether peers may bring what is known before this VM reads."""
        peers = self.settings.seed_peers
        return bool(peers) and self.settings.peer_address not in peers

    def _run_task(self, task, *inputs) -> None:
        """Run a task that must not end; log what ended it."""
        try:
            task(*inputs)
        except Exception as error:
            self.log.warn(
                "task ended", "", task=task.__qualname__, reason=repr(error), trace=True
            )
            raise

    def _tend(self) -> None:
        """Look after leaving targets and the heap in a short interval."""
        heap = HeapFreezer()
        while True:
            self.book.remove_expired()
            self.transport.tend()
            self._tend_troubled()
            self._forget_unused()
            heap.freeze_if_grown(len(self.news))
            due = self._clock.now() + TEND_S
            eventlet.sleep(TEND_S)
            self.lag = max(0.0, self._clock.now() - due)
            paused = self.pauses.pause_count
            self.pauses.check()
            if self.pauses.pause_count > paused:
                self.log.warn("paused", "", lag_ms=round(self.lag * 1000))

    def _tend_troubled(self) -> None:
        """Tell peers which targets are in trouble, and log what has changed."""
        self.node.share_outliers()
        for name, state in self.troubled.find_changes():
            self.log.warn("target trouble", "", target=name, state=state)

    def _forget_unused(self) -> None:
        """Forget what was learned of routes and services that are gone."""
        configuration = self.table.configuration
        if configuration is None or configuration.version == self._tidied:
            return
        self._tidied = configuration.version
        names = {route.name for route in configuration.routes}
        self.parts.latencies.retain_only(names)
        self.parts.retry_budget.retain_only(self.table.referenced_services())

    def reload(self, read_settings) -> None:
        """Take the settings that may change while the daemon runs."""
        try:
            settings = read_settings()
        except SettingsError as error:
            self.log.warn("settings refused", "", reason=error.message[:500])
            return
        self.settings = replace(
            self.settings,
            seed_peers=settings.seed_peers,
            stop_grace_s=settings.stop_grace_s,
        )
        self.keeper.set_seeds(settings.seed_peers)
        self.log.warn("settings read", "", peers=len(settings.seed_peers))

    def stop(self) -> bool:
        """Stop gracefully; tell whether every request came to its end."""
        self.log.warn("stopping", "", in_progress=self.drain.in_progress)
        grace = self.settings.stop_grace_s
        started = self._clock.now()
        self.drain.draining = True
        eventlet.sleep(grace * STOP_SHARE)
        self.server.stop_listening()
        while self.drain.in_progress:
            if self._clock.now() - started > grace - END_MARGIN_S:
                break
            eventlet.sleep(0.02)
        whole = not self.drain.in_progress
        self.node.send_bye()
        eventlet.sleep(FLUSH_S)
        self.log.warn("stopped", "", in_progress=self.drain.in_progress)
        return whole


def refuse_call(call) -> tuple[int, dict]:
    """Answer a forwarded write, which VMs of this kind do not take."""
    return 404, {}
