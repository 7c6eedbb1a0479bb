"""One connection of a caller: a task that reads, a task that serves."""

import struct
from contextlib import suppress

import eventlet
from cassiastair.errors import CassiastairError, MalformedRequestError
from eventlet.green import socket
from greenlet import GreenletExit

from .handler import RequestHandler
from .http_message import HttpReply
from .request_reader import RequestReader

RECEIVE_BYTES = 65_536
TCP_INFO_BYTES = 104  # the part of Linux's tcp_info that holds the round trip
ROUND_TRIP_OFFSET = 68  # tcpi_rtt, in microseconds
ROUND_TRIP = struct.Struct("=I")
MAX_WAITING = 16  # whole requests read ahead on one connection
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class CallerConnection:
    """Reads requests, serves them in order, and notices when the caller leaves.

    The reading task goes on while a request is served, so that the end of the
    connection stops the work at once.

    Parameters
    ----------
    sock : socket
        Accepted connection.
    handler : RequestHandler
        Answers requests.
    """

    def __init__(self, sock, handler: RequestHandler):
        self._sock = sock
        self._handler = handler
        self._reader = RequestReader(handler.limits)
        self._server = None
        self._closing = False
        self._active_at = handler.clock.now()
        self._round_trip: float | None = None
        self.closed = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served."""
        return self._server is None and not self._reader.partial

    def run(self) -> None:
        """Read until the connection ends."""
        try:
            while not self._closing:
                data = self._sock.recv(RECEIVE_BYTES)
                if not data:
                    break
                self._take(data)
        except (OSError, EOFError):
            pass  # a reset, or a close by the serving task, ends it like the caller's
        finally:
            self._end_reading()
            self._sock.close()

    def _take(self, data: bytes) -> None:
        """Parse received bytes and serve what is whole."""
        if not self._reader.partial:
            self._active_at = self._handler.clock.now()
        self._reader.limits = self._handler.limits
        error = None
        try:
            self._reader.feed(data)
        except CassiastairError as failure:
            error = failure
        if self._reader.continues:
            self._reader.continues = False
            self._sock.sendall(CONTINUE)
        self._serve(error)
        while self._server is not None and len(self._reader.requests) >= MAX_WAITING:
            eventlet.sleep(0.01)

    def _serve(self, error: CassiastairError | None) -> None:
        """Start the serving task if there is something for it."""
        if error is not None:
            self._closing = True
        if self._server is None and (self._reader.requests or error is not None):
            self._server = eventlet.spawn(self._answer_all, error)

    def _answer_all(self, error: CassiastairError | None) -> None:
        """Answer the requests that were read, then an error of the connection."""
        try:
            while self._reader.requests:
                message, keeps = self._reader.requests.popleft()
                keeps = keeps and not self._handler.is_stopping()
                reply = self._handler.answer(message, self._measure_travel())
                keeps = keeps and not self._handler.is_stopping()
                self._send(reply, keeps)
                if not keeps:
                    self._closing = True
                    break
            if error is not None:
                self._send(self._handler.refuse(error), False)
        except (OSError, EOFError):
            self._closing = True
        finally:
            self._server = None
            self._active_at = self._handler.clock.now()
            if self._closing:
                self._shut()

    def _measure_travel(self) -> float:
        """Return the seconds on the way from and to the caller.

        The first request of a connection had to wait for its opening, one more way
        there and back.
        """
        if self._round_trip is None:
            self._round_trip = read_round_trip(self._sock)
            return 2 * self._round_trip
        return self._round_trip

    def _send(self, reply: HttpReply, keeps: bool) -> None:
        """Write a reply."""
        reason = REASONS.get(reply.status, b"Status")
        lines = [b"HTTP/1.1 %d %b\r\n" % (reply.status, reason)]
        lines += [b"%b: %b\r\n" % header for header in reply.headers]
        lines.append(b"Content-Length: %d\r\n" % len(reply.body))
        if not keeps:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        lines.append(reply.body)
        self._sock.sendall(b"".join(lines))

    def _end_reading(self) -> None:
        """Stop the work of a caller that has left; let a last answer leave."""
        server = self._server
        if server is not None:
            if not self._closing:
                server.kill()
            with suppress(GreenletExit):
                server.wait()
        self._shut()

    def _shut(self) -> None:
        """End the connection; the reading task sees its end and closes it.

        Were it closed here, the event loop would keep the reading task registered
        for the descriptor, whatever that is used for next.
        """
        if not self.closed:
            self.closed = True
            self._handler.closed(self)
            try:
                self._sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the caller has closed it already

    def tend(self, now: float) -> None:
        """Close a connection that is idle, or slow with a request, for too long."""
        limits = self._handler.limits
        if self._server is not None or self.closed:
            return
        waited = now - self._active_at
        if self._reader.partial and not self._reader.in_body:
            if waited > limits.header_timeout:
                self._time_out()
        elif waited > limits.idle_timeout:
            if self._reader.partial:
                self._time_out()
            else:
                self.close_idle()

    def _time_out(self) -> None:
        """Tell a caller that its request took too long to arrive, and close."""
        self._closing = True
        error = MalformedRequestError("the request did not arrive in time")
        error.status = 408
        try:
            self._send(self._handler.refuse(error), False)
        except OSError:
            pass  # the caller has left
        self._shut()

    def close_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self.is_idle:
            self._closing = True
            self._shut()


def read_round_trip(sock) -> float:
    """Return the system's estimate of a connection's round trip in seconds."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        return ROUND_TRIP.unpack_from(info, ROUND_TRIP_OFFSET)[0] / 1e6
    except (OSError, struct.error):
        return 0.0  # not a TCP connection, or a system that does not tell
