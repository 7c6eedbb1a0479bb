"""Stand-in of a client with one kept connection."""

import asyncio
import itertools
import time
from dataclasses import dataclass

from .http import BadMessageError, Message, encode, read_message

HOST = "pupu76.example"
_numbers = itertools.count(1)


@dataclass
class Attempt:
    """One client attempt and its answer; status 0 if none came."""

    attempt: str
    method: str
    path: str
    vm: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    answer: Message | None = None
    trouble: str = ""
    on_kept_connection: bool = False


class Client:
    """Sends requests one after the other, each with an id of its own."""

    def __init__(self, name: str):
        self._name = name
        self._streams = None
        self._address = None

    async def send(
        self, address: str, method: str, path: str, deadline_ms: int, body: bytes = b""
    ) -> Attempt:
        """Send a request; wait until a second after its deadline for the answer."""
        attempt_id = f"{self._name}-{next(_numbers):06d}"
        record = Attempt(attempt_id, method, path, address, time.monotonic())
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt_id,
            "X-Request-Deadline": deadline_ms,
        }
        data = encode(f"{method} {path} HTTP/1.1", headers, body)
        record.on_kept_connection = (
            self._streams is not None and self._address == address
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                record.answer = await self._exchange(address, data)
        except (OSError, TimeoutError, BadMessageError) as error:
            record.trouble = repr(error)
            self.close()
        record.ended_at = time.monotonic()
        if record.answer is not None:
            record.status = record.answer.status
            if record.answer.headers.get("connection", "").lower() == "close":
                self.close()
        return record

    async def _exchange(self, address: str, data: bytes) -> Message | None:
        """Send bytes on the kept connection, or on a new one; return the answer."""
        if self._address != address:
            self.close()
        if self._streams is None:
            host, _, port = address.rpartition(":")
            async with asyncio.timeout(1.0):
                self._streams = await asyncio.open_connection(host, int(port))
            self._address = address
        reader, writer = self._streams
        writer.write(data)
        await writer.drain()
        answer = await read_message(reader)
        if answer is None:
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection if there is one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
