"""Composition root, which creates and connects the objects of a daemon."""

import random
import time
from functools import partial

import eventlet
from cassiastair.admission import AdaptiveAdmission, UnlimitedAdmission
from cassiastair.at_most_once import RequestIdIssuer
from cassiastair.at_most_once.writer import Writer
from cassiastair.data import Vm
from cassiastair.membership import (
    DrainingTargets,
    Freshness,
    MemberList,
    ReaderSchedule,
)
from cassiastair.pauses import PauseDetector
from cassiastair.peers import TicketNode
from cassiastair.search import SearchDependencies, SearchEngine, TailTolerances
from cassiastair.search.observer import TargetObserver
from cassiastair.snapshots import HeldVersionsTable
from cassiastair.targets import (
    PowerOfTwoChooser,
    RandomChooser,
    ReportedLoadChooser,
    TargetRegistry,
)
from cassiastair.ticket_source import PlatformReader
from cassiastair.tickets import StateMap
from eventlet import wsgi
from loguru import logger

from .allocator import map_large_blocks
from .api import Api, ApiConnections
from .api.connections import MAX_CALLER_CONNECTIONS
from .api.query_handlers import QueryHandlers
from .api.status_handlers import StatusHandlers
from .api.write_handlers import WriteHandlers
from .clock import MonotonicClock
from .drain import Drain
from .entry.entry_memory import EntryMemory, read_resident_memory
from .heap_freezer import HeapFreezer
from .metrics import Metrics
from .peers import LinkManager, PeerServer
from .platform_entry_applier import PlatformEntryApplier
from .port_waiter import PortWaiter
from .settings import Settings, parse_peers
from .status import Status
from .target_monitor import TargetMonitor
from .targets import HttpTargetClient
from .targets.reply_memory import ReplyMemory
from .tasks import run_supervised
from .ticket_source import HttpPlatformSource
from .trace_store import TraceStore

CHOOSERS = {
    "evidence": PowerOfTwoChooser,
    "random": RandomChooser,
    "report": ReportedLoadChooser,
}
ADMISSIONS = {"adaptive": AdaptiveAdmission, "open": UnlimitedAdmission}
PAUSE_CHECK_INTERVAL_S = 0.25
HEAP_CHECK_INTERVAL_S = 1.0
LISTEN_BACKLOG = 1024
BYTES_PER_MB = 1_000_000
REPLY_SHARE = 0.2  # of the memory, for replies that are being received


class Daemon:
    """One entry daemon with its listening sockets and background tasks.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    ports : PortWaiter
        Opens the listeners.

    Raises
    ------
    OSError
        If the daemon cannot listen on a port.
    """

    def __init__(self, settings: Settings, ports: PortWaiter):
        self._settings = settings
        self._rng = random.Random()
        self._clock = MonotonicClock()
        self._peer_server = ports.open(PeerServer, settings.host, settings.peer_port)
        self._api_socket = ports.open(listen, settings.host, settings.api_port)
        self.own = self._create_own_vm()
        self.drain = Drain()
        self._wire_memory()
        self.metrics = Metrics()
        self._wire_state()
        self._wire_targets()
        self._wire_platform()
        self._wire_api()
        self._wire_metrics()

    def _create_own_vm(self) -> Vm:
        """Return the description of this VM with a new incarnation."""
        incarnation = f"{time.time_ns():016x}{self._rng.getrandbits(32):08x}"
        settings = self._settings
        return Vm(
            name=settings.vm,
            incarnation=incarnation,
            data_centre=settings.data_centre,
            host=settings.host,
            api_port=self._api_socket.getsockname()[1],
            peer_port=self._peer_server.port,
        )

    def _wire_memory(self) -> None:
        """Create the account of the memory that callers' bytes take."""
        settings = self._settings
        map_large_blocks()
        memory_bytes = BYTES_PER_MB * settings.memory_mb
        self.memory = EntryMemory(memory_bytes, self._clock, read_resident_memory)
        self.reply_memory = ReplyMemory(
            int(REPLY_SHARE * memory_bytes), self.memory.replies
        )
        self.connections = ApiConnections(
            self._api_socket,
            self.memory,
            self._clock,
            settings.idle_timeout_ms / 1000,
            settings.transfer_timeout_ms / 1000,
        )

    def _wire_state(self) -> None:
        """Create the state that VMs replicate and the node that exchanges it."""
        self.state = StateMap()
        self.members = MemberList(self.own, self._clock)
        self.freshness = Freshness(self._clock)
        self.draining_targets = DrainingTargets()
        self.pauses = PauseDetector(self._clock)
        self.node = TicketNode(
            self.own,
            self.state,
            self.members,
            self.freshness,
            self.draining_targets,
            get_revision=lambda: self.reader.revision,
            advance_revision=lambda revision: self.reader.advance_to(revision),
            on_confirmed=self.pauses.record_contact,
        )
        self.node.log_event = logger.info

    def _wire_targets(self) -> None:
        """Create the search engine, the writer and the client of the targets."""
        clock = self._clock
        catalogue = self.state.catalogue
        self.traces = TraceStore()
        self.held_versions = HeldVersionsTable()
        self.registry = TargetRegistry(
            catalogue, self.draining_targets, clock, self._settings.vm_count
        )
        self.client = HttpTargetClient(self.registry, clock, self.reply_memory)
        self.admission = ADMISSIONS[self._settings.admission](clock)
        chooser = CHOOSERS[self._settings.target_choice](self._rng)
        observer = TargetObserver(
            self.held_versions,
            self.draining_targets,
            clock,
            self.node.broadcast_drain_mark,
            self.node.log_event,
        )
        self.dependencies = SearchDependencies(
            catalogue=catalogue,
            registry=self.registry,
            held_versions=self.held_versions,
            client=self.client,
            chooser=chooser,
            tail_tolerance=TailTolerances(clock),
            admission=self.admission,
            observer=observer,
            tracer=self.traces,
            clock=clock,
            rng=self._rng,
        )
        self.engine = SearchEngine(self.dependencies)
        self.writer = Writer(
            registry=self.registry,
            client=self.client,
            chooser=chooser,
            observer=observer,
            pauses=self.pauses,
            tracer=self.traces,
            clock=clock,
            rng=self._rng,
        )
        self.target_monitor = TargetMonitor(
            self.dependencies, self.client, self.draining_targets, clock, self._rng
        )

    def _wire_platform(self) -> None:
        """Create the reader of the platform's configuration service."""
        self.entry_applier = PlatformEntryApplier(self.node, self.members)
        self.reader = PlatformReader(
            HttpPlatformSource(self._settings.platform_url),
            ReaderSchedule(self.own.name, self.own.data_centre),
            self.members,
            self.freshness,
            self._on_entries,
            eventlet.sleep,
            self._rng,
        )

    def _on_entries(self, entries) -> None:
        """Apply the entries of a page and record the contact with the platform."""
        self.entry_applier.apply(entries)
        self.pauses.record_contact()

    def _wire_api(self) -> None:
        """Create the HTTP interface and the manager of peer links."""
        catalogue = self.state.catalogue
        query_handlers = QueryHandlers(
            self.engine,
            catalogue,
            self.admission,
            self._clock,
            self.metrics,
            lambda: self.drain.refusing,
        )
        issuer = RequestIdIssuer(self.own.name, self.own.incarnation, self._clock)
        write_handlers = WriteHandlers(
            issuer,
            self.writer,
            catalogue,
            lambda name, timeout: self.link_manager.get_or_open_link(name, timeout),
            self._clock,
            self._rng,
            self.metrics,
            lambda: self.drain.refusing,
        )
        self.status = self._create_status()
        status_handlers = StatusHandlers(
            self.status, self.state, self.traces, self.metrics, self.is_ready
        )
        self.forwarder = write_handlers.forwarder
        self.link_manager = LinkManager(
            self.node,
            self.forwarder,
            parse_peers(self._settings.peers),
            self._settings.degree,
            self._settings.cross_degree,
            self._clock,
        )
        self.api = Api(
            query_handlers,
            write_handlers,
            status_handlers,
            self.drain,
            self.traces,
            self._clock,
            self._rng,
            self._settings.max_body_bytes,
        )

    def _create_status(self) -> Status:
        """Return the collector of the status pages."""
        return Status(
            node=self.node,
            state=self.state,
            registry=self.registry,
            held_versions=self.held_versions,
            draining_targets=self.draining_targets,
            freshness=self.freshness,
            reader=self.reader,
            entry_applier=self.entry_applier,
            admission=self.admission,
            client=self.client,
            pauses=self.pauses,
            drain=self.drain,
        )

    def _wire_metrics(self) -> None:
        """Add the gauges whose values are read when the metrics page is rendered."""
        add = self.metrics.add_gauge
        add(
            "ticket_highest",
            "Highest ticket in force.",
            lambda: self.state.highest_ticket,
        )
        add("objects", "Objects in force.", lambda: len(self.state.entries))
        add("peer_links", "Open peer links.", lambda: len(self.node.links))
        add("platform_calls", "Calls of the platform.", lambda: self.reader.calls)
        add("platform_age_seconds", "Age of its word.", lambda: self.freshness.age)
        add("in_flight", "Subrequests in flight.", lambda: self.admission.in_flight)
        add("admission_limit", "Bound on them.", lambda: self.admission.limit)
        add("caller_connections", "Open now.", lambda: self.connections.open_count)
        add(
            "caller_connections_refused",
            "For lack of room.",
            lambda: self.connections.refused_count,
        )
        add("memory_limit_bytes", "For callers.", lambda: self.memory.account.limit)
        add("memory_held_bytes", "Reserved.", lambda: self.memory.account.held)
        add("pauses", "Pauses of the process.", lambda: self.pauses.pause_count)
        add("silences", "Silent connections.", lambda: self.client.silence_count)

    def is_ready(self) -> bool:
        """Return True if the load balancer should send requests to this VM."""
        if self.drain.draining or not self.state.catalogue.services:
            return False
        return not self.state.catalogue.targets or self.target_monitor.is_warm()

    def start(self) -> None:
        """Start the background tasks and return at once."""
        self._peer_server.attach(self.node, self.forwarder)
        for task in (
            self._peer_server.run,
            self.link_manager.run,
            self.reader.run,
            self.target_monitor.run,
            self._check_pauses,
            self._freeze_heap,
            self.connections.run_checks,
            self._serve_api,
        ):
            eventlet.spawn_n(partial(run_supervised, task, report=log_task_end))

    def _serve_api(self) -> None:
        """Serve the HTTP interface."""
        wsgi.server(
            self.connections,
            self.api,
            log_output=False,
            protocol=self.connections.serve,
            max_size=MAX_CALLER_CONNECTIONS,
            debug=False,
        )

    def _check_pauses(self) -> None:
        """Check for process pauses and update the number of VMs at a short interval."""
        while True:
            self.pauses.check()
            known_vm_count = 1 + len(self.members.all())
            self.registry.set_vm_count(max(self._settings.vm_count, known_vm_count))
            eventlet.sleep(PAUSE_CHECK_INTERVAL_S)

    def _freeze_heap(self) -> None:
        """Freeze long-lived objects as the configuration grows.

        This keeps full garbage collections short.
        """
        freezer = HeapFreezer()
        while True:
            if freezer.freeze_if_grown(len(self.state.entries)):
                self.memory.measure_idle()
            eventlet.sleep(HEAP_CHECK_INTERVAL_S)

    def stop(self) -> bool:
        """Drain the daemon; return True if all requests ended before the hard stop."""
        settings = self._settings
        logger.info("draining")
        all_ended = self.drain.run(
            self._clock,
            eventlet.sleep,
            settings.drain_lag_ms / 1000,
            settings.hard_stop_ms / 1000,
        )
        self.node.send_bye()
        for link in list(self.node.links.values()):
            with eventlet.Timeout(1.0, False):
                link.flush()
        if all_ended:
            logger.info("stopped")
        else:
            logger.error("hard stop", in_progress=self.drain.in_progress)
        return all_ended


def listen(host: str, port: int):
    """Return a listener that shares its port with no other process."""
    return eventlet.listen((host, port), backlog=LISTEN_BACKLOG, reuse_port=False)


def log_task_end(task: str, error: Exception) -> None:
    """Log an error that ended a task."""
    logger.opt(exception=error).error("a task of the daemon ended", task=task)
