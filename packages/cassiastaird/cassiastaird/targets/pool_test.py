"""Tests of the connection pool over loopback sockets."""

import eventlet
import pytest
from cassiastair.clock import ManualClock
from cassiastair.forwarding import RoutedTarget
from cassiastair.targets.limit import ConcurrencyLimit
from testtools import TestCase

from .pool import ConnectionPool


class OneConnection(ConcurrencyLimit):
    """Limit of one connection."""

    current = 1

    def record_success(self, in_flight: int, latency_ratio: float) -> None:
        """Do nothing."""

    def record_shed(self) -> None:
        """Do nothing."""


class TestConnectionPool(TestCase):
    """Idle connections with unrequested bytes, and retired targets."""

    def make_pool(self) -> ConnectionPool:
        """Return a pool of one connection to a listener of the test."""
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        target = RoutedTarget("t", "s", "127.0.0.1", port, "z", 2, False, 0.0, 0)
        return ConnectionPool(target, OneConnection(), ManualClock())

    @pytest.mark.proof(
        promise="own answer",
        failure="bytes without end come on an idle connection",
    )
    def test_an_idle_connection_is_closed_when_bytes_arrive(self):
        # The bytes stayed in the socket's buffer until the connection was needed.
        pool = self.make_pool()
        pool.release(pool.acquire())
        sock, _ = self.listener.accept()
        sock.settimeout(5.0)
        sock.sendall(b"HTTP/1.1 200 OK\r\n")
        try:
            received = sock.recv(1)
        except ConnectionResetError:
            received = b""
        assert received == b""
        assert pool.acquire().is_dropped(False) is False
        assert pool.opened_count == 2

    @pytest.mark.proof(
        promise="leaving targets",
        failure="routes: a request waits for a connection while the target leaves",
    )
    def test_a_request_that_waits_gets_no_connection_to_a_retired_target(self):
        pool = self.make_pool()
        connection = pool.acquire()
        waiting = eventlet.spawn(pool.acquire)
        eventlet.sleep(0)
        pool.retire()
        pool.release(connection)
        self.assertRaises(OSError, waiting.wait)
        assert pool.size == 0

    def test_a_connection_in_use_is_closed_when_it_returns_to_a_retired_pool(self):
        pool = self.make_pool()
        connection = pool.acquire()
        pool.retire()
        pool.release(connection)
        assert pool.size == 0
        assert not pool.takes_requests
