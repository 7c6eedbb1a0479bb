"""Tests of how much callers' connections read before other tasks run."""

from unittest import mock

import eventlet
import pytest
from eventlet import hubs
from eventlet.green import socket
from testtools import TestCase

from .caller_connection import CallerConnection
from .entry_test import EchoHandler
from .http_message import HttpReply
from .request_reader import RequestReader

CONNECTION_COUNT = 100
BODY_BYTES = 60_000
REQUEST_COUNT = 50  # on one connection
LARGEST_BODY_BYTES = 262_144
CHUNKED = b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
GUARD_S = 60.0  # a test that hangs ends then


class TestReadingTurns(TestCase):
    """Bytes that connections parse between two turns of another task."""

    def setUp(self):
        super().setUp()
        self.handler = EchoHandler()
        self.parsed = 0
        self.callers = []
        feed = RequestReader.feed

        def count_and_feed(reader, data: bytes) -> None:
            self.parsed += len(data)
            feed(reader, data)

        patch = mock.patch.object(RequestReader, "feed", count_and_feed)
        patch.start()
        self.addCleanup(patch.stop)

    def connect(self):
        """Return the caller's end of a connection that is served."""
        sock, caller = socket.socketpair()
        self.callers.append(caller)
        self.addCleanup(caller.close)
        connection = CallerConnection(sock, self.handler)
        connection.open()
        task = eventlet.spawn(connection.run)
        self.addCleanup(task.kill)
        return caller

    def measure_largest_turn(self, total: int) -> int:
        """Return the most bytes that are parsed in one turn, until a total is."""
        largest = 0
        with eventlet.Timeout(GUARD_S):
            while self.parsed < total:
                before = self.parsed
                eventlet.sleep(0)
                largest = max(largest, self.parsed - before)
        return largest

    def send_all(self, wire: bytes) -> None:
        """Send bytes on a new connection, in a task of its own."""
        sender = eventlet.spawn(self.connect().sendall, wire)
        self.addCleanup(sender.kill)

    def test_bodies_in_chunks_of_one_byte_leave_turns_to_other_tasks(self):
        wire = CHUNKED + b"1\r\na\r\n" * BODY_BYTES
        for _ in range(CONNECTION_COUNT):
            self.send_all(wire)
        largest = self.measure_largest_turn(CONNECTION_COUNT * len(wire))
        assert largest <= LARGEST_BODY_BYTES, largest

    @pytest.mark.proof(
        promise='"not run" is true',
        failure="a caller's body times out while it waits to be parsed",
    )
    def test_a_request_that_timed_out_while_it_waited_for_its_turn_does_not_run(self):
        sock, caller = socket.socketpair()
        self.addCleanup(caller.close)
        connection = CallerConnection(sock, self.handler)
        connection.open()
        task = eventlet.spawn(connection.run)
        self.addCleanup(task.kill)
        caller.sendall(CHUNKED + b"1\r\na\r\n" * 1000)
        eventlet.sleep(0.01)
        with mock.patch.object(self.handler.turns, "wait") as wait:
            wait.side_effect = lambda: connection.close_for_memory()
            caller.sendall(b"0\r\n\r\n")
            eventlet.sleep(0.01)
        assert wait.called
        assert caller.recv(12) == b"HTTP/1.1 408"
        assert self.handler.finished == []

    def test_pipelined_requests_leave_turns_to_other_tasks(self):
        answered = []

        def answer(message, caller_rtt) -> HttpReply:
            answered.append(message.url)
            return HttpReply(404, (), b"")

        self.handler.answer = answer
        request = b"GET /a HTTP/1.1\r\n\r\n"
        for _ in range(CONNECTION_COUNT):
            self.connect().sendall(request * REQUEST_COUNT)
        largest = 0
        with eventlet.Timeout(GUARD_S):
            while len(answered) < CONNECTION_COUNT * REQUEST_COUNT:
                before = len(answered)
                eventlet.sleep(0)
                largest = max(largest, len(answered) - before)
        assert largest <= CONNECTION_COUNT, largest

    def test_connections_that_wait_for_answers_do_not_poll(self):
        self.handler.pause = 3600.0
        timers = hubs.get_hub().get_timers_count()
        for _ in range(CONNECTION_COUNT):
            self.connect().sendall(b"GET /a HTTP/1.1\r\n\r\n" * REQUEST_COUNT)
        for _ in range(50):
            eventlet.sleep(0)
        # Each connection has the pause of its first request, and this test one timer.
        assert hubs.get_hub().get_timers_count() <= timers + CONNECTION_COUNT + 1

    def test_a_body_of_the_largest_size_in_chunks_of_one_byte_is_answered(self):
        caller = self.connect()
        body = b"1\r\na\r\n" * LARGEST_BODY_BYTES + b"0\r\n\r\n"
        with eventlet.Timeout(GUARD_S):
            caller.sendall(CHUNKED + body)
            assert caller.recv(12) == b"HTTP/1.1 200"
