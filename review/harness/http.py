"""HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536


class BadMessageError(Exception):
    """The bytes on a connection are no complete HTTP message."""


@dataclass
class Message:
    """A request or an answer, with header names in lower case."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer; -1 if the status line has none of three digits."""
        words = self.start.split(" ")
        text = words[1] if len(words) > 1 else ""
        return int(text) if len(text) == 3 and text.isdigit() else -1


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message with a length; None if the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BadMessageError("the connection ended in a head") from error
    except asyncio.LimitOverrunError as error:
        raise BadMessageError("the head is too large") from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        raise BadMessageError("the connection ended in a body") from error
    return Message(lines[0], headers, body)


def encode(start: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a Content-Length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
