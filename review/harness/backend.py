"""Stand-in of a backend, as PROTOCOL.md describes it."""

import asyncio
import random
import time
from dataclasses import dataclass

from .http import BadMessageError, Message, encode, read_message

STATUS_TEXT = {200: "OK", 500: "Internal Server Error", 504: "Gateway Timeout"}


@dataclass
class Run:
    """A request that a backend began to work on."""

    attempt: str
    backend: str
    service: str
    at: float
    status: int = 0  # that the backend answered; 0 if it gave no answer
    seal: str = ""


class Backend:
    """Serves one service; subclasses bring the trouble of a case.

    Parameters
    ----------
    name, service, zone : str
        As in the backend's entry in the store.
    host : str
        Loopback address to listen on.
    runs : list of Run
        Record of all requests that began to run, shared by all backends.
    rng : random.Random
        Draws the durations.
    slots, queue : int
        Requests that run at the same time, and requests that wait for a slot.
    work_s : float
        Mean duration of a request.
    echoes_in_refusals : bool
        Whether refusals echo X-Attempt-Id. PROTOCOL.md says that responses do; the
        sample of a refusal that `fleetbench wire` prints has no such header.
    """

    def __init__(
        self,
        name,
        service,
        zone,
        host,
        runs,
        rng,
        slots=3,
        queue=12,
        work_s=0.16,
        echoes_in_refusals=False,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.runs: list[Run] = runs
        self.rng: random.Random = rng
        self.arrivals: list[tuple[float, str]] = []
        self._host = host
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._queue = queue
        self._waiting = 0
        self._work_s = work_s
        self._echoes_in_refusals = echoes_in_refusals
        self._sequence = 0
        self._server = None
        self.address = ""
        self._connections: set = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    def make_entry(self, state: str = "ready") -> dict:
        """Return the backend's entry for the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "concurrency": self._slot_count,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": self._sequence,
            "born": 1_700_000_000_000,
        }

    async def _serve(self, reader, writer) -> None:
        """Answer the requests on one connection, one at a time."""
        state: dict = {}
        try:
            while (request := await read_message(reader)) is not None:
                await self.answer(request, writer, state)
                await writer.drain()
        except (OSError, BadMessageError):
            pass
        finally:
            writer.close()

    async def answer(self, request: Message, writer, state: dict) -> None:
        """Answer one request; `state` belongs to the connection."""
        writer.write(await self.handle(request))

    async def handle(self, request: Message) -> bytes:
        """Run or refuse a request; return the bytes of the answer."""
        if request.headers.get("x-expected-instance", self.name) != self.name:
            headers = {"X-Instance-Id": self.name}
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        attempt = request.headers.get("x-attempt-id", "")
        self.arrivals.append((time.monotonic(), attempt))
        if self._waiting >= self._queue:
            return self._refuse(attempt)
        deadline = time.monotonic() + int(request.headers["x-request-deadline"]) / 1000
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if time.monotonic() >= deadline:
                return self._refuse(attempt)
            run = Run(attempt, self.name, self.service, time.monotonic())
            self.runs.append(run)
            run.seal = f"{self.name}.{attempt}.{len(self.runs)}"
            work_s = self._work_s * self.rng.uniform(0.5, 1.5)
            left_s = deadline - time.monotonic()
            await asyncio.sleep(min(work_s, left_s))
            run.status = self.choose_status() if work_s <= left_s else 504
        finally:
            self._slots.release()
        headers = {"X-Attempt-Id": attempt, "X-Response-Seal": run.seal}
        body = self.make_body(attempt)
        start = f"HTTP/1.1 {run.status} {STATUS_TEXT[run.status]}"
        return encode(start, headers, body)

    def _refuse(self, attempt: str) -> bytes:
        """Return the answer of a backend that sheds."""
        headers = {"X-Not-Executed": "1"}
        if self._echoes_in_refusals:
            headers["X-Attempt-Id"] = attempt
        return encode("HTTP/1.1 503 Service Unavailable", headers)

    def choose_status(self) -> int:
        """Return the status of a request that ran to its end."""
        return 200

    def make_body(self, attempt: str) -> bytes:
        """Return the records that this service holds for a request."""
        rng = random.Random(f"{self.service} {attempt}")
        return b"".join(rng.randbytes(16) for _ in range(12))
