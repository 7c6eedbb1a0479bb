"""Tests of request parsing, target replies, callers' connections and the event log."""

import contextlib
import tracemalloc
import weakref
from unittest import mock

import eventlet
import orjson
import pytest
from cassiastair.clock import ManualClock
from cassiastair.errors import (
    CassiastairError,
    MalformedRequestError,
    NoTargetError,
    TooLargeError,
)
from cassiastair.routing import CallerLimits
from eventlet import hubs, patcher
from eventlet.green import socket
from testtools import TestCase

from ..drain import Drain
from ..targets.reply_memory import ReplyMemory
from . import caller_connection
from .caller_connection import CallerConnection
from .caller_server import MAX_REFUSED_OPEN, CallerServer
from .entry_daemon import EntryDaemon, listen
from .entry_memory import EntryMemory
from .event_log import MAX_BURST_LINES, EventLog
from .full_reply_reader import FullReplyReader
from .handler import RequestHandler
from .http_message import HttpReply, HttpRequest
from .metrics_page import MetricsPage
from .parsing_turns import ParsingTurns
from .request_reader import HeadersTooLargeError, RequestReader
from .request_stats import RequestStats

os = patcher.original("os")  # its reads of an empty pipe raise at once
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class TestRequestReader(TestCase):
    """Parsing of requests from the bytes of a connection."""

    def setUp(self):
        super().setUp()
        self.reader = RequestReader(CallerLimits(header_bytes=200, body_bytes=50))

    def read(self, data: bytes, step: int = 10_000) -> list[HttpRequest]:
        """Feed bytes in steps and return the complete requests."""
        for start in range(0, len(data), step):
            self.reader.feed(data[start : start + step])
        return [request for request, _ in self.reader.requests]

    def test_requests_are_parsed_from_single_bytes(self):
        post = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        requests = self.read(GET + post + GET, step=1)
        assert [(r.method, r.url, r.body) for r in requests] == [
            (b"GET", b"/a", b""),
            (b"POST", b"/b", b"abc"),
            (b"GET", b"/a", b""),
        ]

    def test_a_chunked_body_is_joined(self):
        post = b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        assert self.read(post + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")[0].body == b"abcde"

    def test_a_head_or_body_above_its_limit_is_refused(self):
        long = b"GET /a HTTP/1.1\r\nX: " + b"y" * 300
        self.assertRaises(HeadersTooLargeError, self.read, long + b"\r\n\r\n")
        self.reader = RequestReader(CallerLimits(header_bytes=200, body_bytes=50))
        self.assertRaises(HeadersTooLargeError, self.read, long + b"z" * 300, 20)
        head = b"POST /b HTTP/1.1\r\nHost: h\r\n"
        for rest in (
            b"Content-Length: 51\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n40\r\n" + b"x" * 64,
        ):
            self.reader = RequestReader(CallerLimits(header_bytes=200, body_bytes=50))
            self.assertRaises(TooLargeError, self.read, head + rest)

    @pytest.mark.proof(
        promise="cut off",
        failure="a caller's body has frames or trailers without end",
    )
    def test_endless_frames_and_trailers_are_refused(self):
        # The value of a trailer was collected for as long as the caller sent it.
        head = b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        for start in (b"1;", b"1\r\na\r\n0\r\nA: ", b"1\r\na\r\n0\r\n"):
            reader = RequestReader(CallerLimits(header_bytes=200, body_bytes=50))
            reader.feed(head + start)
            more = b"A: b\r\n" * 20 if start.endswith(b"\n") else b"x" * 120
            with self.assertRaises(HeadersTooLargeError, msg=start):
                for _ in range(100):
                    reader.feed(more)

    def test_a_body_in_small_chunks_takes_no_more_than_its_bytes(self):
        limits = CallerLimits(header_bytes=200, body_bytes=10_000_000)
        reader = RequestReader(limits)
        reader.feed(b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(50):
            reader.feed(b"2\r\nno\r\n" * 10_000)
        current, _ = tracemalloc.get_traced_memory()
        assert current < 2 * 50 * 20_000
        reader.feed(b"0\r\n\r\n")
        assert len(reader.requests[0][0].body) == 50 * 20_000

    def test_trailers_are_not_headers(self):
        head = b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        request = self.read(head + b"1\r\na\r\n0\r\nX: y\r\n\r\n")[0]
        assert [name for name, _ in request.headers] == [b"Host", b"Transfer-Encoding"]

    def test_malformed_requests_are_refused(self):
        for data in (
            b"\x00\x01",
            b"POST /b HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            b"POST /b HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
        ):
            self.reader = RequestReader(CallerLimits())
            self.assertRaises(MalformedRequestError, self.read, data)

    def test_requests_before_malformed_bytes_are_kept(self):
        self.assertRaises(MalformedRequestError, self.read, GET + b"\x00\x01")
        assert len(self.reader.requests) == 1


class TestFullReplyReader(TestCase):
    """Parsing of complete replies of targets."""

    def read(self, *parts: bytes) -> FullReplyReader:
        """Return a reader that was fed the parts."""
        reader = FullReplyReader()
        for part in parts:
            reader.feed(part)
        return reader

    def test_a_reply_without_a_length_ends_with_its_connection(self):
        reader = self.read(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", b"body", b"")
        assert reader.done
        assert not reader.keep_alive
        assert reader.build_reply() == HttpReply(200, ((b"A", b"b"),), b"body")

    def test_a_truncated_reply_raises_os_error(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"
        self.assertRaises(OSError, self.read, head, b"")
        self.assertRaises(OSError, self.read, b"HTTP/1.1 200 OK\r\n", b"")

    @pytest.mark.proof(
        promise="own answer",
        failure="bytes follow a complete reply",
    )
    def test_bytes_after_a_reply_change_nothing_of_it(self):
        # The status was taken from the parser, which had gone on to a second reply.
        reply = b"HTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\na"
        other = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nbc"
        refusal = b"HTTP/1.1 421 Misdirected Request\r\nX: 1\r\n\r\n"
        for more in (other, refusal, b"garbage\x00\r\n\r\n"):
            for length in range(1, len(more) + 1):
                reader = self.read(reply + more[:length])
                assert reader.done
                assert not reader.keep_alive
                assert reader.build_reply() == HttpReply(
                    500, ((b"Content-Length", b"1"),), b"a"
                )

    def test_bytes_after_a_reply_end_the_connection(self):
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
        reader = self.read(reply + b"HTTP/1.1 200 OK\r\nB: c\r\n")
        assert not reader.keep_alive
        assert reader.build_reply() == HttpReply(
            200, ((b"Content-Length", b"1"),), b"a"
        )


class TestEndlessReplies(TestCase):
    """Bytes of a target that never make up a reply."""

    ENDLESS = {
        "status line": (b"HTTP/1.1 200 ", b"x" * 4096),
        "header value": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 4096),
        "headers": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 600),
        "chunk extension": (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
            b"x" * 4096,
        ),
        "trailers": (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
            b"A: b\r\n" * 600,
        ),
    }

    @pytest.mark.proof(
        promise="own answer",
        failure="bytes that are no answer come without end",
    )
    def test_endless_heads_and_frames_are_cut_off(self):
        for kind, (start, more) in self.ENDLESS.items():
            reader = FullReplyReader()
            fed = 0
            with self.assertRaises(OSError, msg=kind):
                reader.feed(start)
                while fed < 1_000_000:
                    reader.feed(more)
                    fed += len(more)
            assert fed <= 150_000, kind

    @pytest.mark.proof(
        promise="own answer",
        failure="a body comes without end",
    )
    def test_an_endless_body_is_cut_off(self):
        reader = FullReplyReader()
        reader.feed(b"HTTP/1.1 200 OK\r\n\r\n")
        with self.assertRaises(OSError):
            for _ in range(300):
                reader.feed(b"x" * 100_000)

    @pytest.mark.proof(
        promise="own answer",
        failure="a body comes without end",
    )
    def test_an_endless_body_in_small_chunks_takes_no_more_than_its_bytes(self):
        # An object for each chunk of two bytes took 28 times the memory of the body.
        reader = FullReplyReader()
        reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        chunks = b"2\r\nno\r\n" * 10_000
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(50):
            reader.feed(chunks)
        current, _ = tracemalloc.get_traced_memory()
        assert current < 2 * 50 * 20_000

    def test_endless_trailers_are_not_kept_as_headers(self):
        reader = FullReplyReader()
        reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        reader.feed(b"f4240\r\n" + b"x" * 1_000_000 + b"\r\n0\r\n")
        for _ in range(100):
            reader.feed(b"A: b\r\n" * 600)
        reader.feed(b"\r\n")
        assert reader.build_reply().headers == ((b"Transfer-Encoding", b"chunked"),)

    @pytest.mark.proof(
        promise="own answer",
        failure="a body comes without end",
    )
    def test_endless_bodies_on_many_connections_stay_within_the_memory(self):
        memory = ReplyMemory(1_000_000)
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        sound = FullReplyReader(memory)
        sound.feed(head + b"x" * 1000)
        failed = 0
        endless = [FullReplyReader(memory) for _ in range(20)]
        for reader in endless:
            reader.feed(head)
        for _ in range(100):
            for reader in list(endless):
                try:
                    reader.feed(b"x" * 20_000)
                except OSError:
                    failed += 1
                    endless.remove(reader)
                    reader.release_memory()
                assert memory.held <= 2 * memory.limit
        assert failed == memory.exceeded_count == 20
        sound.feed(b"y" * 1000)
        sound.feed(b"")
        assert len(sound.build_reply().body) == 2000
        assert memory.held == 0

    def test_a_body_in_small_chunks_is_complete(self):
        reader = FullReplyReader()
        reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(100_000):
            reader.feed(b"1\r\na\r\n")
        reader.feed(b"0\r\n\r\n")
        assert len(reader.build_reply().body) == 100_000


class TestTaskRestart(TestCase):
    """Tasks of the daemon that an unexpected error ends."""

    @pytest.mark.proof(
        promise="cut off",
        failure="an unexpected error ends a task of the daemon",
    )
    def test_a_task_is_started_again(self):
        daemon = mock.Mock()
        runs = []

        def run_reader():
            runs.append(len(runs))
            if len(runs) < 3:
                raise ValueError("unexpected")

        with mock.patch("eventlet.sleep"):
            EntryDaemon._run_task(daemon, run_reader)
        assert len(runs) == 3
        assert daemon.log.warn.call_count == 2


class EchoHandler(RequestHandler):
    """Answers with the request's path after a pause that the test sets."""

    def __init__(self):
        self.clock = ManualClock()
        self.pause = 0.0
        self.memory = EntryMemory(100_000_000, self.clock, lambda: 0)
        self.turns = ParsingTurns()
        self.finished = []
        self.stopping = False
        self.open_connections = 1

    @property
    def limits(self) -> CallerLimits:
        """Return the default limits."""
        return CallerLimits()

    def should_close_connections(self) -> bool:
        """Return the value that the test has set."""
        return self.stopping

    def answer(self, message: HttpRequest, caller_rtt: float) -> HttpReply:
        """Answer after the pause."""
        try:
            eventlet.sleep(self.pause)
            return HttpReply(200, (), message.url)
        finally:
            self.finished.append(message.url)

    def answer_error(self, error: CassiastairError) -> HttpReply:
        """Answer with the status and code of the error."""
        return HttpReply(error.status, (), error.code.encode())

    def remove_connection(self, connection: object) -> None:
        """Count the connection as closed."""
        self.open_connections -= 1


class TestCallerConnection(TestCase):
    """Serving, time-outs and closing of a caller's connection."""

    def setUp(self):
        super().setUp()
        self.handler = EchoHandler()
        sock, self.caller = socket.socketpair()
        self.caller.settimeout(5.0)
        self.fd = sock.fileno()
        self.connection = CallerConnection(sock, self.handler)
        self.connection.open()
        self.task = eventlet.spawn(self.connection.run)
        self.addCleanup(self.caller.close)

    def receive(self) -> bytes:
        """Return the bytes received so far."""
        return self.caller.recv(65_536)

    def wait_until_closed(self) -> None:
        """Wait until the connection's tasks have ended."""
        with eventlet.Timeout(5.0):
            self.task.wait()

    def test_requests_sent_together_are_answered_in_order(self):
        self.caller.sendall(GET + GET.replace(b"/a", b"/b"))
        received = b""
        while b"/b" not in received:
            received += self.receive()
        assert received.index(b"/a") < received.index(b"/b")

    def test_serving_is_cancelled_when_the_caller_disconnects(self):
        self.handler.pause = 60.0
        self.caller.sendall(GET)
        eventlet.sleep(0.01)
        self.caller.close()
        self.wait_until_closed()
        assert self.handler.finished == [b"/a"]
        assert self.handler.open_connections == 0

    def test_no_hub_listener_is_left_after_closing_a_connection(self):
        self.connection.close_idle()
        self.wait_until_closed()
        assert self.receive() == b""
        readers = hubs.get_hub().get_readers()
        assert self.fd not in {listener.fileno for listener in readers}

    def test_a_request_received_during_closing_is_answered_or_not_served(self):
        """The request arrives before the close, but its reading task runs after it."""
        self.handler.stopping = True
        eventlet.sleep(0.01)  # let the reading task wait for data
        self.caller.sendall(GET)
        self.connection.close_idle()
        self.wait_until_closed()
        answered = self.receive().endswith(b"/a")
        assert self.handler.finished == ([b"/a"] if answered else [])

    def test_an_unexpected_error_ends_the_connection_before_the_next_answer(self):
        self.handler.answer = mock.Mock(side_effect=[ValueError("odd"), "never"])
        self.caller.sendall(GET + GET.replace(b"/a", b"/b"))
        assert self.receive() == b""
        assert self.handler.answer.call_count == 1
        self.wait_until_closed()
        assert self.handler.memory.account.held == 0

    def test_an_error_reply_to_head_has_no_body(self):
        self.handler.answer = lambda *args: HttpReply(404, (), b"no route")
        self.caller.sendall(GET.replace(b"GET", b"HEAD") + GET)
        received = b""
        while not received.endswith(b"no route"):
            received += self.receive()
        head, _, rest = received.partition(b"\r\n\r\n")
        assert rest.startswith(b"HTTP/1.1 404")

    def test_a_sent_answer_is_released_while_the_next_request_waits(self):
        class TrackedReply(HttpReply):
            """Reply that can be referred to weakly."""

        replies = []

        def answer(message, caller_rtt) -> HttpReply:
            if message.url == b"/b":
                eventlet.sleep(60.0)
            reply = TrackedReply(200, (), message.url)
            replies.append(weakref.ref(reply))
            return reply

        self.handler.answer = answer
        self.caller.sendall(GET + GET.replace(b"/a", b"/b"))
        assert self.receive().endswith(b"/a")
        eventlet.sleep(0)
        assert replies[0]() is None

    def test_an_error_that_waits_for_an_answer_keeps_no_received_bytes(self):
        self.handler.pause = 60.0
        errors = []
        self.handler.answer_error = errors.append
        with mock.patch.object(
            self.connection, "_start_serving", wraps=self.connection._start_serving
        ) as start:
            self.caller.sendall(GET + b"\x00\x01\x02")
            eventlet.sleep(0.01)
        error = start.call_args.args[0]
        assert isinstance(error, MalformedRequestError)
        assert error.__traceback__ is error.__cause__ is error.__context__ is None

    def test_a_stopping_vm_answers_and_closes(self):
        self.handler.stopping = True
        self.caller.sendall(GET)
        received = self.receive()
        assert b"Connection: close" in received
        assert received.endswith(b"/a")
        self.wait_until_closed()

    def test_a_request_before_malformed_bytes_is_still_answered(self):
        self.caller.sendall(GET + b"\x00\x01\x02")
        received = b""
        while part := self.receive():
            received += part
        assert received.count(b"HTTP/1.1 ") == 2
        assert b" 200 " in received
        assert b" 400 " in received

    def test_idle_connections_are_closed_after_the_timeout(self):
        self.handler.clock.advance(14.0)
        self.connection.close_if_timed_out(self.handler.clock.now())
        assert not self.connection.closed
        self.handler.clock.advance(1.5)
        self.connection.close_if_timed_out(self.handler.clock.now())
        assert self.connection.closed

    def test_an_incomplete_request_gets_408_after_the_timeout(self):
        self.caller.sendall(b"GET /a HT")
        eventlet.sleep(0.01)
        self.handler.clock.advance(3.5)
        self.connection.close_if_timed_out(self.handler.clock.now())
        assert b" 408 " in self.receive()

    def test_a_timed_out_caller_that_does_not_read_is_closed_without_waiting(self):
        self.caller.sendall(b"GET /a HT")
        eventlet.sleep(0.01)
        raw_socket = self.connection._sock.fd
        with contextlib.suppress(BlockingIOError):
            while True:
                raw_socket.send(bytes(65_536))
        self.handler.clock.advance(3.5)
        with eventlet.Timeout(5.0):
            self.connection.close_if_timed_out(self.handler.clock.now())
        assert self.connection.closed

    def send_head(self, length: int) -> None:
        """Send the head of a request with a body of this length."""
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length
        self.caller.sendall(head)

    def fill_memory(self) -> int:
        """Reserve all that bodies can get and return its size."""
        bodies = self.handler.memory.bodies
        size = bodies.available
        assert bodies.try_reserve(size)
        return size

    def test_a_body_is_not_read_before_there_is_memory_for_it(self):
        size = self.fill_memory()
        self.send_head(100_000)
        eventlet.sleep(0.01)
        self.caller.sendall(bytes(100_000))
        eventlet.sleep(0.01)
        assert self.connection._reader.body_size == 0
        self.handler.memory.bodies.release(size)
        assert self.receive().endswith(b"/a")

    def test_a_body_that_gets_no_memory_in_time_is_refused_unread(self):
        self.fill_memory()
        self.send_head(100_000)
        eventlet.sleep(0.01)
        self.handler.clock.advance(3.5)
        received = self.receive()
        assert b" 503 " in received
        assert received.endswith(b"memory_full")
        assert self.handler.finished == []

    def test_a_caller_that_is_held_back_is_not_blamed_for_its_silence(self):
        size = self.fill_memory()
        self.send_head(100_000)
        eventlet.sleep(0.01)
        self.handler.clock.advance(16.0)
        self.connection.close_if_timed_out(self.handler.clock.now())
        assert not self.connection.closed
        assert self.connection.find_silence(self.handler.clock.now()) == 0.0
        self.handler.memory.bodies.release(size)
        eventlet.sleep(0.01)
        self.handler.clock.advance(4.0)
        assert self.connection.find_silence(self.handler.clock.now()) > 3.0

    def test_a_small_body_is_refused_when_there_is_no_memory(self):
        requests = self.handler.memory.requests
        assert requests.try_reserve(requests.available)
        self.send_head(10)
        self.caller.sendall(bytes(10))
        assert self.receive().endswith(b"memory_full")
        assert self.handler.finished == []

    def test_nothing_is_held_after_a_connection_is_closed(self):
        self.handler.pause = 60.0
        self.caller.sendall(GET)
        self.send_head(100_000)
        self.caller.sendall(bytes(50_000))
        eventlet.sleep(0.01)
        assert self.handler.memory.account.held > 100_000
        self.caller.close()
        self.wait_until_closed()
        assert self.handler.memory.account.held == 0

    def test_a_closed_connection_keeps_no_body_until_a_collection(self):
        self.send_head(200_000)
        self.caller.sendall(bytes(150_000))
        eventlet.sleep(0.01)
        reader = self.connection._reader
        assert reader.body_size > 100_000
        self.caller.close()
        self.wait_until_closed()
        assert reader.body_size == 0

    def test_a_refused_caller_that_sends_without_end_is_left(self):
        received = iter([b"x"] * 100_000)
        sock = mock.Mock(recv=lambda size: next(received))
        with (
            mock.patch.object(self.connection, "_sock", sock),
            mock.patch.object(caller_connection, "LINGER_S", 0.0),
        ):
            self.connection._discard_rest()
        assert len(list(received)) > 0

    def test_an_unread_answer_without_memory_ends_only_its_connection(self):
        answers = self.handler.memory.answers
        assert answers.try_reserve(answers.available)
        self.handler.answer = lambda message, rtt: HttpReply(200, (), bytes(10**7))
        self.caller.sendall(GET)
        self.wait_until_closed()
        assert answers.refused_count == 1
        assert self.handler.memory.take_shortage() >= 10**7

    def test_an_answer_counts_as_a_whole_until_its_end(self):
        answers = self.handler.memory.answers
        self.handler.answer = lambda message, rtt: HttpReply(200, (), bytes(10**6))
        self.caller.sendall(GET)
        eventlet.sleep(0.01)
        assert self.receive()
        eventlet.sleep(0.01)
        assert answers.held >= 10**6
        assert self.connection.close_for_memory() >= 10**6

    def test_an_answer_that_is_read_slowly_counts_as_silent(self):
        self.handler.answer = lambda message, rtt: HttpReply(200, (), bytes(10**6))
        self.caller.sendall(GET)
        eventlet.sleep(0.01)
        for _ in range(5):
            self.handler.clock.advance(1.0)
            assert self.receive()
            eventlet.sleep(0.01)
        assert self.connection.find_silence(self.handler.clock.now()) >= 5.0


class TestTimeoutCheck(TestCase):
    """Task that closes the connections that time out."""

    def test_an_error_of_one_connection_leaves_the_others_to_time_out(self):
        server = EchoServer()
        faulty = mock.Mock(find_silence=lambda now: 0.0)
        faulty.close_if_timed_out.side_effect = RuntimeError("fault")
        sound = mock.Mock(find_silence=lambda now: 0.0)
        server._connections.update((faulty, sound))
        task = eventlet.spawn(server.close_timed_out)
        self.addCleanup(task.kill)
        with eventlet.Timeout(5.0):
            while faulty.close_if_timed_out.call_count < 2:
                eventlet.sleep(0.05)
        assert sound.close_if_timed_out.call_count >= 1

    def test_the_longest_silent_callers_are_closed_first_for_others_that_wait(self):
        server = EchoServer()
        connections = [
            mock.Mock(find_silence=lambda now, s=s: s) for s in (2.0, 4.0, 9.0, 6.0)
        ]
        for connection in connections:
            connection.close_for_memory.return_value = 60_000
        server._connections.update(connections)
        server.memory.bodies.refuse(100_000)
        server._free_memory(10.0)
        closed = [c.close_for_memory.called for c in connections]
        assert closed == [False, False, True, True]
        server._free_memory(10.0)
        assert not connections[1].close_for_memory.called


class EchoServer(CallerServer):
    """Answers each request with its path, without a forwarder."""

    def __init__(self, max_connections: int = 1000):
        table = mock.Mock(limits=CallerLimits())
        others = [mock.Mock() for _ in range(5)]
        clock = ManualClock()
        memory = EntryMemory(100_000_000, clock, lambda: 0)
        super().__init__(
            others[0], table, *others[1:], lambda: False, clock, memory, max_connections
        )

    def answer(self, message: HttpRequest, caller_rtt: float) -> HttpReply:
        """Return the path."""
        return HttpReply(200, (), message.url)

    def answer_error(self, error: CassiastairError) -> HttpReply:
        """Return the status of the error."""
        return HttpReply(error.status, (), b"")


class TestListen(TestCase):
    """Listeners of the daemon."""

    def test_a_port_is_not_shared(self):
        listener = listen("127.0.0.1", 0)
        self.addCleanup(listener.close)
        self.assertRaises(OSError, listen, *listener.getsockname())

    def test_the_kernel_takes_little_of_an_answer_that_is_not_read(self):
        server = EchoServer()
        server.answer = lambda message, rtt: HttpReply(200, (), bytes(10**6))
        listener = listen("127.0.0.1", 0)
        task = eventlet.spawn(server.run, listener)
        self.addCleanup(task.kill)
        eventlet.sleep(0)  # the server sets up its listener
        caller = eventlet.connect(listener.getsockname())
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.sendall(GET)
        eventlet.sleep(0.05)
        assert server.memory.answers.held >= 10**6


class TestConnectionBound(TestCase):
    """More callers than a VM has descriptors for."""

    def setUp(self):
        super().setUp()
        self.server = EchoServer(max_connections=3)
        self.listener = eventlet.listen(("127.0.0.1", 0))
        task = eventlet.spawn(self.server.run, self.listener)
        self.addCleanup(task.kill)

    def connect(self, data: bytes):
        """Return a new connection that has sent some bytes."""
        caller = eventlet.connect(self.listener.getsockname())
        caller.settimeout(5.0)
        self.addCleanup(caller.close)
        caller.sendall(data)
        return caller

    def fill(self, data: bytes) -> list:
        """Return as many connections as the bound allows."""
        callers = [self.connect(data) for _ in range(3)]
        with eventlet.Timeout(5.0):
            while self.server.open_count < len(callers):
                eventlet.sleep(0.01)
        eventlet.sleep(0.01)  # the first bytes are read
        return callers

    def test_an_idle_connection_makes_room(self):
        callers = [*self.fill(b""), self.connect(GET)]
        assert b"200" in callers[-1].recv(1000)
        assert self.server.refused_connections == 0
        assert self.server.open_count < 3

    def test_a_connection_above_the_bound_is_closed_when_none_is_idle(self):
        callers = self.fill(GET[:10])
        try:
            assert self.connect(b"").recv(1000) == b""
        except ConnectionResetError:
            pass
        assert self.server.open_count == len(callers)
        assert self.server.refused_connections == 1

    def test_a_silent_connection_makes_room(self):
        self.fill(GET[:10])
        self.server.clock.advance(self.server.limits.header_timeout + 1.0)
        assert b"200" in self.connect(GET).recv(1000)
        assert self.server.refused_connections == 0

    def test_refused_callers_count_until_their_sockets_are_closed(self):
        with mock.patch.object(
            self.server.memory.connections, "try_reserve", return_value=False
        ):
            callers = [self.connect(GET) for _ in range(6)]
            eventlet.sleep(0.05)
            assert self.server.refused_connections == 3
        for caller in callers:
            caller.close()
        eventlet.sleep(0.05)
        self.server.clock.advance(1.0)
        assert b"200" in self.connect(GET).recv(1000)

    def test_few_refused_callers_get_time_while_memory_is_full(self):
        self.server = EchoServer(max_connections=1000)
        self.listener = listen("127.0.0.1", 0)
        connections = self.server.memory.connections
        assert connections.try_reserve(connections.available)
        # All wait to be accepted at once.
        callers = [self.connect(b"") for _ in range(MAX_REFUSED_OPEN + 30)]
        task = eventlet.spawn(self.server.run, self.listener)
        self.addCleanup(task.kill)
        eventlet.sleep(0.05)
        assert self.server.refused_connections == 30
        assert all(caller.fileno() >= 0 for caller in callers)


class TestUnexpectedErrors(TestCase):
    """Errors of the parts that answer a request."""

    def test_an_error_while_a_request_is_decoded_is_answered(self):
        server = EchoServer()
        codec = mock.Mock()
        codec.decode_request.side_effect = ValueError("odd")
        codec.encode_error.side_effect = lambda error: HttpReply(error.status, (), b"")
        server._codec = codec
        server._drain = Drain()
        server._decisions = mock.Mock()
        request = HttpRequest(b"GET", b"/a", (), b"")
        reply = CallerServer.answer(server, request, 0.0)
        assert reply.status == 500
        assert server._decisions.warn.call_args.args[0] == "internal failure"


class TestStopListening(TestCase):
    """Connections that are new when a VM stops listening."""

    def setUp(self):
        super().setUp()
        self.server = EchoServer()
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.server._listener = self.listener  # the accepting task has not run yet
        self.caller = eventlet.connect(self.listener.getsockname())
        self.caller.settimeout(5.0)
        self.addCleanup(self.caller.close)

    def stop(self) -> None:
        """Stop listening and close idle connections as the daemon does."""
        self.server.stop_listening()
        self.server.close_idle_connections()

    @pytest.mark.proof(
        promise="planned stop",
        failure="the kernel has accepted a connection, the VM has not",
    )
    def test_a_request_on_a_connection_in_the_backlog_is_answered(self):
        self.caller.sendall(GET)
        self.stop()
        assert self.caller.recv(65_536).endswith(b"/a")

    def test_a_connection_in_the_backlog_sends_without_delay(self):
        self.stop()
        (connection,) = self.server._connections
        option = connection._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert option

    def test_a_new_connection_gets_time_for_its_first_request(self):
        self.stop()
        eventlet.sleep(0.01)
        self.caller.sendall(GET)
        assert self.caller.recv(65_536).endswith(b"/a")

    def test_a_connection_without_a_request_is_closed_in_the_end(self):
        self.stop()
        eventlet.sleep(0.01)
        self.server.clock.advance(0.6)
        self.server.close_idle_connections()
        assert self.caller.recv(65_536) == b""
        eventlet.sleep(0.01)
        assert self.server.open_count == 0


class TestEventLog(TestCase):
    """Sampling, rate limit and non-blocking writes of the log."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.read_end, write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, write_end)
        stream = mock.Mock()
        stream.fileno.return_value = write_end
        with mock.patch("sys.stdout", stream):
            self.log = EventLog("vm1", self.clock)

    def read(self) -> list[dict]:
        """Return the lines written since the last call."""
        os.set_blocking(self.read_end, False)
        try:
            data = os.read(self.read_end, 1_000_000)
        except BlockingIOError:
            return []
        return [orjson.loads(line) for line in data.splitlines()]

    def test_a_line_has_the_fields(self):
        self.log.warn("not served", "r1", code="no_target", version=7)
        (line,) = self.read()
        assert line["event"] == "not served"
        assert (line["request"], line["vm"], line["version"]) == ("r1", "vm1", 7)

    def test_all_lines_of_a_sampled_request_are_written(self):
        for number in range(200):
            for _ in range(2):
                self.log.record_sampled("answered", f"r{number}")
        sampled = [line["request"] for line in self.read()]
        assert 0 < len(set(sampled)) < 40
        assert all(sampled.count(request) == 2 for request in sampled)

    def test_lines_above_the_rate_limit_are_dropped_and_counted(self):
        for number in range(MAX_BURST_LINES + 50):
            self.log.warn("not served", f"r{number}")
            if number % 50 == 0:
                self.read()
        self.read()
        assert self.log.dropped == 50
        self.clock.advance(1.0)
        self.log.warn("not served", "last")
        assert self.read()[-1]["dropped"] == 50

    def test_a_full_pipe_drops_lines_without_blocking(self):
        for _ in range(40):
            for _ in range(100):
                self.log.warn("not served", "r", reason="x" * 200)
            self.clock.advance(1.0)
        assert self.log.dropped > 0

    def test_values_that_json_lacks_are_logged_as_text(self):
        self.log.warn("task ended", "r\udc80", reason="odd \udc80", number=2**70)
        self.log.warn_last("process ended", cause="odd \udc80")
        ended, last = self.read()
        assert (ended["event"], last["event"]) == ("task ended", "process ended")
        assert str(2**70) in ended["number"]
        assert "odd" in last["cause"]

    def test_the_last_line_is_written_above_the_rate_limit(self):
        for number in range(MAX_BURST_LINES + 50):
            self.log.warn("not served", f"r{number}")
            if number % 50 == 0:
                self.read()
        self.read()
        self.log.warn_last("process ended", status=3, cause="no port")
        (line,) = self.read()
        assert (line["event"], line["status"]) == ("process ended", 3)

    def test_the_last_line_is_given_up_when_nobody_reads(self):
        for _ in range(400):
            self.log.warn("not served", "r", reason="x" * 200)
            self.clock.advance(1.0)
        self.log.warn_last("process ended", status=0, cause="stop requested")
        os.dup2(self.log._fd, self.read_end)  # closes the only reading end
        self.log.warn_last("process ended", status=0, cause="stop requested")


class TestErrors(TestCase):
    """Outcomes that errors report to callers."""

    def test_refusals_say_that_nothing_ran(self):
        assert NoTargetError("none", 0.5).outcome == "not_run"


class TestReaderReuse(TestCase):
    """One reader for all replies on a connection."""

    def read(self, reader: FullReplyReader, data: bytes) -> HttpReply:
        """Feed a reply in two pieces and return it."""
        reader.feed(data[:20])
        reader.feed(data[20:])
        assert reader.done
        return reader.build_reply()

    def test_next_reply_has_nothing_of_the_one_before(self):
        reader = FullReplyReader()
        first = b"HTTP/1.1 503 Full\r\nLimit: 2\r\nContent-Length: 3\r\n\r\nabc"
        assert self.read(reader, first).status == 503
        reader.reset()
        assert not reader.done
        second = b"HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 2\r\n\r\nde"
        reply = self.read(reader, second)
        assert (reply.status, reply.body) == (200, b"de")
        assert [name for name, _ in reply.headers] == [b"Seal", b"Content-Length"]
        assert reader.keep_alive

    def test_second_reply_at_once_still_ends_the_connection_after_a_reset(self):
        reader = FullReplyReader()
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
        self.read(reader, reply)
        reader.reset()
        assert self.read(reader, reply + reply).body == b"ab"
        assert not reader.keep_alive


class TestMetricsPage(TestCase):
    """Values on the metrics page."""

    def test_truth_values_are_written_as_numbers(self):
        page = MetricsPage(RequestStats())
        page.add_gauge("reading", "Whether it reads.", lambda: True)
        assert b"cassiastair_reading 1\n" in page.render()
