"""One HTTP connection to a target."""

import socket

from cassiastair.clock import Clock
from eventlet import hubs
from eventlet.hubs.hub import READ
from greenlet import getcurrent

from .reply_reader import ReplyReader

CONNECT_TIMEOUT_S = 0.5
SILENCE_MS = 3000  # unacknowledged bytes after which the system closes a connection
RECEIVE_BYTES = 65_536
PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT


class TargetConnection:
    """A connection that is open from the start.

    Requests are written in one piece and replies are read by a parser in C, and the
    connection stays registered with the event loop between requests: an HTTP
    library's own exchange, and a registration for each wait, took most of the
    processor time of a subrequest. See docs/design/hot-path.md.

    Parameters
    ----------
    host : str
        IP number to connect to.
    port : int
        TCP port.
    clock : Clock
        Source of time.
    timeout : float, optional
        Seconds for the connection to open.

    Raises
    ------
    OSError
        If no connection can be made.
    """

    __slots__ = (
        "answered_at",
        "idle_limit",
        "reusable",
        "_dropped",
        "_sock",
        "_hub",
        "_listener",
        "_raw",
        "_waiter",
    )

    def __init__(
        self, host: str, port: int, clock: Clock, timeout: float = CONNECT_TIMEOUT_S
    ):
        self._sock = open_socket(host, port, timeout)
        self._raw = self._sock.fd
        self._waiter = None
        self._dropped = False
        self._hub = hubs.get_hub()
        self._listener = self._hub.add(
            READ,
            self._raw.fileno(),
            self._on_readable,
            self._on_closed,
            self._on_closed,
        )
        self.answered_at = clock.now()
        self.idle_limit = float("inf")
        self.reusable = True

    def exchange(self, request: bytes) -> tuple[int, bytes]:
        """Send a request and return status and body of the reply.

        Parameters
        ----------
        request : bytes
            The whole request.

        Raises
        ------
        OSError
            If the connection breaks or the reply is not HTTP.
        """
        reader = ReplyReader()
        self.exchange_with(request, reader)
        return reader.status, reader.body

    def exchange_with(self, request: bytes, reader: ReplyReader) -> None:
        """Send a request and feed a reader until the reply is whole.

        Raises
        ------
        OSError
            If the connection breaks or the reply is not HTTP.
        """
        self._send(request)
        while not reader.done:
            reader.feed(self._receive())
        self.reusable = reader.keeps_open

    def _send(self, request: bytes) -> None:
        """Send bytes; only what the socket does not take at once has to wait."""
        try:
            sent = self._raw.send(request)
        except BlockingIOError:
            sent = 0
        if sent < len(request):
            self._sock.sendall(request[sent:])

    def _receive(self) -> bytes:
        """Wait for bytes and return them; none at the end of the connection."""
        while True:
            if self._listener is None:
                raise ConnectionResetError("the connection is closed")
            self._waiter = getcurrent()
            try:
                self._hub.switch()
            finally:
                self._waiter = None
            try:
                return self._raw.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue  # the event loop woke the task for nothing

    def _on_readable(self, fileno: int) -> None:
        """Wake the waiting task; bytes that nobody waits for end the connection."""
        if self._waiter is not None:
            self._waiter.switch()
        else:
            self._dropped = True
            self._stop_listening()

    def _on_closed(self, *error: object) -> None:
        """Take note that the socket was closed elsewhere in this process."""
        self._dropped = True
        self._listener = None
        if self._waiter is not None:
            self._waiter.throw(ConnectionResetError("the connection was closed"))

    def _stop_listening(self) -> None:
        """Take the connection out of the event loop."""
        if self._listener is not None:
            listener, self._listener = self._listener, None
            self._hub.remove(listener)

    def is_dropped(self, look: bool) -> bool:
        """Tell whether the other end has closed the connection or sent unasked.

        Parameters
        ----------
        look : bool
            Ask the system too, beyond what the event loop has seen so far.
        """
        if self._dropped or not look:
            return self._dropped
        try:
            self._raw.recv(1, PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Close the connection."""
        self._stop_listening()
        self._sock.close()


def open_socket(host: str, port: int, timeout: float) -> socket.socket:
    """Return a connected socket without a time limit on reads and writes.

    The task that waits is bounded by its deadline, so no timer for each read.

    Raises
    ------
    OSError
        If no connection can be made.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
        sock.settimeout(timeout)
        sock.connect((host, port))
        sock.settimeout(None)
    except BaseException:
        sock.close()
        raise
    return sock
