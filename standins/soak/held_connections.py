"""Callers' connections that are kept open, unfinished or unread."""

import itertools
from collections.abc import Callable

import eventlet

from ..world.cluster import HOST
from ..world.http_messages import MessageReader, encode_message

SEND_TIMEOUT_S = 2.0
USE_INTERVAL_S = 0.1  # between two requests on a connection in use
UNFINISHED_HEAD_BYTES = 15_500  # below the configured limit of a head
UNFINISHED_BODY_BYTES = 250_000
DECLARED_BODY_BYTES = 262_144
PIPELINED_COUNT = 3


class HeldConnections:
    """Connections to one VM, which stay open until they are closed together.

    Parameters
    ----------
    address : (str, int)
        Address of the VM.

    Attributes
    ----------
    violations : list of str
        Lines for the answers to pipelined searches that belong to other requests.
    """

    def __init__(self, address: tuple[str, int]):
        self._address = address
        self.violations: list[str] = []
        self._tasks: list = []
        self._numbers = itertools.count()

    def open_in_use(self, count: int) -> None:
        """Open connections that send searches until the VM closes them."""
        self._open(count, use, self._encode_search)

    def open_in_head(self, count: int) -> None:
        """Open connections that stall in the head of a request."""
        head = f"GET /search/x HTTP/1.1\r\nHost: {HOST}\r\nX-Filler: ".encode()
        self._open(count, send_and_hold, head.ljust(UNFINISHED_HEAD_BYTES, b"f"))

    def open_in_body(self, count: int) -> None:
        """Open connections that stall in the body of a request."""
        head = (
            f"POST /desk/note HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Content-Length: {DECLARED_BODY_BYTES}\r\n\r\n"
        )
        body = b"b" * UNFINISHED_BODY_BYTES
        self._open(count, send_and_hold, head.encode() + body)

    def open_unread(self, count: int) -> None:
        """Open connections that pipeline searches and never read the answers."""
        for _ in range(count):
            searches = [self._encode_search() for _ in range(PIPELINED_COUNT)]
            self._open(1, send_and_hold, b"".join(searches))

    def open_pipelined(self, count: int) -> None:
        """Open connections that pipeline searches and then read the answers."""
        for _ in range(count):
            self._open(1, self._pipeline)

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.kill()

    def _open(self, count: int, use: Callable, *args) -> None:
        """Open connections, each in a task of its own."""
        self._tasks += [
            eventlet.spawn(connect, self._address, use, *args) for _ in range(count)
        ]

    def _pipeline(self, sock) -> None:
        """Send several searches at once, check their answers, hold the connection."""
        attempt_ids = [self._make_attempt_id() for _ in range(PIPELINED_COUNT)]
        sock.sendall(b"".join(map(encode_search, attempt_ids)))
        reader = MessageReader(sock)
        for attempt_id in attempt_ids:
            answer = reader.read()
            if answer is None:
                return  # the VM closed the connection, as it may
            seals = answer.headers.get("x-part-seals", "")
            if answer.status == 200 and attempt_id not in seals:
                self.violations.append(f"{attempt_id} got an answer with {seals!r}")
        send_and_hold(sock, b"")

    def _make_attempt_id(self) -> str:
        """Return an attempt ID that no other request has."""
        return f"held-{id(self)}-{next(self._numbers)}-"

    def _encode_search(self) -> bytes:
        """Return a search with an attempt ID of its own."""
        return encode_search(self._make_attempt_id())


def connect(address: tuple[str, int], use: Callable, *args) -> None:
    """Connect, use the connection and close it, also when the task is killed."""
    try:
        sock = eventlet.connect(address)
    except OSError:
        return  # the VM is not running at this moment
    try:
        use(sock, *args)
    except OSError:
        return  # the VM closed the connection, as it may
    finally:
        sock.close()


def send_and_hold(sock, data: bytes) -> None:
    """Send bytes, as far as the VM reads them, and hold the connection."""
    with eventlet.Timeout(SEND_TIMEOUT_S, False):
        sock.sendall(data)
    while True:
        eventlet.sleep(SEND_TIMEOUT_S)


def use(sock, encode_search: Callable[[], bytes]) -> None:
    """Send searches until the VM closes the connection."""
    reader = MessageReader(sock)
    while True:
        sock.sendall(encode_search())
        if reader.read() is None:
            return
        eventlet.sleep(USE_INTERVAL_S)


def encode_search(attempt_id: str) -> bytes:
    """Return a search with an attempt ID."""
    headers = {"Host": HOST, "X-Attempt-Id": attempt_id}
    return encode_message("GET /search/x HTTP/1.1", headers)
