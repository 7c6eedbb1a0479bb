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
    """Pools whose target gets no more requests."""

    @pytest.mark.proof(
        promise="leaving targets",
        failure="routes: a request waits for a connection while the target leaves",
    )
    def test_a_request_that_waits_gets_no_connection_to_a_retired_target(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        port = listener.getsockname()[1]
        target = RoutedTarget("t", "s", "127.0.0.1", port, "z", 2, False, 0.0, 0)
        pool = ConnectionPool(target, OneConnection(), ManualClock())
        connection = pool.acquire()
        waiting = eventlet.spawn(pool.acquire)
        eventlet.sleep(0)
        pool.retire()
        pool.release(connection)
        self.assertRaises(OSError, waiting.wait)
        assert pool.size == 0
