"""Composition root of the daemon that forwards requests by routes."""

import math
import os
import random
import time
from collections.abc import Callable
from dataclasses import replace

import eventlet
from cassiastair.data import Vm
from cassiastair.errors import SettingsError
from cassiastair.forwarding import (
    ConnectionShares,
    Forwarder,
    ForwardingDependencies,
    OutlierDetector,
    RetryBudget,
    RoutedTarget,
    RoutedTargetRegistry,
    SendCounts,
    TargetLimits,
)
from cassiastair.forwarding.prober import TargetProber
from cassiastair.forwarding.readiness import RouteReadiness
from cassiastair.forwarding.retry_budget import RetryBudgetLimits
from cassiastair.forwarding.route_latencies import RouteLatencies
from cassiastair.forwarding.target_chooser import RoutedTargetChooser
from cassiastair.membership import (
    Freshness,
    MemberList,
    ReaderSelection,
    StoreContact,
)
from cassiastair.pauses import PauseDetector
from cassiastair.replication import (
    ReplicationNode,
    StoreClient,
    StoreReader,
    StoreReplica,
    UnconfirmedItems,
)
from cassiastair.routing import RoutingTable

from ..allocator import map_large_blocks
from ..caller_sockets import CALLER_SOCKET_SHARE, find_max_sockets
from ..drain import Drain
from ..heap_freezer import HeapFreezer
from ..peers import LinkManager, PeerServer
from ..peers.call_forwarder import CallForwarder
from ..port_waiter import PortWaiter
from ..targets.reply_memory import ReplyMemory
from ..tasks import run_supervised
from .boot_clock import BootClock
from .caller_server import CallerServer
from .decoded_precedence import DecodedPrecedence
from .entry_memory import EntryMemory, read_resident_memory
from .entry_settings import EntrySettings
from .event_log import EventLog
from .http_codec import HttpCodec
from .item_decoder import ItemDecoder
from .metrics_page import MetricsPage
from .readiness_server import ReadinessServer
from .request_stats import RequestStats
from .routed_transport import RoutedTransport
from .store_change_applier import StoreChangeApplier

BACKLOG = 1024
MAINTENANCE_INTERVAL_S = 0.5  # interval of the maintenance task
MIN_VM_COUNT = 7  # VMs assumed to share limits until more are known
DEFAULT_CONNECTION_LIMIT = 16  # per target of a service without a limit
LOCAL_DEGREE = 4  # links inside the data centre, which form two rings
CROSS_DEGREE = 2  # links to other data centres, which form one ring
ACCEPTING_SHARE = 0.5  # share of the stop grace for which connections are accepted
BYE_FLUSH_S = 0.05  # time to send the last messages to peers
STORE_READ_SHARE = 0.32  # of the memory, for one reading of the store
REPLY_SHARE = 0.2  # of the memory, for replies that are being received
STOP_MARGIN_S = 0.4  # time before the end of the grace at which requests are ended
FINAL_ANSWERS_S = 0.1  # time to write the answers of requests that are ended


class EntryDaemon:
    """Wires the components of one entry VM and runs their tasks.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    codec : HttpCodec
        Decodes and encodes HTTP messages.
    decoder : ItemDecoder
        Decodes the items of the platform's store.
    make_store_client : callable
        Returns a client of the store, given its host and port and the bound on the
        bytes that it reads at a time.
    log : EventLog
        Log of the process.
    ports : PortWaiter
        Opens the listeners.
    metrics_port : int
        TCP port of the metrics page.
    replace_part : callable
        Returns the class to build instead of a part's class, see `ablation`.

    Raises
    ------
    OSError
        If a port cannot be opened.
    """

    def __init__(
        self,
        settings: EntrySettings,
        codec: HttpCodec,
        decoder: ItemDecoder,
        make_store_client,
        log: EventLog,
        ports: PortWaiter,
        metrics_port: int,
        replace_part: Callable[[type], type] = lambda part: part,
    ):
        self.settings = settings
        self._replace_part = replace_part
        self._rng = random.Random()
        self._clock = BootClock()
        self.log = log
        self.drain = Drain()
        self.stats = RequestStats()
        self.pauses = PauseDetector(self._clock)
        self.loop_lag = 0.0
        self._pruned_version = -1
        self._reload_requested = False
        self._paused_targets: set[str] = set()
        self.own = self._make_own_vm()
        self._wire_forwarding(codec)
        max_read_bytes = int(STORE_READ_SHARE * settings.memory_bytes)
        store = make_store_client(*settings.store_address, max_read_bytes)
        self._wire_replication(decoder, store)
        # The peer port comes first: a previous process holds it to its end, but closes
        # the listener for callers earlier, whom nobody would serve here meanwhile.
        self._peer_server = ports.open(PeerServer, *settings.peer_address)
        self._ready_listener = ports.open(listen, *settings.ready_address)
        self._metrics_port = metrics_port
        self._caller_listener = ports.open(listen, *settings.caller_address)

    def _make_own_vm(self) -> Vm:
        """Return the description of this VM, with a new incarnation."""
        settings = self.settings
        return Vm(
            name=settings.vm,
            incarnation=f"{time.time_ns():016x}{self._rng.getrandbits(32):08x}",
            data_centre=settings.data_centre,
            host=settings.host,
            api_port=settings.caller_address[1],
            peer_port=settings.peer_address[1],
        )

    def _wire_forwarding(self, codec: HttpCodec) -> None:
        """Create the components that serve callers."""
        settings = self.settings
        self.members = MemberList(self.own, self._clock)
        self.table = RoutingTable(self._rng)
        replace_part = self._replace_part
        shares = replace_part(ConnectionShares)(
            self.own.name,
            self.own.data_centre,
            self._get_connection_limit,
            self.count_vms,
            self.members.count_in,
        )
        map_large_blocks()
        self.memory = EntryMemory(
            settings.memory_bytes, self._clock, read_resident_memory
        )
        self.reply_memory = ReplyMemory(
            int(REPLY_SHARE * settings.memory_bytes), self.memory.replies
        )
        self.transport = RoutedTransport(
            codec, self._clock, shares, self.reply_memory, self._find_health_path
        )
        self.registry = RoutedTargetRegistry(
            self._clock,
            settings.target_drain_s,
            self.transport.retire,
            lambda: self.node.find_change_age(),
        )
        self.outliers = replace_part(OutlierDetector)(self._clock)
        self.limits = TargetLimits(
            self._clock, self.own.name, self._list_vms, self.count_vms
        )
        limits = RetryBudgetLimits(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        dependencies = ForwardingDependencies(
            table=self.table,
            registry=self.registry,
            transport=self.transport,
            chooser=RoutedTargetChooser(
                self._rng,
                settings.data_centre,
                self.outliers,
                self.transport.keeps_connection,
            ),
            retry_budget=replace_part(RetryBudget)(self._clock, limits, self.count_vms),
            latencies=replace_part(RouteLatencies)(self._clock),
            outliers=self.outliers,
            limits=self.limits,
            decision_log=self.log,
            send_counts=SendCounts(),
            clock=self._clock,
        )
        self.dependencies = dependencies
        self.prober = TargetProber(
            self.registry,
            self.transport.probe,
            self._record_displaced,
            eventlet.spawn_n,
            eventlet.sleep,
            self._clock,
        )
        self.readiness = RouteReadiness(self.table, self.registry)
        self.request_forwarder = Forwarder(dependencies)
        self.server = CallerServer(
            self.request_forwarder,
            self.table,
            codec,
            self.drain,
            self.log,
            self.stats,
            self.is_ready,
            self._clock,
            self.memory,
            int(CALLER_SOCKET_SHARE * find_max_sockets(settings.max_sockets)),
        )

    def _wire_replication(self, decoder: ItemDecoder, store: StoreClient) -> None:
        """Create the components that replicate the platform's store."""
        self.store = store
        self.applier = StoreChangeApplier(decoder, self.table, self.registry, self.log)
        self.freshness = Freshness(self._clock)
        self.unconfirmed = UnconfirmedItems(
            self._clock,
            DecodedPrecedence(decoder),
            self.applier.apply,
            self.settings.record_lapse_s,
            self.freshness,
            self._log_event,
        )
        self.replica = StoreReplica(
            self.unconfirmed.apply_changes, self.unconfirmed.apply_restored
        )
        store_contact = StoreContact(self._clock)
        self.reader_selection = ReaderSelection(
            self.own.name, self.own.data_centre, self.members.local_names, self._clock
        )
        self.node = ReplicationNode(
            self.own,
            self.members,
            self.replica,
            self.freshness,
            self.reader_selection,
            lambda: self.reader.store_available,
            self.outliers,
            self.limits,
            store_contact,
            self.unconfirmed,
        )
        self.node.log_event = self._log_event
        self.forwarder = CallForwarder(refuse_call)
        self.link_manager = LinkManager(
            self.node,
            self.forwarder,
            self.settings.seed_peers,
            LOCAL_DEGREE,
            CROSS_DEGREE,
            self._clock,
        )
        propagation_limit_s = min(
            self.settings.target_drain_s, self.settings.config_apply_s
        )
        self.reader = StoreReader(
            store,
            self.replica,
            self.reader_selection,
            self.freshness,
            store_contact,
            self.node.publish,
            propagation_limit_s,
            self._log_event,
            eventlet.sleep,
            self._rng,
        )

    def _get_connection_limit(self, service: str) -> int:
        """Return how many connections each target of a service accepts."""
        configuration = self.table.configuration
        if configuration is None:
            return DEFAULT_CONNECTION_LIMIT
        return configuration.connection_limits.get(service, DEFAULT_CONNECTION_LIMIT)

    def _find_health_path(self, service: str) -> str | None:
        """Return the path at which the targets of a service say who they are."""
        configuration = self.table.configuration
        return configuration and configuration.health_paths.get(service)

    def _record_displaced(self, target: RoutedTarget) -> None:
        """Record that a probe was answered by another process than its target."""
        if self.registry.record_displaced(target):
            self.log.warn("target displaced", "", target=target.name)

    def _list_vms(self) -> list[str]:
        """Return the names of all known VMs, this one included."""
        return [self.own.name, *(vm.name for vm in self.members.all())]

    def count_vms(self) -> int:
        """Return the number of VMs that share connection limits and retry budgets."""
        return max(MIN_VM_COUNT, 1 + self.members.count())

    def is_ready(self) -> bool:
        """Return True if this VM is ready for callers' requests."""
        if self.drain.draining or self.table.configuration is None:
            return False
        return len(self.registry) > 0 and self.readiness.is_ready()

    def _make_metrics(self) -> MetricsPage:
        """Return the metrics page with all metrics registered."""
        page = MetricsPage(self.stats)
        sends = self.dependencies.send_counts
        page.add_counters("sends_total", "Sends by reason.", "reason", sends.by_reason)
        page.add_counters("send_ends_total", "Ends of sends.", "end", sends.by_outcome)
        page.add_counters_by(
            "sends_not_made_total",
            "Hedges and retries not sent.",
            ("reason", "service"),
            sends.unsent,
        )
        page.add_counters(
            "extra_sends_total",
            "Sends charged to the retry budget.",
            "service",
            sends.charged,
        )
        page.add_counters(
            "misdirected_sends_total",
            "Sends to targets whose address another process has.",
            "service",
            sends.misdirected,
        )
        add = page.add_gauge
        add("configuration_version", "In force.", lambda: self.table.version)
        replica = self.replica
        add("news_era", "Known completely.", lambda: replica.position.era)
        add("news_revision", "In that era.", lambda: replica.position.revision)
        add("news_age_seconds", "Age of the store's word.", self._read_store_age)
        add("news_unconfirmed", "Kept items.", lambda: len(self.unconfirmed))
        add("store_calls", "Calls of the store.", lambda: self.store.calls)
        add("store_era", "Last named by the store.", lambda: self.reader.era)
        add(
            "store_history_gone",
            "Watches refused.",
            lambda: self.reader.history_gone_count,
        )
        add(
            "store_reading",
            "Whether this VM reads.",
            lambda: self.reader_selection.reading,
        )
        add("targets", "Targets that may get work.", lambda: len(self.registry))
        add("targets_out_of_reach", "Of them.", self.registry.count_unreachable)
        add("targets_in_trouble", "Slow or failing.", self.outliers.count)
        add("targets_leaving", "By their word.", self.registry.count_leaving)
        add("targets_displaced", "Address reused.", self.registry.count_displaced)
        add("targets_paused", "For a time.", lambda: len(self.registry.list_paused()))
        add("targets_limited", "With a named rate.", self.limits.count)
        add("peer_links", "Open links.", lambda: len(self.node.links))
        add("known_vms", "VMs that share bounds.", self.count_vms)
        server = self.server
        add("caller_connections", "Open now.", lambda: server.open_count)
        add(
            "caller_connections_refused",
            "Above their bound.",
            lambda: server.refused_connections,
        )
        add("requests_in_progress", "Now.", lambda: self.drain.in_progress)
        memory = self.reply_memory
        add("reply_bytes_held", "Of incomplete replies.", lambda: memory.held)
        add("replies_over_memory", "Given up.", lambda: memory.exceeded_count)
        account = self.memory.account
        add("memory_limit_bytes", "For other's bytes.", lambda: account.limit)
        add("memory_waiting_bytes", "Not read yet.", lambda: account.waiting)
        for holder in account.holders:
            name = f"memory_{holder.name}_bytes"
            add(name, "Reserved.", lambda holder=holder: holder.held)
            name = f"memory_{holder.name}_refusals"
            add(name, "Refused.", lambda holder=holder: holder.refused_count)
        add("connections_opened", "To targets.", self.transport.count_opened)
        add("items_refused", "Items not decoded.", lambda: self.applier.refused_count)
        add("log_lines_dropped", "Lines not written.", lambda: self.log.dropped)
        add("pauses", "Pauses of the process.", lambda: self.pauses.pause_count)
        add("loop_lag_seconds", "Last lateness of a timer.", lambda: self.loop_lag)
        return page

    def _read_store_age(self) -> float:
        """Return the age of the replica of the store in seconds, -1 if unknown."""
        age = self.freshness.age
        return -1.0 if age == float("inf") else age

    def start(self) -> None:
        """Start all tasks and return at once."""
        self._peer_server.attach(self.node, self.forwarder)
        ready = ReadinessServer(self.is_ready, self._make_metrics().render)
        for task, *args in (
            (self.server.run, self._caller_listener),
            (self.server.close_timed_out,),
            (ready.run, self._ready_listener),
            (self._serve_metrics, ready),
            (self._peer_server.run,),
            (self.link_manager.run,),
            (self.reader.run, self._may_wait_for_peers()),
            (self.prober.run,),
            (self._run_maintenance,),
        ):
            eventlet.spawn_n(self._run_task, task, *args)
        self.log.warn("started", "", incarnation=self.own.incarnation, pid=os.getpid())

    def _serve_metrics(self, server: ReadinessServer) -> None:
        """Serve the metrics page; while its port is in use, callers are served."""
        ports = PortWaiter(eventlet.sleep, math.inf, self._log_event)
        server.run(ports.open(listen, self.settings.host, self._metrics_port))

    def _log_event(self, event: str, **fields: object) -> None:
        """Log an event that belongs to no request."""
        self.log.warn(event, "", **fields)

    def _may_wait_for_peers(self) -> bool:
        """Return True if this VM waits for peers before it reads the store.

        Peers may send the store's state in that time. A VM without seeds, or one
        that is a seed itself, does not wait.
        """
        peers = self.settings.seed_peers
        return bool(peers) and self.settings.peer_address not in peers

    def _run_task(self, task, *args) -> None:
        """Run a task that must not end; log the errors that end it."""

        def report(name: str, error: Exception) -> None:
            self.log.warn("task ended", "", task=name, reason=repr(error), trace=True)

        run_supervised(task, *args, report=report)

    def _run_maintenance(self) -> None:
        """Remove expired state, freeze the heap and detect pauses at intervals."""
        heap = HeapFreezer()
        while True:
            self.registry.remove_expired()
            self.unconfirmed.release_expired()
            self.transport.update_shares()
            self._share_outliers()
            self._share_limits()
            self._log_resumed()
            self._prune_statistics()
            if heap.freeze_if_grown(len(self.replica)):
                self.memory.measure_idle()
            self._check_memory()
            due = self._clock.now() + MAINTENANCE_INTERVAL_S
            eventlet.sleep(MAINTENANCE_INTERVAL_S)
            self.loop_lag = max(0.0, self._clock.now() - due)
            pause_count = self.pauses.pause_count
            self.pauses.check()
            if self.pauses.pause_count > pause_count:
                self.log.warn("paused", "", lag_ms=round(self.loop_lag * 1000))

    def _check_memory(self) -> None:
        """Return free memory after a crest; log the begin and the end of pressure."""
        change = self.memory.check()
        if change is not None:
            account = self.memory.account
            self.log.warn(
                "memory pressure",
                "",
                state=change,
                held=self.memory.list_held(),
                refused=self.memory.list_refused(),
                limit=account.limit,
            )

    def _share_outliers(self) -> None:
        """Send the outlier targets to peers and log targets whose state changed."""
        self.node.share_outliers()
        for name, state in self.outliers.find_changes():
            self.log.warn("target trouble", "", target=name, state=state)

    def _log_resumed(self) -> None:
        """Log the targets whose pause is over."""
        paused = set(self.registry.list_paused())
        for name in sorted(self._paused_targets - paused):
            self.log.warn("target resumed", "", target=name)
        self._paused_targets = paused

    def _share_limits(self) -> None:
        """Send the limits of targets to peers and log those that have changed."""
        self.limits.update()
        self.node.share_limits()
        for name, rate in self.limits.find_changes():
            self.log.warn("target limit", "", target=name, rate=rate)

    def _prune_statistics(self) -> None:
        """Remove statistics of routes and services that a new version dropped."""
        configuration = self.table.configuration
        if configuration is None or configuration.version == self._pruned_version:
            return
        self._pruned_version = configuration.version
        names = {route.name for route in configuration.routes}
        self.dependencies.latencies.retain_only(names)
        services = self.table.referenced_services()
        self.dependencies.retry_budget.retain_only(services)
        self.dependencies.send_counts.retain_only(services)

    def request_reload(self, read_settings) -> None:
        """Read the settings again in a task, unless one is about to do so."""
        if not self._reload_requested:
            self._reload_requested = True
            eventlet.spawn_n(self.reload, read_settings)

    def reload(self, read_settings) -> None:
        """Read the settings again and apply those that may change at run time."""
        self._reload_requested = False
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
        self.link_manager.set_seeds(settings.seed_peers)
        self.log.warn("settings read", "", peers=len(settings.seed_peers))

    def stop(self) -> bool:
        """Stop gracefully; return True if every request in progress finished.

        Requests that last until the end of the grace are answered then with what is
        known of them, instead of being cut.
        """
        self.log.warn("stopping", "", in_progress=self.drain.in_progress)
        grace_s = self.settings.stop_grace_s
        stop_at = self._clock.now() + grace_s - STOP_MARGIN_S
        self.drain.draining = True
        eventlet.sleep(grace_s * ACCEPTING_SHARE)
        self.request_forwarder.begin_stop(stop_at)
        self.server.stop_listening()
        while self.server.open_count and self._clock.now() < stop_at:
            self.server.close_idle_connections()
            eventlet.sleep(0.02)
        all_finished = not self.drain.in_progress
        if not all_finished:
            self.request_forwarder.finish_all()
            eventlet.sleep(FINAL_ANSWERS_S)
        self.node.send_bye()
        eventlet.sleep(BYE_FLUSH_S)
        self.log.warn("stopped", "", in_progress=self.drain.in_progress)
        return all_finished


def listen(host: str, port: int):
    """Return a listener that shares its port with no other process."""
    return eventlet.listen((host, port), backlog=BACKLOG, reuse_port=False)


def refuse_call(call) -> tuple[int, dict]:
    """Answer 404 to a call; VMs that forward by routes accept no forwarded writes."""
    return 404, {}
