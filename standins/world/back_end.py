"""Simulated back end that registers in the store and injects faults on demand."""

import random
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
from eventlet.green import socket
from eventlet.semaphore import Semaphore

from ..raw_http import STATUSES_OUT_OF_RANGE
from .http_messages import Message, MessageReader, encode_message, send_without_end
from .store import Store

HEALTH_PATH = "/health"
RECORD_COUNT = 12  # records in one answer
RECORD_BYTES = 16  # size of one record
FRAMINGS = ("length", "chunks", "none")
# Bytes of an answer, and bytes that make it no HTTP/1.1 answer in their place.
SPOILINGS = (
    *((b"1.1 200", b"1.1 %b" % status) for status in STATUSES_OUT_OF_RANGE),
    (b"HTTP/1.1", b"RTSP/1.0"),
    (b"HTTP/1.1", b"HTTP/2.0"),
    (b"HTTP/1.1", b"\r\nHTTP/1.1"),
    (b"200 OK", b"200 O\0K"),
    (b"200 OK\r\n", b"200 OK\r\n X: y\r\n"),
    (b"X-Response-Seal", b"X-Response Seal"),
    (b"X-Attempt-Id", b"X-Attempt\x01Id"),
    (b"X-Attempt-Id: ", b"X-Attempt-Id: \0"),
    (b"Content-Length", b"Content-Length "),
    (b"Content-Length: ", b"Content-Length: +"),
)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with no time to send the rest


@dataclass(frozen=True, slots=True)
class Notice:
    """What an answer says of its back end.

    Parameters
    ----------
    sent_at : float
        Time of the answer in seconds.
    leaving : bool
        Whether it says that the back end leaves.
    pause_s : float or None
        Seconds for which it wants no requests from the VM; None if it names none.
    """

    sent_at: float
    leaving: bool
    pause_s: float | None


@dataclass(slots=True)
class ReceivedRequest:
    """A request that a back end received.

    Parameters
    ----------
    attempt_id : str
        Value of the X-Attempt-Id header; empty if it is absent.
    back_end : str
        Name of the back end.
    service : str
        Service of the back end.
    received_at : float
        Time of receipt in seconds.
    method, path : str
        Method and path of the request.
    body : bytes
        Body of the request.
    is_executed : bool
        False if the back end refused the request.
    rate_limit : float or None
        Limit in requests a second that the back end named at that time.
    is_completed : bool
        True once the work is done, whether or not an answer was sent.
    notice : Notice or None
        What its answer says of the back end; None without such an answer.
    expected : str
        Name of the back end that the request is meant for; empty if it names none.
    """

    attempt_id: str
    back_end: str
    service: str
    received_at: float
    method: str
    path: str
    body: bytes
    is_executed: bool
    rate_limit: float | None = None
    is_completed: bool = False
    notice: Notice | None = None
    expected: str = ""


@dataclass(slots=True)
class Faults:
    """Faults that a back end injects.

    Parameters
    ----------
    drop_answer : float
        Probability of doing the work and closing the connection without an answer.
    shed : float
        Probability of refusing a request with status 503 and X-Not-Executed.
    error : float
        Probability of answering with status 500.
    extra_answer : float
        Probability of sending a second answer, with the ID of another attempt.
    truncate : float
        Probability of sending half of the answer and closing the connection.
    cut_head, cut_body : float
        Probability of ending the connection inside the head, or the body, of an answer.
        It is closed or reset; a body without a length is always reset.
    send_interim : float
        Probability of sending an interim reply with the answer's headers before the
        answer. An answer that is cut may end behind it.
    omit_length : float
        Probability of answering without a Content-Length header.
    half : float
        Probability of sending half of the answer and then nothing.
    endless : float
        Probability of sending an answer without end, until the fault is over.
    spoil : float
        Probability of an answer that one of `SPOILINGS` makes no HTTP/1.1 answer.
    work_factor : float
        Factor on the duration of each request.
    never_answer : bool
        Accept requests without ever answering them.
    rate_limit : float or None
        Requests a second that answers name as the limit for all VMs together.
    leaving : bool
        Say in all answers that the back end leaves.
    pause_s : float or None
        Refuse all requests and name this time in seconds; None to take requests.
    """

    drop_answer: float = 0.0
    shed: float = 0.0
    error: float = 0.0
    extra_answer: float = 0.0
    truncate: float = 0.0
    cut_head: float = 0.0
    cut_body: float = 0.0
    send_interim: float = 0.0
    omit_length: float = 0.0
    half: float = 0.0
    endless: float = 0.0
    spoil: float = 0.0
    work_factor: float = 1.0
    never_answer: bool = False
    rate_limit: float | None = None
    leaving: bool = False
    pause_s: float | None = None


@dataclass(slots=True)
class BackEndSpec:
    """Identity and capacity of a back end.

    Parameters
    ----------
    name : str
        Name under which it registers.
    service : str
        Service that it serves.
    zone : str
        Data centre that it registers with.
    mean_work_s : float
        Mean duration of a request in seconds.
    concurrency : int
        Number of requests that it executes at the same time.
    faults : Faults
        Faults to inject; they may change while the back end runs.
    answer_bytes : int or None
        Size of the body of each answer; None for a few records.
    """

    name: str
    service: str
    zone: str
    mean_work_s: float = 0.005
    concurrency: int = 2
    faults: Faults = field(default_factory=Faults)
    answer_bytes: int | None = None


class BackEnd:
    """Serves one service over HTTP on a free port.

    Parameters
    ----------
    spec : BackEndSpec
        Identity, capacity and faults.
    store : Store
        Store in which it registers.
    rng : random.Random
        Random number generator for durations and faults.
    clock : callable
        Returns the time in seconds.
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 for a free one.

    Attributes
    ----------
    port : int
        Port that it listens on.
    requests : list of ReceivedRequest
        Requests received, in the order of receipt.
    health_checks : int
        Number of health checks received.
    draining_since : float or None
        Time at which it registered as draining or deregistered.
    is_stopped : bool
        True after `stop`.
    state : str
        State of its item in the store; empty if it has none.
    """

    def __init__(
        self,
        spec: BackEndSpec,
        store: Store,
        rng: random.Random,
        clock: Callable[[], float],
        host: str = "127.0.0.1",
        port: int = 0,
    ):
        self.spec = spec
        self._store = store
        self._rng = rng
        self._clock = clock
        self._listener = eventlet.listen((host, port))
        self.port = self._listener.getsockname()[1]
        self._address = (host, self.port)
        self._slots = Semaphore(spec.concurrency)
        self._sockets: set = set()
        self.requests: list[ReceivedRequest] = []
        self.health_checks = 0
        self.draining_since: float | None = None
        self.is_stopped = False
        self.state = ""
        self._acceptor = eventlet.spawn(self._accept)

    def register(self, state: str = "ready") -> None:
        """Write the back end's item to the store, with a state such as "draining"."""
        spec = self.spec
        entry = {
            "service": spec.service,
            "address": f"{self._address[0]}:{self._address[1]}",
            "zone": spec.zone,
            "version": "v1",
            "concurrency": spec.concurrency,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": 1,
        }
        if state == "draining" and self.state != state:
            self.draining_since = self._clock()
        self.state = state
        self._store.put(f"servers/{spec.name}", entry)

    def advertise(self, address: tuple[str, int]) -> None:
        """Register again, with the address of a proxy in front of the back end."""
        self._address = address
        self.register()

    def deregister(self) -> None:
        """Remove the back end's item from the store without draining first."""
        self.draining_since = self._clock()
        self.state = ""
        self._store.remove(f"servers/{self.spec.name}")

    def register_again(self) -> None:
        """Write its item again, as its next heartbeat does."""
        if self.state and not self.is_stopped:
            self.register(self.state)

    def stop(self) -> None:
        """Close all sockets at once, as a crash does; the item stays in the store."""
        self.is_stopped = True
        self._acceptor.kill()
        self._listener.close()
        for sock in list(self._sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)  # its green thread closes it
            except OSError:
                continue  # already closed

    def _accept(self) -> None:
        """Accept connections until the back end stops."""
        while not self.is_stopped:
            try:
                sock, _ = self._listener.accept()
            except (OSError, EOFError):
                return
            self._sockets.add(sock)
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock) -> None:
        """Answer the requests on one connection."""
        reader = MessageReader(sock)
        try:
            while (request := reader.read()) is not None:
                if self.spec.faults.never_answer:
                    eventlet.sleep(3600)
                if not self._handle_request(sock, request):
                    return
        except (OSError, EOFError):
            return  # the client closed the connection, or the back end stopped
        finally:
            self._sockets.discard(sock)
            sock.close()

    def _handle_request(self, sock, request: Message) -> bool:
        """Answer one request; return False if the connection must be closed."""
        faults = self.spec.faults
        expected = request.headers.get("x-expected-instance")
        if request.start_line[1] == HEALTH_PATH:
            self.health_checks += 1
            identity = {"X-Instance-Id": self.spec.name}
            sock.sendall(encode_message("HTTP/1.1 200 OK", identity))
            return True
        record = self._record_request(request)
        if expected is not None and expected != self.spec.name:
            record.is_executed = False
            headers = {"X-Attempt-Id": record.attempt_id}
            sock.sendall(encode_message("HTTP/1.1 421 Misdirected Request", headers))
            return True
        if faults.pause_s is not None or self._should_inject(faults.shed):
            record.is_executed = False
            record.notice = Notice(self._clock(), faults.leaving, faults.pause_s)
            headers = {"X-Not-Executed": "1", "X-Attempt-Id": record.attempt_id}
            headers |= make_notice_headers(faults)
            sock.sendall(encode_message("HTTP/1.1 503 Full", headers))
            return True
        with self._slots:
            mean_s = self.spec.mean_work_s * faults.work_factor
            eventlet.sleep(self._rng.uniform(0.5, 1.5) * mean_s)
        record.is_completed = True
        if self._should_inject(faults.drop_answer):
            return False
        record.notice = Notice(self._clock(), faults.leaving, None)
        return self._send_answer(sock, request, faults)

    def _record_request(self, request: Message) -> ReceivedRequest:
        """Record a received request as executed; return its record."""
        record = ReceivedRequest(
            attempt_id=request.headers.get("x-attempt-id", ""),
            back_end=self.spec.name,
            service=self.spec.service,
            received_at=self._clock(),
            method=request.start_line[0],
            path=request.start_line[1],
            body=request.body,
            is_executed=True,
            rate_limit=self.spec.faults.rate_limit,
            expected=request.headers.get("x-expected-instance", ""),
        )
        self.requests.append(record)
        return record

    def _send_answer(self, sock, request: Message, faults: Faults) -> bool:
        """Send the answer or a faulty one; return False to close the connection."""
        attempt_id = request.headers.get("x-attempt-id", "")
        seal = f"{self.spec.name}.{attempt_id}"
        headers = {"X-Attempt-Id": attempt_id, "X-Response-Seal": seal}
        headers |= make_notice_headers(faults)
        if self.spec.answer_bytes is None:
            body = make_body(self.spec.service, attempt_id)
        else:
            body = bytes(self.spec.answer_bytes)
        if self._should_inject(faults.error):
            sock.sendall(encode_message("HTTP/1.1 500 Failed", headers, body))
            return True
        if self._should_inject(faults.omit_length):
            head, _ = frame_answer("none", headers, body)
            sock.sendall(head + body)
            return False
        interim = b""
        if self._should_inject(faults.send_interim):
            interim = encode_head("HTTP/1.1 103 Early Hints", headers)
        if self._should_inject(faults.cut_head):
            self._send_cut_head(sock, interim, headers, body)
            return False
        if self._should_inject(faults.cut_body):
            self._send_cut_body(sock, interim, headers, body)
            return False
        answer = interim + encode_message("HTTP/1.1 200 OK", headers, body)
        if self._should_inject(faults.spoil):
            sock.sendall(answer.replace(*self._rng.choice(SPOILINGS), 1))
            return True
        if self._should_inject(faults.truncate):
            sock.sendall(answer[: len(answer) // 2])
            return False
        if self._should_inject(faults.half):
            sock.sendall(answer[: len(answer) // 2])
            eventlet.sleep(3600)
        if self._should_inject(faults.endless):
            headers["Transfer-Encoding"] = "chunked"
            head = encode_head("HTTP/1.1 200 OK", headers)
            send_without_end(sock, head, lambda: faults.endless > 0)
            return False
        sock.sendall(answer)
        if self._should_inject(faults.extra_answer):
            headers["X-Attempt-Id"] = f"other-{attempt_id}"
            sock.sendall(encode_message("HTTP/1.1 200 OK", headers, b"x" * 32))
        return True

    def _send_cut_head(
        self, sock, interim: bytes, headers: dict[str, str], body: bytes
    ) -> None:
        """Send an answer up to some byte of its head; close or reset the connection."""
        head, _ = frame_answer(self._rng.choice(FRAMINGS), headers, body)
        sock.sendall(interim + head[: self._rng.randrange(len(head))])
        if self._rng.random() < 0.5:
            reset_on_close(sock)

    def _send_cut_body(
        self, sock, interim: bytes, headers: dict[str, str], body: bytes
    ) -> None:
        """Send an answer up to some byte of its body; close or reset the connection."""
        framing = self._rng.choice(FRAMINGS)
        head, framed = frame_answer(framing, headers, body)
        sock.sendall(interim + head + framed[: self._rng.randrange(len(framed))])
        if framing == "none" or self._rng.random() < 0.5:
            reset_on_close(sock)

    def _should_inject(self, probability: float) -> bool:
        """Return True with a given probability, to inject a fault."""
        return probability > 0 and self._rng.random() < probability


def make_notice_headers(faults: Faults) -> dict[str, str]:
    """Return the headers in which a back end says something of itself."""
    headers = {}
    if faults.rate_limit is not None:
        headers["Server-Limit"] = f"{faults.rate_limit:g}"
    if faults.leaving:
        headers["Server-Leaving"] = "1"
    if faults.pause_s is not None:
        headers["Retry-After"] = f"{faults.pause_s:g}"
    return headers


def encode_head(start_line: str, headers: dict[str, str]) -> bytes:
    """Return the bytes of a head, with the empty line."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def frame_answer(
    framing: str, headers: dict[str, str], body: bytes
) -> tuple[bytes, bytes]:
    """Return the head and the framed body of an answer, in one of `FRAMINGS`."""
    framed = body
    if framing == "length":
        headers = headers | {"Content-Length": f"{len(body)}"}
    elif framing == "chunks":
        headers = headers | {"Transfer-Encoding": "chunked"}
        chunks = (body[: len(body) // 2], body[len(body) // 2 :], b"")
        framed = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in chunks)
    return encode_head("HTTP/1.1 200 OK", headers), framed


def reset_on_close(sock) -> None:
    """Let the close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def make_body(service: str, attempt_id: str) -> bytes:
    """Return the records that every back end of a service answers a request with."""
    rng = random.Random(f"{service} {attempt_id}")
    return b"".join(rng.randbytes(RECORD_BYTES) for _ in range(RECORD_COUNT))
