"""Crowds of callers that open many connections and do not finish what they begin.

They show what a process holds for such callers: none of them sends more than the limits
of the configuration allow.
"""

from abc import ABC, abstractmethod

import eventlet
from eventlet.green import socket

READ_INTERVAL_S = 0.5  # between two reads of a slow reader
HOLD_INTERVAL_S = 3600.0
CONNECT_ATTEMPTS = 20
CONNECT_RETRY_S = 0.05


class Misbehaviour(ABC):
    """What one connection of a crowd sends and reads.

    Parameters
    ----------
    encode_head : callable
        Returns the head of a request, given a number that no other request has and the
        header that states the framing of its body, which is empty without a body.
    """

    def __init__(self, encode_head):
        self._encode_head = encode_head

    @abstractmethod
    def use(self, sock, number: int) -> None:
        """Use a connection until it ends.

        Parameters
        ----------
        sock : socket
            The connection.
        number : int
            Number of the connection in its crowd.

        Raises
        ------
        OSError
            If the process closes the connection.
        """


class UnfinishedBody(Misbehaviour):
    """Sends a body of an announced length except for its last bytes.

    Parameters
    ----------
    encode_head : callable
        See `Misbehaviour`.
    length : int
        Announced length in bytes.
    missing : int
        Bytes that are not sent.
    """

    def __init__(self, encode_head, length: int, missing: int = 1):
        super().__init__(encode_head)
        self._length = length
        self._body = bytes(length - missing)

    def use(self, sock, number: int) -> None:
        """Send the request and hold the connection."""
        framing = f"Content-Length: {self._length}\r\n"
        sock.sendall(self._encode_head(number, framing) + self._body)
        hold(sock)


class UnfinishedChunks(Misbehaviour):
    """Sends a body in chunks without the last chunk.

    Parameters
    ----------
    encode_head : callable
        See `Misbehaviour`.
    length : int
        Bytes of the body.
    chunk_bytes : int
        Bytes of each chunk.
    """

    def __init__(self, encode_head, length: int, chunk_bytes: int):
        super().__init__(encode_head)
        self._body = encode_chunks(length, chunk_bytes)

    def use(self, sock, number: int) -> None:
        """Send the request and hold the connection."""
        head = self._encode_head(number, "Transfer-Encoding: chunked\r\n")
        sock.sendall(head)
        sock.sendall(self._body)
        hold(sock)


class SlowReader(Misbehaviour):
    """Sends several requests at once and reads the answers slowly.

    Parameters
    ----------
    encode_head : callable
        See `Misbehaviour`.
    request_count : int
        Requests on each connection.
    bytes_per_s : int
        Bytes that a connection reads in a second; 0 to read nothing.
    receive_buffer : int or None
        Size in bytes of the socket's receive buffer; None for the system's default.
    """

    def __init__(
        self,
        encode_head,
        request_count: int,
        bytes_per_s: int,
        receive_buffer: int | None = None,
    ):
        super().__init__(encode_head)
        self._request_count = request_count
        self._bytes_per_s = bytes_per_s
        self._receive_buffer = receive_buffer

    def use(self, sock, number: int) -> None:
        """Send the requests and read some bytes now and then."""
        if self._receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
        first = number * self._request_count
        heads = [self._encode_head(first + n, "") for n in range(self._request_count)]
        sock.sendall(b"".join(heads))
        if not self._bytes_per_s:
            eventlet.sleep(HOLD_INTERVAL_S)
        while sock.recv(int(self._bytes_per_s * READ_INTERVAL_S)):
            eventlet.sleep(READ_INTERVAL_S)


class Crowd:
    """Connections that misbehave, to one address.

    Parameters
    ----------
    address : (str, int)
        Address of the process.

    Attributes
    ----------
    connected_count : int
        Connections that were opened so far.
    """

    def __init__(self, address: tuple[str, int]):
        self._address = address
        self._tasks: list = []
        self.connected_count = 0

    def open(self, misbehaviour: Misbehaviour, count: int) -> None:
        """Open connections, each in a task of its own, and return at once."""
        first = len(self._tasks)
        for number in range(first, first + count):
            self._tasks.append(eventlet.spawn(self._run, misbehaviour, number))

    def _run(self, misbehaviour: Misbehaviour, number: int) -> None:
        """Open one connection and use it until it ends."""
        sock = self._connect()
        if sock is None:
            return
        self.connected_count += 1
        try:
            misbehaviour.use(sock, number)
        except OSError:
            pass  # the process closed the connection, as it may
        finally:
            sock.close()

    def _connect(self):
        """Return a new connection; None if the process accepts none."""
        for _ in range(CONNECT_ATTEMPTS):
            try:
                return eventlet.connect(self._address)
            except OSError:
                eventlet.sleep(CONNECT_RETRY_S)
        return None

    def wait_connected(self, count: int, timeout_s: float) -> None:
        """Wait until so many connections were opened, or the time is over."""
        with eventlet.Timeout(timeout_s, False):
            while self.connected_count < count:
                eventlet.sleep(CONNECT_RETRY_S)

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()


def hold(sock) -> None:
    """Hold a connection until the other end closes it."""
    while sock.recv(65_536):
        pass


def encode_chunks(length: int, chunk_bytes: int) -> bytes:
    """Return a body in chunks of one size, without the last chunk."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes))
    return chunk * (length // chunk_bytes)
