"""Accepts callers' connections and closes those that exceed their time limits."""

from collections.abc import Callable

import eventlet
from cassiastair.errors import CassiastairError, MalformedRequestError, MemoryFullError
from cassiastair.forwarding import DecisionLog, Forwarder
from cassiastair.routing import CallerLimits, RoutingTable
from eventlet.green import socket
from eventlet.greenio import GreenSocket

from ..caller_sockets import bound_buffers
from ..drain import Drain
from .caller_connection import CallerConnection
from .entry_memory import EntryMemory
from .handler import RequestHandler
from .http_codec import HttpCodec
from .http_message import HttpReply, HttpRequest
from .parsing_turns import ParsingTurns
from .request_stats import RequestStats

TIMEOUT_CHECK_INTERVAL_S = 0.5  # interval of checks for connections to time out
ROOM_SEARCH_INTERVAL_S = 0.1  # between searches for a connection to close
MAX_REFUSED_OPEN = 200  # refused callers that get time to read the answer
ACCEPT_RETRY_S = 0.05  # pause after a failed accept, for example out of descriptors


class CallerServer(RequestHandler):
    """Serves callers on one listening socket.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards decoded requests to targets.
    table : RoutingTable
        Holds the limits on callers' requests and the configuration's version.
    codec : HttpCodec
        Decodes requests and encodes replies.
    drain : Drain
        Counts requests in progress and states whether the daemon is stopping.
    decisions : DecisionLog
        Log of answers, refusals and failures.
    stats : RequestStats
        Counters and latencies for the metrics page.
    is_ready : callable
        Returns True if this VM is ready for callers' requests.
    clock : Clock
        Source of time.
    memory : EntryMemory
        Memory for the bytes of callers.
    max_connections : int
        Callers' connections that may be open.

    Attributes
    ----------
    refused_connections : int
        Number of connections that were closed at once, for lack of descriptors or
        memory.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        table: RoutingTable,
        codec: HttpCodec,
        drain: Drain,
        decisions: DecisionLog,
        stats: RequestStats,
        is_ready: Callable[[], bool],
        clock,
        memory: EntryMemory,
        max_connections: int,
    ):
        self._forwarder = forwarder
        self._table = table
        self._codec = codec
        self._drain = drain
        self._decisions = decisions
        self._stats = stats
        self._is_ready = is_ready
        self.clock = clock
        self.memory = memory
        self.turns = ParsingTurns()
        self._connections: set[CallerConnection] = set()
        self._socket_count = 0
        self._refused_open_count = 0
        self._no_room_until = float("-inf")
        self._max_connections = max_connections
        self.refused_connections = 0
        self._listener = None

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers' requests that are in force now."""
        return self._table.limits

    def should_close_connections(self) -> bool:
        """Return True if connections are to be closed after their next answer.

        A caller whose connection is closed reconnects through the platform, which
        directs it to a VM that is ready.
        """
        return self._drain.draining or not self._is_ready()

    def remove_connection(self, connection: object) -> None:
        """Remove a connection that has ended from the open ones."""
        self._connections.discard(connection)

    def run(self, listener) -> None:
        """Accept connections until the listener is closed."""
        self._listener = listener
        bound_buffers(listener)
        while True:
            try:
                sock, _ = listener.accept()
                self._start_connection(sock)
            except OSError as error:
                if self._listener is None:
                    return
                self._decisions.warn("accept failed", "", reason=repr(error))
                eventlet.sleep(ACCEPT_RETRY_S)

    def _start_connection(self, sock) -> None:
        """Serve an accepted connection in a task of its own.

        Above the bound, the longest idle connection is closed for it, or itself if none
        is idle: other sockets of the process need descriptors, too.

        Raises
        ------
        OSError
            If the caller has closed the connection.
        """
        if not self._make_room():
            self._close_at_once(sock)
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(sock, self)
        # Many may be accepted before the first of their tasks runs.
        is_refused = not connection.open()
        if is_refused and self._refused_open_count >= MAX_REFUSED_OPEN:
            self._close_at_once(sock)
            return
        self._connections.add(connection)
        eventlet.spawn_n(self._run_connection, connection, is_refused)
        self._socket_count += 1
        self._refused_open_count += is_refused

    def _close_at_once(self, sock) -> None:
        """Close a connection for which there is no room; nothing of it was read."""
        self.refused_connections += 1
        sock.close()
        eventlet.sleep(0)  # many may wait to be accepted

    def _run_connection(self, connection: CallerConnection, is_refused: bool) -> None:
        """Serve or refuse a connection; its socket counts until it is closed.

        A refused caller gets some time to read the answer, for which its connection
        counts as closed already.
        """
        try:
            connection.run()
        finally:
            self._socket_count -= 1
            self._refused_open_count -= is_refused

    def _make_room(self) -> bool:
        """Return True if one more connection fits, if need be after a close."""
        if self._socket_count < self._max_connections:
            return True
        now = self.clock.now()
        if now < self._no_room_until:
            return False
        if self._close_idle_connection() or self._close_silent_connection():
            eventlet.sleep(0)  # its task closes the socket
            return True
        self._no_room_until = now + ROOM_SEARCH_INTERVAL_S
        return False

    def _close_idle_connection(self) -> bool:
        """Close the connection that is idle for longest; return False if none is."""
        idle = [c for c in self._connections if c.is_idle]
        idle.sort(key=lambda connection: connection.last_activity_at)
        for connection in idle:
            connection.close_idle()
            if connection.closed:
                return True
        return False

    def _close_silent_connection(self) -> bool:
        """Close the connection without progress for longest; return False if none is.

        Each has the time that a head may take.
        """
        silent = self._find_silent(self.clock.now())
        if silent:
            silent[0].close_for_memory()
        return bool(silent)

    def close_timed_out(self) -> None:
        """Close connections that time out, for as long as the process runs."""
        while True:
            eventlet.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = self.clock.now()
            for connection in list(self._connections):
                self._close_if_timed_out(connection, now)
            self._free_memory(now)

    def _close_if_timed_out(self, connection: CallerConnection, now: float) -> None:
        """Close a connection that times out; an error ends only this connection."""
        try:
            connection.close_if_timed_out(now)
        except Exception as error:
            self._decisions.warn("internal failure", "", reason=repr(error), trace=True)
            connection.abort()

    def _free_memory(self, now: float) -> None:
        """Close connections without progress while others wait for memory.

        Those silent for longest go first, after the time that a head may take.
        """
        needed = self.memory.take_shortage()
        if not needed:
            return
        for connection in self._find_silent(now):
            if needed <= 0:
                return
            needed -= connection.close_for_memory()

    def _find_silent(self, now: float) -> list[CallerConnection]:
        """Return the connections without progress for too long, the longest first."""
        limit = self.limits.header_timeout
        silent = [(c.find_silence(now), c) for c in self._connections]
        silent = [item for item in silent if item[0] > limit]
        silent.sort(key=lambda item: -item[0])
        return [connection for _, connection in silent]

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def stop_listening(self) -> None:
        """Stop listening; connections that the kernel has accepted are still served."""
        listener, self._listener = self._listener, None
        if listener is None:
            return
        self._accept_pending(listener)
        listener.close()

    def _accept_pending(self, listener) -> None:
        """Accept the connections that wait, without waiting for further ones."""
        while True:
            try:
                sock, _ = listener.fd.accept()
            except OSError:
                return  # none is left
            try:
                self._start_connection(GreenSocket(sock))
            except OSError as error:
                self._decisions.warn("accept failed", "", reason=repr(error))

    def close_idle_connections(self) -> None:
        """Close the connections without a request; called repeatedly during a stop."""
        now = self.clock.now()
        for connection in list(self._connections):
            connection.close_for_stop(now)

    def answer(self, message: HttpRequest, caller_rtt: float) -> HttpReply:
        """Answer a request, counting it as in progress meanwhile."""
        received_at = self.clock.now()
        with self._drain.track_request():
            try:
                return self._forward(message, received_at, caller_rtt)
            except CassiastairError as error:
                self._record_error("", "", received_at, error)
                return self._codec.encode_error(error)
            except Exception as error:
                return self._answer_failure("", error)

    def _answer_failure(self, attempt_id: str, error: Exception) -> HttpReply:
        """Log an unexpected error, which is being handled, and return the reply."""
        self._decisions.warn(
            "internal failure", attempt_id, reason=repr(error), trace=True
        )
        return self._codec.encode_error(CassiastairError("internal failure"))

    def _forward(
        self, message: HttpRequest, received_at: float, caller_rtt: float
    ) -> HttpReply:
        """Decode a request, forward it and encode its answer."""
        request = self._codec.decode_request(message, received_at, caller_rtt)
        route = None
        try:
            route = self._forwarder.find_route(request)
            answer = self._forwarder.run(route, request)
        except CassiastairError as error:
            name = route.name if route else ""
            self._record_error(request.attempt_id, name, received_at, error)
            return self._codec.encode_error(error)
        except Exception as error:
            return self._answer_failure(request.attempt_id, error)
        duration = self.clock.now() - received_at
        reply = self._codec.encode_answer(answer)
        self._stats.record_answer(route, answer, duration)
        if duration + request.caller_rtt > route.latency_objective:
            self._decisions.warn(
                "answered late",
                request.attempt_id,
                route=route.name,
                duration_ms=round(duration * 1000, 1),
                objective_ms=round(route.latency_objective * 1000, 1),
            )
        self._decisions.record_sampled(
            "answered",
            request.attempt_id,
            route=route.name,
            status=reply.status,
            missing=getattr(answer, "missing", 0),
            duration_ms=round(duration * 1000, 1),
            version=self._table.version,
        )
        return reply

    def _record_error(
        self, attempt_id: str, route: str, received_at: float, error: CassiastairError
    ) -> None:
        """Count and log a request that was not served."""
        self._stats.record_error(error)
        self._decisions.warn(
            "not served",
            attempt_id,
            route=route,
            code=error.code,
            outcome=error.outcome,
            reason=error.message,
            duration_ms=round((self.clock.now() - received_at) * 1000, 1),
            version=self._table.version,
        )

    def answer_error(self, error: CassiastairError) -> HttpReply:
        """Count and log a connection error and return the reply to it."""
        if not isinstance(error, MemoryFullError):  # its begin and end are logged
            self._decisions.warn(
                "bad request", "", code=error.code, reason=error.message
            )
        self._stats.record_error(error)
        if not isinstance(error, CassiastairError):
            error = MalformedRequestError(str(error))
        return self._codec.encode_error(error)
