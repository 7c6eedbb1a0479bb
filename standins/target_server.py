"""A target stand-in that serves the target protocol, with limits and faults.

Requests wait for a slot, work for a random time and are answered from computed
records. The control port changes the settings, and thereby switches faults.
"""

import random
import socket
import time
from collections import Counter, deque

import eventlet
import orjson
from eventlet.event import Event
from eventlet.semaphore import Semaphore

from .raw_http import RawRequest, RequestReader, format_reply
from .records import find_matching_records, make_records
from .target_settings import TargetSettings
from .two_ports import TwoPortServer

COLD_SLOWDOWN = 5.0  # factor of the work time while the target is cold
FROZEN_POLL_INTERVAL_S = 0.05


class TargetServer:
    """Serves the target protocol on one port, and control requests on another.

    Parameters
    ----------
    settings : TargetSettings
        Size, speed and faults of the target.
    host : str
        Loopback address to listen on.
    port : int
        TCP port of the target protocol; 0 lets the system choose.

    Attributes
    ----------
    counts : Counter
        Number of requests by kind, of refusals by code, and of connections.
    executions : Counter
        Number of executions of each non-idempotent request, by request id.
    """

    def __init__(
        self, settings: TargetSettings, host: str = "127.0.0.1", port: int = 0
    ):
        self.settings = settings
        self._rng = random.Random(settings.seed)
        self.incarnation = f"{time.time_ns():x}"
        self._records = make_records(settings.service)
        self._slots = Semaphore(settings.slots)
        self.counts: Counter = Counter()
        self.executions: Counter = Counter()
        self._in_progress = 0
        self._load_history: deque = deque([(0.0, 0.0)], maxlen=4096)
        self._started_at = time.monotonic()
        self._cancel_events: dict[str, Event] = {}
        self._sockets: set = set()
        self._silent_sockets: set = set()
        self._ports = TwoPortServer(
            self._serve_connection, self._serve_control, host, port
        )
        self.port = self._ports.port
        self.control_port = self._ports.control_port

    def start(self) -> None:
        """Start accepting connections, without blocking."""
        self._ports.start()

    def stop(self) -> None:
        """Stop listening and end all connections, as if the process were killed."""
        self._ports.stop()
        for sock in list(self._sockets):
            shut_down_socket(sock)

    def _serve_connection(self, sock) -> None:
        """Serve one connection, or close it if there are too many."""
        if len(self._sockets) >= self.settings.connection_limit:
            self.counts["connections_refused"] += 1
            return
        self._sockets.add(sock)
        self.counts["connections"] += 1
        highest = max(self.counts["connections_highest"], len(self._sockets))
        self.counts["connections_highest"] = highest
        try:
            eventlet.sleep(self.settings.connect_ms / 1000)
            self._serve_requests(sock)
        finally:
            self._sockets.discard(sock)
            self._silent_sockets.discard(sock)

    def _serve_requests(self, sock) -> None:
        """Answer the requests of a connection in order, unless it is silenced."""
        reader = RequestReader(sock)
        while (request := reader.read()) is not None:
            if sock in self._silent_sockets:
                continue
            reply = self._handle_request(request)
            if sock in self._silent_sockets:
                continue
            if reply is None:
                return
            sock.sendall(reply)

    def _handle_request(self, request: RawRequest) -> bytes | None:
        """Return the reply to a request, delayed while the target is frozen."""
        while self.settings.frozen:
            eventlet.sleep(FROZEN_POLL_INTERVAL_S)
        if request.path == "/v1/read":
            return self._read(request.json())
        if request.path == "/v1/write":
            return self._write(request.json())
        if request.path == "/v1/cancel":
            return self._cancel(request.json())
        if request.path == "/v1/report":
            return format_reply(200, self._make_report())
        return format_reply(404, {"code": "not_found"})

    def _refuse(self, status: int, attempt: str, code: str, **more) -> bytes:
        """Count a refusal and return its reply."""
        self.counts[code] += 1
        document = {"attempt": attempt, "code": code, "incarnation": self.incarnation}
        return format_reply(status, {**document, **more})

    def _refuse_if_unavailable(self, attempt: str) -> bytes | None:
        """Return a refusal if the target is draining or sheds the request."""
        if self.settings.draining:
            return self._refuse(503, attempt, "draining")
        if self.settings.pause_ms is not None:
            return self._refuse(503, attempt, "shed", pause_ms=self.settings.pause_ms)
        full = self._in_progress >= self.settings.slots + self.settings.queue_limit
        if full or self._rng.random() < self.settings.shed_share:
            return self._refuse(503, attempt, "shed")
        return None

    def _read(self, body: dict) -> bytes | None:
        """Return the reply to a read."""
        attempt = body["attempt"]
        self.counts["reads"] += 1
        refusal = self._refuse_if_unavailable(attempt)
        if refusal is not None:
            return refusal
        held = self.settings.held
        version, epoch = body["version"], body["epoch"]
        if not any(e == epoch and low <= version <= high for e, low, high in held):
            return self._refuse(409, attempt, "not_held", held=held)
        result = self._work(attempt, body["deadline_ms"] / 1000)
        if result != "done":
            return self._refuse(504 if result == "expired" else 499, attempt, result)
        self.counts["answers"] += 1
        return self._format_read_reply(body)

    def _format_read_reply(self, body: dict) -> bytes | None:
        """Return the reply to a read whose work is done."""
        bounds = (body["version"], body["start"], body["end"])
        records = find_matching_records(
            self.settings.service, self._records, body["query"], bounds
        )
        document = {
            "attempt": body["attempt"],
            "service": self.settings.service,
            "version": body["version"],
            "epoch": body["epoch"],
            "start": body["start"],
            "end": body["end"],
            "records": records,
            "held": self.settings.held,
            "incarnation": self.incarnation,
            "load": self._compute_reported_load(),
        }
        return format_with_fault(self.settings.bad_answer, document)

    def _work(self, attempt: str, timeout: float) -> str:
        """Spend the work time of a request, at most `timeout` seconds.

        Returns
        -------
        str
            ``done``, ``cancelled`` or ``expired``.
        """
        cancelled = Event()
        self._cancel_events[attempt] = cancelled
        self._in_progress += 1
        self._record_load()
        try:
            with eventlet.Timeout(max(timeout, 0.001), False):
                return self._work_in_slot(cancelled)
            return "expired"
        finally:
            self._in_progress -= 1
            self._cancel_events.pop(attempt, None)

    def _work_in_slot(self, cancelled: Event) -> str:
        """Wait for a slot and work in it; return ``done`` or ``cancelled``."""
        with self._slots:
            if cancelled.ready():
                return "cancelled"
            with eventlet.Timeout(self._draw_work_seconds(), False):
                cancelled.wait()
                return "cancelled"
        return "done"

    def _draw_work_seconds(self) -> float:
        """Return a random work time of a request in its slot, in seconds."""
        settings = self.settings
        factor = settings.slow_factor
        if time.monotonic() - self._started_at < settings.cold_s:
            factor *= COLD_SLOWDOWN
        spread = 0.5 + self._rng.random()
        return settings.work_ms / 1000 * factor * spread

    def _write(self, body: dict) -> bytes | None:
        """Run a non-idempotent request, count the execution and return the reply."""
        attempt = body["attempt"]
        self.counts["writes"] += 1
        refusal = self._refuse_if_unavailable(attempt)
        if refusal is not None:
            return refusal
        if body["deadline_ms"] <= 0:
            return self._refuse(504, attempt, "expired")
        self.executions[body["request_id"]] += 1
        eventlet.sleep(self._draw_work_seconds())
        document = {
            "attempt": attempt,
            "result": {"noted": True, "key": body["key"]},
            "incarnation": self.incarnation,
        }
        return format_with_fault(self.settings.bad_answer, document)

    def _cancel(self, body: dict) -> bytes:
        """Cancel an attempt that is queued or in work."""
        event = self._cancel_events.get(body["attempt"])
        if event is not None and not event.ready():
            event.send(None)
        self.counts["cancels"] += 1
        return format_reply(200, {"cancelled": event is not None})

    def _record_load(self) -> None:
        """Record the current load for delayed reports."""
        load = self._in_progress / self.settings.slots
        self._load_history.append((time.monotonic(), load))

    def _compute_reported_load(self) -> float:
        """Return the load in the reports, which a fault may fix or delay.

        The true load is the number of requests in progress divided by the slots.
        """
        if self.settings.report_load is not None:
            return self.settings.report_load
        if not self.settings.report_lag_s:
            return self._in_progress / self.settings.slots
        latest = time.monotonic() - self.settings.report_lag_s
        lagged_loads = [load for at, load in self._load_history if at <= latest]
        return lagged_loads[-1] if lagged_loads else 0.0

    def _make_report(self) -> dict:
        """Return the target's report of its state, load and held versions."""
        self.counts["reports"] += 1
        settings = self.settings
        return {
            "incarnation": self.incarnation,
            "serving": settings.lies_serving or not settings.draining,
            "load": self._compute_reported_load(),
            "held": settings.held,
        }

    def _serve_control(self, sock) -> None:
        """Serve a control connection. A POST changes settings; replies show counts."""
        reader = RequestReader(sock)
        while (request := reader.read()) is not None:
            if request.method == "POST":
                self.change(request.json())
            sock.sendall(format_reply(200, self.make_status()))

    def change(self, changes: dict) -> None:
        """Change settings by name.

        The key ``silence`` is no setting: if true, the connections that are open now
        never get a reply again.

        Raises
        ------
        ValueError
            If there is no setting of a name.
        """
        if changes.pop("silence", False):
            self._silent_sockets |= self._sockets
        for name, value in changes.items():
            if not hasattr(self.settings, name):
                raise ValueError(f"no setting {name}")
            setattr(self.settings, name, value)

    def make_status(self) -> dict:
        """Return the counts, the executions by request id and the open connections."""
        return {
            "name": self.settings.name,
            "counts": dict(self.counts),
            "executions": dict(self.executions),
            "open_connections": len(self._sockets),
        }


def format_with_fault(fault: str, document: dict) -> bytes | None:
    """Return the bytes of a reply, altered by a fault of `BAD_ANSWERS` if one is on."""
    if fault == "crossed":
        document = {**document, "attempt": "f" * 16}
    elif fault == "foreign_version":
        document = {**document, "version": document.get("version", 0) + 1}
    elif fault == "wide_range":
        document = {**document, "start": 0, "end": 2**32}
    elif fault == "huge_numbers":
        document = {**document, "start": -1, "end": 2**60}
    reply = format_reply(200, document)
    if fault == "truncated":
        return reply[:-30]
    if fault == "garbage":
        return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\xff{]["
    if fault == "duplicated":
        return reply + reply
    return reply


def shut_down_socket(sock) -> None:
    """Shut a connection down; the task that serves it closes the socket."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return  # the other end has closed the connection already


def parse_settings(text: str) -> TargetSettings:
    """Return the settings that a JSON text contains."""
    return TargetSettings(**orjson.loads(text))
