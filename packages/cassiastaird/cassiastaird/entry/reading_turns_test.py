"""Tests of how much callers' connections read before other tasks run."""

from unittest import mock

import eventlet
from eventlet.green import socket
from testtools import TestCase

from .caller_connection import CallerConnection
from .entry_test import EchoHandler
from .request_reader import RequestReader

CONNECTION_COUNT = 100
BODY_BYTES = 60_000
LARGEST_BODY_BYTES = 262_144
CHUNKED = b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
GUARD_S = 120.0  # a test that hangs ends then


class TestReadingTurns(TestCase):
    """Bytes that connections parse between two turns of another task."""

    def setUp(self):
        super().setUp()
        self.handler = EchoHandler()
        self.parsed = 0
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
        self.addCleanup(caller.close)
        connection = CallerConnection(sock, self.handler)
        task = eventlet.spawn(connection.run)
        self.addCleanup(task.kill)
        return caller

    def test_bodies_in_chunks_of_one_byte_leave_turns_to_other_tasks(self):
        wire = CHUNKED + b"1\r\na\r\n" * BODY_BYTES
        for _ in range(CONNECTION_COUNT):
            sender = eventlet.spawn(self.connect().sendall, wire)
            self.addCleanup(sender.kill)
        largest = 0
        with eventlet.Timeout(GUARD_S):
            while self.parsed < CONNECTION_COUNT * len(wire):
                before = self.parsed
                eventlet.sleep(0)
                largest = max(largest, self.parsed - before)
        assert largest <= LARGEST_BODY_BYTES, largest

    def test_a_body_of_the_largest_size_in_chunks_of_one_byte_is_answered(self):
        caller = self.connect()
        body = b"1\r\na\r\n" * LARGEST_BODY_BYTES + b"0\r\n\r\n"
        with eventlet.Timeout(GUARD_S):
            caller.sendall(CHUNKED + body)
            assert caller.recv(12) == b"HTTP/1.1 200"
