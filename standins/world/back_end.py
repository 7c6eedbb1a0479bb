"""A back end that registers in the store, answers, and misbehaves on demand."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
from eventlet.green import socket
from eventlet.semaphore import Semaphore

from .http import Message, Wire, write_message
from .store import Store

RECORDS = 12
RECORD_BYTES = 16


@dataclass(slots=True)
class Run:
    """One request that a back end ran, or refused."""

    attempt: str
    back_end: str
    service: str
    at: float
    method: str
    path: str
    body: bytes
    ran: bool
    ended: bool = False


@dataclass(slots=True)
class Faults:
    """What goes wrong at a back end; each share is of its requests."""

    lose_answer: float = 0.0
    shed: float = 0.0
    error: float = 0.0
    extra: float = 0.0
    cut: float = 0.0
    unframed: float = 0.0
    slow: float = 1.0
    dark: bool = False


@dataclass(slots=True)
class BackEndSpec:
    """What a back end is.

    Parameters
    ----------
    name : str
        Its id.
    service : str
        Service that it serves.
    zone : str
        Where it runs.
    work : float
        Mean seconds that a request takes.
    slots : int
        Requests that it runs at the same time.
    """

    name: str
    service: str
    zone: str
    work: float = 0.005
    slots: int = 2
    faults: Faults = field(default_factory=Faults)


class BackEnd:
    """Serves one service on a port of its own.

    Parameters
    ----------
    spec : BackEndSpec
        What it is.
    store : Store
        Where it registers.
    source : random.Random
        Source of its latencies and faults.
    clock : callable
        Returns the time in seconds.
    host : str
        IP number to listen on.
    """

    def __init__(
        self,
        spec: BackEndSpec,
        store: Store,
        source: random.Random,
        clock: Callable[[], float],
        host: str = "127.0.0.1",
    ):
        self.spec = spec
        self._store = store
        self._source = source
        self._clock = clock
        self._listener = eventlet.listen((host, 0))
        self.port = self._listener.getsockname()[1]
        self._address = (host, self.port)
        self._slots = Semaphore(spec.slots)
        self._sockets: set = set()
        self.runs: list[Run] = []
        self.draining_since: float | None = None
        self.stopped = False
        self._acceptor = eventlet.spawn(self._accept)

    def register(self, state: str = "ready") -> None:
        """Write the entry to the store."""
        spec = self.spec
        entry = {
            "service": spec.service,
            "address": f"{self._address[0]}:{self._address[1]}",
            "zone": spec.zone,
            "version": "v1",
            "concurrency": spec.slots,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": 1,
        }
        if state == "draining":
            self.draining_since = self._clock()
        self._store.put(f"servers/{spec.name}", entry)

    def advertise(self, address: tuple[str, int]) -> None:
        """Register with the address of a proxy in front."""
        self._address = address
        self.register()

    def leave(self) -> None:
        """Take the entry out of the store without a word of draining."""
        self.draining_since = self._clock()
        self._store.remove(f"servers/{self.spec.name}")

    def stop(self) -> None:
        """End at once, as a crash does."""
        self.stopped = True
        self._acceptor.kill()
        self._listener.close()
        for sock in list(self._sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)  # its task sees the end and closes it
            except OSError:
                continue  # the caller has closed it already

    def _accept(self) -> None:
        """Serve connections until the end."""
        while not self.stopped:
            try:
                sock, _ = self._listener.accept()
            except (OSError, EOFError):
                return
            self._sockets.add(sock)
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock) -> None:
        """Answer the requests on one connection."""
        wire = Wire(sock)
        try:
            while (request := wire.read()) is not None:
                if self.spec.faults.dark:
                    eventlet.sleep(3600)
                if not self._answer(sock, request):
                    return
        except (OSError, EOFError):
            return  # the caller has left, or the back end has ended
        finally:
            self._sockets.discard(sock)
            sock.close()

    def _answer(self, sock, request: Message) -> bool:
        """Answer one request; tell whether the connection goes on."""
        faults = self.spec.faults
        expected = request.headers.get("x-expected-instance")
        run = self._note(request)
        if expected is not None and expected != self.spec.name:
            run.ran = False
            sock.sendall(write_message("HTTP/1.1 421 Misdirected Request", {}))
            return True
        if self._chance(faults.shed):
            run.ran = False
            headers = {"X-Not-Executed": "1"}
            sock.sendall(write_message("HTTP/1.1 503 Full", headers))
            return True
        with self._slots:
            mean = self.spec.work * faults.slow
            eventlet.sleep(self._source.uniform(0.5, 1.5) * mean)
        run.ended = True
        if self._chance(faults.lose_answer):
            return False
        return self._send(sock, request, faults)

    def _note(self, request: Message) -> Run:
        """Write down an arrival."""
        run = Run(
            attempt=request.headers.get("x-attempt-id", ""),
            back_end=self.spec.name,
            service=self.spec.service,
            at=self._clock(),
            method=request.start[0],
            path=request.start[1],
            body=request.body,
            ran=True,
        )
        self.runs.append(run)
        return run

    def _send(self, sock, request: Message, faults: Faults) -> bool:
        """Write the answer, spoiled if the faults say so."""
        attempt = request.headers.get("x-attempt-id", "")
        seal = f"{self.spec.name}.{attempt}"
        headers = {"X-Attempt-Id": attempt, "X-Response-Seal": seal}
        body = make_body(self.spec.service, attempt)
        if self._chance(faults.error):
            sock.sendall(write_message("HTTP/1.1 500 Failed", headers, body))
            return True
        if self._chance(faults.unframed):
            head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            sock.sendall(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + body)
            return False
        answer = write_message("HTTP/1.1 200 OK", headers, body)
        if self._chance(faults.cut):
            sock.sendall(answer[: len(answer) // 2])
            return False
        sock.sendall(answer)
        if self._chance(faults.extra):
            headers["X-Attempt-Id"] = f"other-{attempt}"
            sock.sendall(write_message("HTTP/1.1 200 OK", headers, b"x" * 32))
        return True

    def _chance(self, share: float) -> bool:
        """Tell whether a fault strikes now."""
        return share > 0 and self._source.random() < share


def make_body(service: str, attempt: str) -> bytes:
    """Return the records that every back end of a service has for a request."""
    source = random.Random(f"{service} {attempt}")
    return b"".join(source.randbytes(RECORD_BYTES) for _ in range(RECORDS))
