"""Callers' connections to the interface: their number, memory and time limits.

The WSGI server accepts without bound, waits for a body and for the reading of an answer
for any time, and ends at an accept that fails for lack of descriptors.
"""

import eventlet
import orjson
from cassiastair.clock import Clock
from cassiastair.errors import MemoryFullError
from eventlet.green import socket
from loguru import logger

from ..caller_sockets import CALLER_SOCKET_SHARE, bound_buffers, find_max_sockets
from ..entry.entry_memory import EntryMemory
from .connection import ApiConnection
from .phase import Phase
from .protocol import ApiProtocol

MAX_CALLER_CONNECTIONS = 10_000
CHECK_INTERVAL_S = 0.5  # between checks for connections to time out
SILENCE_S = 3.0  # without progress, after which one may be closed for others
ACCEPT_RETRY_S = 0.05  # pause after a failed accept, for example out of descriptors
MEMORY_FULL_HEAD = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\nConnection: close\r\n\r\n"
)


class ApiConnections:
    """Accepts and serves connections in place of the WSGI server's own loop.

    The server takes an object of this class for its listener, and `serve` for its
    protocol.

    Parameters
    ----------
    listener : socket
        Listening socket.
    memory : EntryMemory
        Memory for the bytes of callers.
    clock : Clock
        Source of time.
    idle_s : float
        Seconds for which a connection may be idle.
    transfer_s : float
        Seconds within which a request must arrive and an answer must be read.

    Attributes
    ----------
    refused_count : int
        Connections that were closed at once or answered 503 for lack of room.
    """

    def __init__(
        self,
        listener,
        memory: EntryMemory,
        clock: Clock,
        idle_s: float,
        transfer_s: float,
    ):
        self._listener = listener
        self._memory = memory
        self._clock = clock
        self._idle_s = idle_s
        self._transfer_s = transfer_s
        self._connections: set[ApiConnection] = set()
        self._accepted: dict[object, ApiConnection] = {}  # by socket, not yet served
        self._socket_count = 0
        self.refused_count = 0
        bound_buffers(listener)

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return self._socket_count

    @property
    def family(self) -> int:
        """Address family of the listener."""
        return self._listener.family

    def getsockname(self):
        """Return the address of the listener."""
        return self._listener.getsockname()

    def accept(self):
        """Return the next connection that there is room for, with its address."""
        while True:
            try:
                sock, address = self._listener.accept()
            except OSError as error:
                logger.warning("accept failed", reason=repr(error))
                self._close_silent(1)
                eventlet.sleep(ACCEPT_RETRY_S)
                continue
            if self._make_room():
                # Many may be accepted before the first of their tasks runs.
                connection = ApiConnection(sock, self._memory, self._clock)
                if connection.open():
                    self._socket_count += 1
                    self._accepted[sock] = connection
                    return sock, address
                self._refuse(sock)
            else:
                self.refused_count += 1
                sock.close()
            eventlet.sleep(0)  # many may wait to be accepted

    def _make_room(self) -> bool:
        """Return True if one more connection fits, if need be after a close."""
        bound = CALLER_SOCKET_SHARE * find_max_sockets(MAX_CALLER_CONNECTIONS)
        if self._socket_count < bound:
            return True
        if self._close_silent(1):
            eventlet.sleep(0)  # its task closes the socket
            return True
        return False

    def _close_silent(self, needed: int) -> bool:
        """Close connections that wait for their callers, the longest first.

        Parameters
        ----------
        needed : int
            Bytes that the closed ones have to have reserved; 1 to close a single one.

        Returns
        -------
        bool
            Whether any was closed.
        """
        limit = self._clock.now() - SILENCE_S
        silent = [
            connection
            for connection in self._connections
            if connection.phase is not Phase.WORKING and connection.since < limit
        ]
        silent.sort(key=lambda connection: connection.since)
        for connection in silent:
            if needed <= 0:
                break
            needed -= connection.size
            connection.shut_down()
            connection.enter(Phase.WORKING)  # it ends, and is not closed again
        return bool(silent)

    def serve(self, conn_state: list, server) -> None:
        """Serve an accepted connection until it ends.

        Parameters
        ----------
        conn_state : list
            Address, socket and state, as the WSGI server keeps them.
        server : eventlet.wsgi.Server
            The WSGI server.
        """
        connection = self._accepted.pop(conn_state[1])
        self._connections.add(connection)
        try:
            ApiProtocol(conn_state, server, connection)
        except OSError as error:
            logger.debug("connection broke", reason=repr(error))
        finally:
            self._connections.discard(connection)
            self._socket_count -= 1
            connection.end()

    def _refuse(self, sock) -> None:
        """Answer 503 to a caller for whom there is no memory; nothing was read."""
        self.refused_count += 1
        error = MemoryFullError("the memory for connections is full")
        body = orjson.dumps({"error": error.to_dict()})
        try:
            sock.sendall(MEMORY_FULL_HEAD % len(body) + body)
            sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            logger.debug("connection broke", reason=repr(error))
        finally:
            sock.close()

    def run_checks(self) -> None:
        """Close connections that time out, for as long as the process runs."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Close connections that time out, and silent ones for others that wait."""
        now = self._clock.now()
        for connection in list(self._connections):
            if connection.is_overdue(now, self._idle_s, self._transfer_s):
                connection.shut_down()
        needed = self._memory.take_shortage()
        if needed:
            self._close_silent(needed)
        change = self._memory.check()
        if change is not None:
            logger.warning(
                "memory pressure",
                state=change,
                held=self._memory.list_held(),
                refused=self._memory.list_refused(),
                limit=self._memory.account.limit,
            )
