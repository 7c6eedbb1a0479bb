"""Tests of callers' connections to the interface: bounds, memory and time limits."""

import errno
import random
from unittest import mock

import eventlet
from cassiastair.clock import ManualClock
from cassiastair.traces import Tracer
from eventlet import wsgi
from eventlet.green import socket
from testtools import TestCase

from ..drain import Drain
from ..entry.entry_memory import EntryMemory
from . import connections as connections_module
from . import protocol
from .app import Api
from .connection import BODY_COPIES, CONNECTION_BYTES
from .connections import SILENCE_S, ApiConnections
from .phase import Phase
from .protocol import MAX_HEAD_BYTES
from .reply import ApiReply

MEMORY_BYTES = 100_000_000
MAX_BODY_BYTES = 100_000
IDLE_S = 60.0
TRANSFER_S = 15.0
GUARD_S = 10.0  # a test that hangs ends then
GET = b"GET /live HTTP/1.1\r\nHost: a\r\n\r\n"


class ApiTestCase(TestCase):
    """The WSGI server with its connections and handlers that the test sets."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.memory = EntryMemory(MEMORY_BYTES, self.clock, lambda: 0)
        self.handlers = mock.Mock()
        self.handlers.live.return_value = ApiReply(200, b"{}")
        self.handlers.search.side_effect = lambda *args: ApiReply(200, b"{}")
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = listener.getsockname()
        self.listener = mock.Mock(wraps=listener, family=listener.family)
        self.connections = ApiConnections(
            self.listener, self.memory, self.clock, IDLE_S, TRANSFER_S
        )
        api = Api(
            self.handlers,
            self.handlers,
            self.handlers,
            Drain(),
            mock.Mock(spec=Tracer),
            self.clock,
            random.Random(1),
            MAX_BODY_BYTES,
        )
        server = eventlet.spawn(
            wsgi.server,
            self.connections,
            api,
            log_output=False,
            protocol=self.connections.serve,
            debug=False,
        )
        self.addCleanup(server.kill)
        self.callers = []

    def connect(self, data: bytes = b""):
        """Return a new connection that has sent some bytes."""
        caller = eventlet.connect(self.address)
        caller.settimeout(GUARD_S)
        self.callers.append(caller)
        self.addCleanup(caller.close)
        caller.sendall(data)
        eventlet.sleep(0.02)
        return caller

    def is_closed(self, caller) -> bool:
        """Return True if the other end has closed a connection without a reply."""
        caller.settimeout(0.1)
        try:
            return caller.recv(100) == b""
        except ConnectionResetError:
            return True
        except socket.timeout:
            return False

    def check_served(self) -> None:
        """Check that a request on a new connection is answered."""
        assert self.connect(GET).recv(1000).startswith(b"HTTP/1.1 200")


def encode_post(length: int, body: bytes, framing: str = "") -> bytes:
    """Return a request with a body, or a part of it."""
    framing = framing or f"Content-Length: {length}"
    head = f"POST /v1/search HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n"
    return head.encode() + body


class TestTimeLimits(ApiTestCase):
    """Connections that wait for their callers for too long."""

    def check_closed_after(self, caller, limit_s: float) -> None:
        """Check that a connection is closed after a time, and not before."""
        self.clock.advance(limit_s - 1.0)
        self.connections.check()
        assert not self.is_closed(caller)
        self.clock.advance(2.0)
        self.connections.check()
        assert self.is_closed(caller)
        eventlet.sleep(0.02)
        assert self.memory.account.held == 0

    def test_an_idle_connection_is_closed(self):
        caller = self.connect(GET)
        assert caller.recv(1000)
        self.check_closed_after(caller, IDLE_S)

    def test_a_body_that_does_not_arrive_is_closed(self):
        caller = self.connect(encode_post(1000, b"x" * 999))
        assert self.memory.requests.held == BODY_COPIES * 1000
        self.check_closed_after(caller, TRANSFER_S)

    def test_an_answer_that_is_not_read_is_closed(self):
        answer = ApiReply(200, bytes(1_000_000))
        self.handlers.search.side_effect = lambda *args: answer
        self.connect(encode_post(50_000, bytes(50_000)))
        assert self.memory.answers.held == 1_000_000
        assert self.memory.bodies.held == 0  # the request is done
        self.clock.advance(TRANSFER_S + 1.0)
        self.connections.check()
        eventlet.sleep(0.02)
        assert self.memory.account.held == 0
        self.check_served()

    def test_a_request_that_is_served_for_long_is_not_closed(self):
        def search(*args) -> ApiReply:
            self.clock.advance(10 * IDLE_S)
            self.connections.check()
            return ApiReply(200, b"{}")

        self.handlers.search.side_effect = search
        caller = self.connect(encode_post(2, b"{}"))
        assert caller.recv(1000).startswith(b"HTTP/1.1 200")


class TestMemory(ApiTestCase):
    """Memory for connections, bodies and answers."""

    def fill(self, holder) -> None:
        """Reserve all memory that a holder can get."""
        assert holder.try_reserve(holder.available)

    def test_a_body_without_memory_is_refused_as_not_run(self):
        self.fill(self.memory.bodies)
        refused = mock.patch.object(
            self.memory, "reserve", side_effect=self.memory.bodies.refuse()
        )
        with refused:
            caller = self.connect(encode_post(50_000, b"x" * 40_000))
            reply = caller.recv(1000)
        assert reply.startswith(b"HTTP/1.1 503")
        assert b"memory_full" in reply
        assert b"not_run" in reply
        assert not self.handlers.search.called

    def test_an_answer_without_memory_ends_its_connection_without_a_claim(self):
        def search(*args) -> ApiReply:
            self.fill(self.memory.answers)
            return ApiReply(200, bytes(100_000))

        self.handlers.search.side_effect = search
        assert self.is_closed(self.connect(encode_post(2, b"{}")))

    def test_a_connection_without_memory_is_refused(self):
        self.fill(self.memory.connections)
        reply = self.connect().recv(1000)
        assert reply.startswith(b"HTTP/1.1 503")
        assert b"memory_full" in reply
        assert self.connections.refused_count == 1
        assert self.connections.open_count == 0

    def test_silent_connections_give_way_when_memory_is_short(self):
        silent = self.connect(encode_post(50_000, b"x" * 40_000))
        self.clock.advance(SILENCE_S + 1.0)
        recent = self.connect(encode_post(50_000, b"x" * 40_000))
        self.memory.bodies.refuse(1000)
        self.connections.check()
        assert self.is_closed(silent)
        assert not self.is_closed(recent)

    def test_a_body_that_waits_for_memory_is_not_silent(self):
        self.fill(self.memory.bodies)
        self.connect(encode_post(50_000, b"x" * 40_000))
        [connection] = self.connections._connections
        assert connection.phase is Phase.WORKING

    def test_memory_of_an_answer_is_released_when_it_is_read(self):
        self.handlers.live.return_value = ApiReply(200, bytes(20_000))
        caller = self.connect(GET)
        received = b""
        while len(received) < 20_000:
            received += caller.recv(30_000)
        eventlet.sleep(0.02)
        assert self.memory.account.held == CONNECTION_BYTES

    def test_memory_is_released_after_each_request(self):
        caller = self.connect()
        for _ in range(3):
            caller.sendall(encode_post(20_000, b"x" * 20_000))
            assert caller.recv(1000).startswith(b"HTTP/1.1 200")
            eventlet.sleep(0.02)
            assert self.memory.account.held == CONNECTION_BYTES


class TestBounds(ApiTestCase):
    """Number of connections, and accepts that fail."""

    def test_failed_accepts_do_not_end_the_server(self):
        accept = self.listener.accept
        errors = iter([OSError(errno.EMFILE, "out of descriptors")] * 2)

        def fail_twice():
            for error in errors:
                raise error
            return accept()

        self.listener.accept = fail_twice
        self.check_served()  # by the accept that waits already
        self.check_served()
        assert next(errors, None) is None

    def test_silent_connections_give_way_above_the_bound(self):
        with mock.patch.object(connections_module, "MAX_CALLER_CONNECTIONS", 5):
            callers = [self.connect(GET[:5]) for _ in range(3)]
            assert self.is_closed(self.connect(GET))
            self.clock.advance(SILENCE_S + 1.0)
            self.check_served()
        assert [self.is_closed(caller) for caller in callers].count(True) == 1


class TestRefusedBodies(ApiTestCase):
    """Bodies that are not read to their end."""

    def test_the_caller_gets_the_answer_and_the_connection_ends(self):
        chunks = b"1\r\na\r\n" * 200_000
        patch = mock.patch.object(protocol, "LINGER_S", GUARD_S)
        patch.start()
        self.addCleanup(patch.stop)
        for request, status in (
            (encode_post(0, chunks, "Transfer-Encoding: chunked"), b"400"),
            (encode_post(2 * MAX_BODY_BYTES, bytes(2 * MAX_BODY_BYTES)), b"413"),
            (GET[:-2] + b"Content-Length: 1000000\r\n\r\n" + bytes(900_000), b"200"),
        ):
            caller = self.connect()
            caller.sendall(request)
            received = b""
            while data := caller.recv(10_000):
                received += data
            assert received[9:12] == status, received
            assert b"Connection: close" in received

    def test_a_head_above_the_limit_is_refused(self):
        padding = b"X-Padding: " + b"a" * (MAX_HEAD_BYTES // 4) + b"\r\n"
        caller = self.connect(GET[:-2] + 5 * padding + b"\r\n")
        assert caller.recv(1000).startswith(b"HTTP/1.0 400")

    def test_pipelined_requests_leave_turns_to_other_tasks(self):
        count = 20
        self.connect().sendall(GET * count)
        passes = 0
        while self.handlers.live.call_count < count and passes < 100:
            eventlet.sleep(0)
            passes += 1
        assert self.handlers.live.call_count == count
        assert passes >= count
