"""HTTP/1.1 messages on plain sockets, for the simulated store, back ends and callers.

Bodies need a Content-Length; chunked bodies are not supported.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet

RECEIVE_BUFFER_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MAX_ENDLESS_BYTES = 150_000_000  # with its copies above the memory limit of a VM
ENDLESS_CHUNK_BYTES = 262_144
ENDLESS_INTERVAL_S = 0.001  # between chunks, so that other tasks run


@dataclass(frozen=True, slots=True)
class Message:
    """An HTTP request or response.

    Parameters
    ----------
    start_line : tuple of str
        The three fields of the request line or of the status line.
    headers : dict of str to str
        Headers by lower-case name; values of repeated headers are joined by commas.
    body : bytes
        Complete body.
    """

    start_line: tuple[str, ...]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start_line[1])


class MessageReader:
    """Reads complete messages from a socket.

    Parameters
    ----------
    sock : socket
        Connected socket.
    """

    def __init__(self, sock):
        self.sock = sock
        self._buffer = b""

    def read(self) -> Message | None:
        """Return the next message.

        Returns None if the connection ends, or the head gets too long, before the
        message is complete.
        """
        while b"\r\n\r\n" not in self._buffer:
            if len(self._buffer) > MAX_HEAD_BYTES or not self._receive():
                return None
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            key = name.lower()
            text = value.strip()
            headers[key] = f"{headers[key]}, {text}" if key in headers else text
        body_length = int(headers.get("content-length", "0"))
        while len(self._buffer) < body_length:
            if not self._receive():
                return None
        body, self._buffer = self._buffer[:body_length], self._buffer[body_length:]
        return Message(tuple(lines[0].split(" ", 2)), headers, body)

    def _receive(self) -> bool:
        """Append received bytes to the buffer; return False if the connection ended."""
        try:
            data = self.sock.recv(RECEIVE_BUFFER_BYTES)
        except OSError:
            return False
        self._buffer += data
        return bool(data)


def send_without_end(sock, head: bytes, should_go_on: Callable[[], bool]) -> None:
    """Send a head and chunks until told to stop or `MAX_ENDLESS_BYTES` are sent.

    The last chunk is never sent, so that no reader may take the body for whole.

    Parameters
    ----------
    sock : socket
        Connected socket.
    head : bytes
        Complete head of a message with a chunked body.
    should_go_on : callable
        Returns False to stop.
    """
    sock.sendall(head)
    chunk = b"%x\r\n%b\r\n" % (ENDLESS_CHUNK_BYTES, b"x" * ENDLESS_CHUNK_BYTES)
    for _ in range(MAX_ENDLESS_BYTES // ENDLESS_CHUNK_BYTES):
        if not should_go_on():
            return
        sock.sendall(chunk)
        eventlet.sleep(ENDLESS_INTERVAL_S)


def encode_message(
    start_line: str, headers: dict[str, object], body: bytes = b""
) -> bytes:
    """Return the bytes of a message with a Content-Length header."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
