"""Plain HTTP/1.1 messages for the stand-ins, close to the socket."""

from dataclasses import dataclass, field

RECEIVE_BYTES = 65_536
MAX_HEAD_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Message:
    """A request or an answer.

    Parameters
    ----------
    start : tuple of str
        The three parts of the first line.
    headers : dict of str to str
        Headers by lower-case name; repeated ones joined by commas.
    body : bytes
        Whole body.
    """

    start: tuple[str, ...]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start[1])


class Wire:
    """Reads whole messages from a socket.

    Parameters
    ----------
    sock : socket
        Open connection.
    """

    def __init__(self, sock):
        self.sock = sock
        self._buffer = b""

    def read(self) -> Message | None:
        """Return the next message; None if the connection ended before it."""
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
        length = int(headers.get("content-length", "0"))
        while len(self._buffer) < length:
            if not self._receive():
                return None
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return Message(tuple(lines[0].split(" ", 2)), headers, body)

    def _receive(self) -> bool:
        """Receive some bytes; False at the end of the connection."""
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except OSError:
            return False
        self._buffer += data
        return bool(data)


def write_message(first: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
