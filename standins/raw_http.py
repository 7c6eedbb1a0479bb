"""A minimal HTTP/1.1 server side for the stand-ins.

It works on bare sockets, so that the stand-ins can close or silence a connection and
send malformed replies.
"""

from dataclasses import dataclass

import orjson

MAX_HEAD_BYTES = 16_384
RECEIVE_BUFFER_BYTES = 65_536
PHRASES = {200: "OK"}
STATUSES_OUT_OF_RANGE = (b"000", b"001", b"099", b"600", b"999")


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A request with its undecoded body."""

    method: str
    path: str
    body: bytes

    def json(self) -> dict:
        """Return the decoded JSON body, or an empty dict if there is no body."""
        return orjson.loads(self.body) if self.body else {}


class RequestReader:
    """Reads the requests of a connection in order.

    Parameters
    ----------
    sock : socket.socket
        An accepted connection.
    """

    def __init__(self, sock):
        self._sock = sock
        self._buffer = b""

    def read(self) -> RawRequest | None:
        """Return the next request, or None if the connection ended.

        A head of more than `MAX_HEAD_BYTES` ends the connection too.
        """
        while b"\r\n\r\n" not in self._buffer:
            if len(self._buffer) > MAX_HEAD_BYTES or not self._receive():
                return None
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        length = parse_content_length(lines[1:])
        while len(self._buffer) < length:
            if not self._receive():
                return None
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return RawRequest(method, path, body)

    def _receive(self) -> bool:
        """Add received bytes to the buffer; return False if the connection ended."""
        try:
            data = self._sock.recv(RECEIVE_BUFFER_BYTES)
        except OSError:
            return False
        self._buffer += data
        return bool(data)


def parse_content_length(headers: list[str]) -> int:
    """Return the value of the Content-Length header, or 0 without one."""
    for header in headers:
        name, _, value = header.partition(":")
        if name.lower() == "content-length":
            return int(value)
    return 0


def format_reply(status: int, document: object) -> bytes:
    """Return the bytes of a reply with a JSON body."""
    body = orjson.dumps(document)
    phrase = PHRASES.get(status, "Status")
    head = (
        f"HTTP/1.1 {status} {phrase}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
