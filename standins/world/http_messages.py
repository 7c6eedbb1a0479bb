"""HTTP/1.1 messages on plain sockets, for the simulated store, back ends and callers.

Bodies need a Content-Length; chunked bodies are not supported.
"""

from dataclasses import dataclass, field

RECEIVE_BUFFER_BYTES = 65_536
MAX_HEAD_BYTES = 65_536


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


def encode_message(
    start_line: str, headers: dict[str, object], body: bytes = b""
) -> bytes:
    """Return the bytes of a message with a Content-Length header."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
