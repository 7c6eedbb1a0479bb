"""Accepts callers' connections and keeps them within their limits of time."""

from collections.abc import Callable

import eventlet
from cassiastair.errors import CassiastairError, MalformedRequestError
from cassiastair.forwarding import DecisionLog, Forwarder
from cassiastair.routing import CallerLimits, RoutingTable
from eventlet.green import socket

from ..drain import Drain
from .caller_connection import CallerConnection
from .handler import RequestHandler
from .http_codec import HttpCodec
from .http_message import HttpReply, HttpRequest
from .request_counts import RequestCounts

TEND_S = 0.5  # interval of looks at idle connections
ACCEPT_PAUSE_S = 0.05  # pause after a failed accept, such as for want of descriptors


class CallerServer(RequestHandler):
    """Serves callers on one listening socket.

    Parameters
    ----------
    forwarder : Forwarder
        Serves decoded requests.
    table : RoutingTable
        Limits in force.
    dialect : Dialect
        Words requests and answers.
    drain : Drain
        Counts requests in progress and knows whether the daemon is stopping.
    decisions : DecisionLog
        Takes refusals and failures.
    counts : RequestCounts
        Counters and latencies for the metrics.
    is_ready : callable
        Tells whether this VM takes work.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        table: RoutingTable,
        dialect: HttpCodec,
        drain: Drain,
        decisions: DecisionLog,
        counts: RequestCounts,
        is_ready: Callable[[], bool],
        clock,
    ):
        self._forwarder = forwarder
        self._table = table
        self._dialect = dialect
        self._drain = drain
        self._decisions = decisions
        self._counts = counts
        self._is_ready = is_ready
        self.clock = clock
        self._connections: set[CallerConnection] = set()
        self._listener = None

    @property
    def limits(self) -> CallerLimits:
        """What callers may send now."""
        return self._table.limits

    def is_stopping(self) -> bool:
        """Tell whether connections are to be closed after their answers.

        A caller whose connection is closed comes back through the platform, which
        sends it to a VM that is ready.
        """
        return self._drain.draining or not self._is_ready()

    def closed(self, connection: object) -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)

    def run(self, listener) -> None:
        """Accept connections until the listener is closed."""
        self._listener = listener
        eventlet.spawn_n(self._tend)
        while True:
            try:
                sock, _ = listener.accept()
            except OSError as error:
                if self._listener is None:
                    return
                self._decisions.warn("accept failed", "", reason=repr(error))
                eventlet.sleep(ACCEPT_PAUSE_S)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = CallerConnection(sock, self)
            self._connections.add(connection)
            eventlet.spawn_n(connection.run)

    def _tend(self) -> None:
        """Close connections that are idle or slow for too long."""
        while True:
            eventlet.sleep(TEND_S)
            now = self.clock.now()
            for connection in list(self._connections):
                connection.tend(now)

    def stop_listening(self) -> None:
        """Take no more connections and close the idle ones."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.close()
        for connection in list(self._connections):
            connection.close_idle()

    def answer(self, message: HttpRequest, travel: float) -> HttpReply:
        """Answer a request."""
        received = self.clock.now()
        with self._drain.track_request():
            try:
                return self._forward(message, received, travel)
            except CassiastairError as error:
                self._note_refusal("", "", received, error)
                return self._dialect.encode_error(error)

    def _forward(
        self, message: HttpRequest, received: float, travel: float
    ) -> HttpReply:
        """Decode and serve a request."""
        request = self._dialect.decode_request(message, received, travel)
        route = None
        try:
            route = self._forwarder.find_route(request)
            answer = self._forwarder.run(route, request)
        except CassiastairError as error:
            name = route.name if route else ""
            self._note_refusal(request.attempt_id, name, received, error)
            return self._dialect.encode_error(error)
        except Exception as error:
            self._decisions.warn(
                "internal failure", request.attempt_id, reason=repr(error), trace=True
            )
            return self._dialect.encode_error(CassiastairError("internal failure"))
        duration = self.clock.now() - received
        reply = self._dialect.encode_answer(answer)
        self._counts.note_answer(route, answer, duration)
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

    def _note_refusal(
        self, attempt: str, route: str, received: float, error: CassiastairError
    ) -> None:
        """Record a request that was not served."""
        self._counts.note_error(error)
        self._decisions.warn(
            "not served",
            attempt,
            route=route,
            code=error.code,
            outcome=error.outcome,
            reason=error.message,
            duration_ms=round((self.clock.now() - received) * 1000, 1),
            version=self._table.version,
        )

    def refuse(self, error: CassiastairError) -> HttpReply:
        """Return the reply to bytes that are no request."""
        self._decisions.warn("bad request", "", code=error.code, reason=error.message)
        self._counts.note_error(error)
        if not isinstance(error, CassiastairError):
            error = MalformedRequestError(str(error))
        return self._dialect.encode_error(error)
