"""Tests of waiting for ports."""

import errno
import socket

import pytest
from cassiastair.clock import ManualClock
from testtools import TestCase

from .port_waiter import PortWaiter


class TestPortWaiter(TestCase):
    """Ports that are in use, free again or not usable."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.events = []
        self.waiter = PortWaiter(
            self.clock.advance,
            5.0,
            lambda event, **fields: self.events.append((event, fields)),
        )
        self.listeners = []

    def listen(self, host: str, port: int) -> socket.socket:
        """Open a listener."""
        listener = socket.create_server((host, port))
        self.addCleanup(listener.close)
        return listener

    def test_a_port_is_opened_once_it_is_free(self):
        holder = self.listen("127.0.0.1", 0)
        port = holder.getsockname()[1]
        closes_at = self.clock.now() + 2.0

        def listen(host, port):
            if self.clock.now() >= closes_at:
                holder.close()
            return self.listen(host, port)

        listener = self.waiter.open(listen, "127.0.0.1", port)
        assert listener.getsockname()[1] == port
        assert self.events == [
            ("waiting for port", {"host": "127.0.0.1", "port": port})
        ]

    def test_a_port_in_use_until_the_deadline_is_an_error(self):
        holder = self.listen("127.0.0.1", 0)
        port = holder.getsockname()[1]
        with pytest.raises(OSError) as failure:
            self.waiter.open(self.listen, "127.0.0.1", port)
        assert failure.value.errno == errno.EADDRINUSE

    def test_a_suspended_machine_does_not_use_up_the_timeout(self):
        holder = self.listen("127.0.0.1", 0)
        port = holder.getsockname()[1]

        def sleep(seconds):
            self.clock.advance(100.0)  # the machine is suspended for most of it
            if self.clock.now() > 1200.0:
                holder.close()

        waiter = PortWaiter(sleep, 5.0, lambda event, **fields: None)
        listener = waiter.open(self.listen, "127.0.0.1", port)
        assert listener.getsockname()[1] == port

    def test_an_address_of_another_machine_is_an_error_at_once(self):
        started_at = self.clock.now()
        with pytest.raises(OSError):
            self.waiter.open(self.listen, "192.0.2.1", 80)
        assert self.clock.now() == started_at
        assert self.events == []
