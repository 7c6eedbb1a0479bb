"""The composition root: wires the parts of one daemon and runs them."""

import random
import time

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

from .api import Api
from .api.query_handlers import QueryHandlers
from .api.status_handlers import StatusHandlers
from .api.write_handlers import WriteHandlers
from .clock import MonotonicClock
from .drain import Drain
from .heap_freezer import HeapFreezer
from .metrics import Metrics
from .peers import LinkManager, PeerServer
from .protocol import ApiProtocol
from .settings import Settings, parse_peers
from .status import Status
from .target_keeper import TargetKeeper
from .targets import HttpTargetClient
from .ticket_intake import TicketIntake
from .ticket_source import HttpPlatformSource
from .trace_store import TraceStore

CHOOSERS = {
    "evidence": PowerOfTwoChooser,
    "random": RandomChooser,
    "report": ReportedLoadChooser,
}
ADMISSIONS = {"adaptive": AdaptiveAdmission, "open": UnlimitedAdmission}
PAUSE_TICK_S = 0.25
HEAP_TICK_S = 1.0
BACKLOG = 1024
MAX_CALLER_CONNECTIONS = 10_000


class Daemon:
    """One entry daemon.

    Parameters
    ----------
    settings : Settings
        Checked settings.

    Raises
    ------
    OSError
        If a port cannot be listened on.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._source = random.Random()
        self._clock = MonotonicClock()
        self._socket = eventlet.listen(
            (settings.host, settings.api_port), backlog=BACKLOG
        )
        self._peer_server = PeerServer(settings.host, settings.peer_port)
        self.own = self._make_own()
        self.drain = Drain()
        self.metrics = Metrics()
        self._wire_state()
        self._wire_targets()
        self._wire_platform()
        self._wire_api()
        self._wire_metrics()

    def _make_own(self) -> Vm:
        """Return this VM with a new incarnation."""
        incarnation = f"{time.time_ns():016x}{self._source.getrandbits(32):08x}"
        settings = self._settings
        return Vm(
            name=settings.vm,
            incarnation=incarnation,
            data_centre=settings.data_centre,
            host=settings.host,
            api_port=self._socket.getsockname()[1],
            peer_port=self._peer_server.port,
        )

    def _wire_state(self) -> None:
        """Make what VMs share with one another."""
        self.state = StateMap()
        self.roster = MemberList(self.own, self._clock)
        self.freshness = Freshness(self._clock)
        self.leaving = DrainingTargets()
        self.pauses = PauseDetector(self._clock)
        self.node = TicketNode(
            self.own,
            self.state,
            self.roster,
            self.freshness,
            self.leaving,
            get_revision=lambda: self.reader.revision,
            advance_revision=lambda revision: self.reader.advance_to(revision),
            on_confirmed=self.pauses.record_contact,
        )
        self.node.log_event = logger.info

    def _wire_targets(self) -> None:
        """Make what speaks with targets and decides on them."""
        clock = self._clock
        catalogue = self.state.catalogue
        self.traces = TraceStore()
        self.held = HeldVersionsTable()
        self.fleet = TargetRegistry(
            catalogue, self.leaving, clock, self._settings.vm_count
        )
        self.client = HttpTargetClient(self.fleet, clock)
        self.admission = ADMISSIONS[self._settings.admission](clock)
        chooser = CHOOSERS[self._settings.target_choice](self._source)
        observer = TargetObserver(
            self.held, self.leaving, self.node.broadcast_drain_mark
        )
        self.parts = SearchDependencies(
            catalogue=catalogue,
            registry=self.fleet,
            held=self.held,
            client=self.client,
            chooser=chooser,
            tail_tolerance=TailTolerances(clock),
            admission=self.admission,
            observer=observer,
            tracer=self.traces,
            clock=clock,
            rng=self._source,
        )
        self.engine = SearchEngine(self.parts)
        self.writer = Writer(
            registry=self.fleet,
            client=self.client,
            chooser=chooser,
            observer=observer,
            pauses=self.pauses,
            tracer=self.traces,
            clock=clock,
            rng=self._source,
        )
        self.target_keeper = TargetKeeper(
            self.parts, self.client, self.leaving, clock, self._source
        )

    def _wire_platform(self) -> None:
        """Make the reader of the platform."""
        self.intake = TicketIntake(self.node, self.roster)
        self.reader = PlatformReader(
            HttpPlatformSource(self._settings.platform_url),
            ReaderSchedule(self.own.name, self.own.data_centre),
            self.roster,
            self.freshness,
            self._take_page,
            eventlet.sleep,
            self._source,
        )

    def _take_page(self, entries) -> None:
        """Take a page of the platform, which also ends the doubt after a pause."""
        self.intake.take(entries)
        self.pauses.record_contact()

    def _wire_api(self) -> None:
        """Make the HTTP interface."""
        catalogue = self.state.catalogue
        queries = QueryHandlers(
            self.engine,
            catalogue,
            self.admission,
            self._clock,
            self.metrics,
            lambda: self.drain.refusing,
        )
        issuer = RequestIdIssuer(self.own.name, self.own.incarnation, self._clock)
        writes = WriteHandlers(
            issuer,
            self.writer,
            catalogue,
            lambda name, limit: self.keeper.get_or_open_link(name, limit),
            self._clock,
            self._source,
            self.metrics,
            lambda: self.drain.refusing,
        )
        self.status = self._make_status()
        pages = StatusHandlers(
            self.status, self.state, self.traces, self.metrics, self.is_ready
        )
        self.forwarder = writes.forwarder
        self.keeper = LinkManager(
            self.node,
            self.forwarder,
            parse_peers(self._settings.peers),
            self._settings.degree,
            self._settings.cross_degree,
            self._clock,
        )
        self.api = Api(
            queries,
            writes,
            pages,
            self.drain,
            self.traces,
            self._clock,
            self._source,
            self._settings.max_body_bytes,
        )

    def _make_status(self) -> Status:
        """Return the description of the daemon."""
        return Status(
            node=self.node,
            state=self.state,
            fleet=self.fleet,
            held=self.held,
            leaving=self.leaving,
            freshness=self.freshness,
            reader=self.reader,
            intake=self.intake,
            admission=self.admission,
            client=self.client,
            pauses=self.pauses,
            drain=self.drain,
        )

    def _wire_metrics(self) -> None:
        """Add the values that are read when the metrics page is."""
        add = self.metrics.add_reading
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
        add("pauses", "Pauses of the process.", lambda: self.pauses.pause_count)
        add("silences", "Silent connections.", lambda: self.client.silence_count)

    def is_ready(self) -> bool:
        """Tell whether the balancer should send work."""
        if self.drain.draining or not self.state.catalogue.services:
            return False
        return not self.state.catalogue.targets or self.target_keeper.is_warm()

    def start(self) -> None:
        """Start every task; returns at once."""
        self._peer_server.start(self.node, self.forwarder)
        for task in (
            self.keeper.run,
            self.reader.run,
            self.target_keeper.run,
            self._watch_pauses,
            self._tend_heap,
            self._serve_api,
        ):
            eventlet.spawn(run_task, task)

    def _serve_api(self) -> None:
        """Serve callers."""
        wsgi.server(
            self._socket,
            self.api,
            log_output=False,
            protocol=ApiProtocol,
            max_size=MAX_CALLER_CONNECTIONS,
            debug=False,
        )

    def _watch_pauses(self) -> None:
        """Look at the clock in a short interval, and count the VMs."""
        while True:
            self.pauses.check()
            known = 1 + len(self.roster.all())
            self.fleet.set_vm_count(max(self._settings.vm_count, known))
            eventlet.sleep(PAUSE_TICK_S)

    def _tend_heap(self) -> None:
        """Keep garbage collections short as the configuration grows."""
        heap = HeapFreezer()
        while True:
            heap.freeze_if_grown(len(self.state.entries))
            eventlet.sleep(HEAP_TICK_S)

    def stop(self) -> bool:
        """Drain; tell whether every request in progress came to its end."""
        settings = self._settings
        logger.info("draining")
        whole = self.drain.run(
            self._clock,
            eventlet.sleep,
            settings.drain_lag_ms / 1000,
            settings.hard_stop_ms / 1000,
        )
        self.node.send_bye()
        for link in list(self.node.links.values()):
            with eventlet.Timeout(1.0, False):
                link.flush()
        if whole:
            logger.info("stopped")
        else:
            logger.error("hard stop", in_progress=self.drain.in_progress)
        return whole


def run_task(task) -> None:
    """Run a task that must not end; log what ended it."""
    try:
        task()
    except Exception:
        logger.exception("a task of the daemon ended", task=task.__qualname__)
        raise
