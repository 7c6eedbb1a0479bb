"""One persistent HTTP connection to a target."""

import socket

from cassiastair.clock import Clock
from eventlet import hubs
from eventlet.hubs.hub import READ
from greenlet import getcurrent

from ..send_at_once import send_at_once
from .reply_memory import ReplyMemory
from .reply_reader import ReplyReader

CONNECT_TIMEOUT_S = 0.5
USER_TIMEOUT_MS = 3000  # the kernel closes a connection whose data is unacknowledged
RECEIVE_BUFFER_BYTES = 65_536
PEEK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT


class TargetConnection:
    """A connection that the constructor opens.

    Each request is sent as one byte string, replies are parsed in C, and the socket
    stays registered with the event loop between requests. The request handling of an
    HTTP library and a registration for each wait took most of the processor time of
    a subrequest, see docs/design/hot-path.md.

    Parameters
    ----------
    host : str
        IP address of the target.
    port : int
        TCP port of the target.
    clock : Clock
        Source of time.
    timeout : float, optional
        Seconds within which the connection must open.

    Raises
    ------
    OSError
        If the connection cannot be opened.

    Attributes
    ----------
    answered_at : float
        Monotonic time in seconds of the last complete reply, or of the opening.
    idle_timeout : float
        Seconds of idleness after which the connection is not reused; infinite unless
        the target announces a timeout.
    reusable : bool
        Whether the last reply allows another request on the connection.
    reader : ReplyReader or None
        Reader of the last reply, for those who use it again.
    last_attempt : str
        ID of the attempt that was sent last; empty if the sender sets none.
    """

    __slots__ = (
        "answered_at",
        "idle_timeout",
        "last_attempt",
        "reader",
        "reusable",
        "_dropped",
        "_green_socket",
        "_hub",
        "_listener",
        "_raw_socket",
        "_waiter",
    )

    def __init__(
        self, host: str, port: int, clock: Clock, timeout: float = CONNECT_TIMEOUT_S
    ):
        self._green_socket = open_socket(host, port, timeout)
        self._raw_socket = self._green_socket.fd
        self._waiter = None
        self._dropped = False
        self._hub = hubs.get_hub()
        self._listener = self._hub.add(
            READ,
            self._raw_socket.fileno(),
            self._on_readable,
            self._on_closed,
            self._on_closed,
        )
        self.answered_at = clock.now()
        self.idle_timeout = float("inf")
        self.reusable = True
        self.reader: ReplyReader | None = None
        self.last_attempt = ""

    def exchange(self, request: bytes, memory: ReplyMemory) -> tuple[int, bytes]:
        """Send a request and return the status and the body of the reply.

        Parameters
        ----------
        request : bytes
            Encoded request, headers and body.
        memory : ReplyMemory
            Account of the memory that replies hold.

        Raises
        ------
        OSError
            If the connection breaks or the reply is not HTTP.
        """
        reader = ReplyReader(memory)
        self.exchange_with(request, reader)
        return reader.status, reader.take_body()

    def exchange_with(
        self, head: bytes, reader: ReplyReader, body: bytes = b""
    ) -> None:
        """Send a request and pass received bytes to a reader until it has the reply.

        Raises
        ------
        OSError
            If the connection breaks or the reply is not HTTP.
        """
        self._send(head, body)
        try:
            while not reader.done:
                reader.feed(self._wait_and_receive())
        except BaseException:  # also when the task is stopped
            reader.release_memory()
            raise
        self.reusable = reader.keep_alive

    def _send(self, head: bytes, body: bytes) -> None:
        """Send a request; wait only if it does not fit into the socket buffer."""
        for part in send_at_once(self._raw_socket, head, body):
            self._green_socket.sendall(part)

    def _wait_and_receive(self) -> bytes:
        """Wait for bytes and return them; empty bytes at the end of the stream."""
        while True:
            if self._listener is None:
                raise ConnectionResetError("the connection is closed")
            self._waiter = getcurrent()
            try:
                self._hub.switch()
            finally:
                self._waiter = None
            try:
                return self._raw_socket.recv(RECEIVE_BUFFER_BYTES)
            except BlockingIOError:
                continue  # spurious wake-up, nothing to read

    def _on_readable(self, fileno: int) -> None:
        """Wake the waiting task; close the connection if no task waits for bytes.

        Bytes that nobody requested may come without end, and those that are not read
        count as memory of the process.
        """
        if self._waiter is not None:
            self._waiter.switch()
        else:
            self._dropped = True
            self.close()

    def _on_closed(self, *error: object) -> None:
        """Drop the connection after other code of this process closed the socket."""
        self._dropped = True
        self._listener = None
        if self._waiter is not None:
            self._waiter.throw(ConnectionResetError("the connection was closed"))

    def _stop_listening(self) -> None:
        """Remove the socket from the event loop."""
        if self._listener is not None:
            listener, self._listener = self._listener, None
            self._hub.remove(listener)

    def is_dropped(self, check_socket: bool) -> bool:
        """Return True if the target closed the connection or sent unrequested bytes.

        Parameters
        ----------
        check_socket : bool
            Also check the socket with a system call, which sees what the event loop
            has not reported yet.
        """
        if self._dropped or not check_socket:
            return self._dropped
        try:
            self._raw_socket.recv(1, PEEK_FLAGS)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Remove the socket from the event loop and close it."""
        self._stop_listening()
        self._green_socket.close()


def open_socket(host: str, port: int, timeout: float) -> socket.socket:
    """Return a connected socket that has no timeout for reads and writes.

    The task that uses the socket is stopped at its deadline, which saves a timer for
    each read.

    Raises
    ------
    OSError
        If the connection cannot be opened.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.settimeout(timeout)
        sock.connect((host, port))
        sock.settimeout(None)
    except BaseException:
        sock.close()
        raise
    return sock
