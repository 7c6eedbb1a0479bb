"""Tests of which links a VM closes."""

import base64
import hashlib
import re

import eventlet
from cassiastair.clock import ManualClock
from cassiastair.data import Vm
from cassiastair.membership import MemberList
from testtools import TestCase

from .call_forwarder import CallForwarder
from .link_manager import UNWANTED_LINK_MAX_AGE_S, LinkManager

WEBSOCKET_GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"  # of RFC 6455


class FakeLink:
    """A link that only records whether it was closed."""

    def __init__(self, dialled_at: float | None):
        self.dialled_at = dialled_at
        self.closed = False

    def close(self) -> None:
        """Record the close."""
        self.closed = True


class FakeNode:
    """A node that sends no heartbeats."""

    def __init__(self, own: Vm, members: MemberList):
        self.own = own
        self.members = members
        self.links: dict[str, FakeLink] = {}
        self.events: list[str] = []
        self.greeted = 0

    def send_hello(self, link) -> None:
        """Count an opened link and close it."""
        self.greeted += 1
        link.close()

    def remove_link(self, link) -> None:
        """Do nothing."""

    def log_event(self, event: str, **inputs) -> None:
        """Record the name of an event."""
        self.events.append(event)

    def send_heartbeats(self) -> None:
        """Do nothing."""


class TestLinkManager(TestCase):
    """Links outside the mesh, such as those to seeds."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        vms = [Vm(f"vm{n:02}", "r1", "dc", "127.0.0.1", 1, 100 + n) for n in range(40)]
        members = MemberList(vms[0], self.clock)
        members.add_reported(vms[1:])
        self.node = FakeNode(vms[0], members)
        self.manager = LinkManager(self.node, None, [], 4, 2, self.clock)
        self.manager.dial = lambda host, port: None
        self.wanted = self.manager._get_wanted_links()
        self.outside = next(v.name for v in vms[1:] if v.name not in self.wanted)

    def test_a_dialled_link_outside_the_mesh_is_closed_after_its_maximum_age(self):
        """Otherwise a seed would keep a link to each VM that has dialled it."""
        unwanted = self.node.links[self.outside] = FakeLink(self.clock.now())
        wanted = self.node.links[min(self.wanted)] = FakeLink(self.clock.now())
        self.clock.advance(3.0)
        self.manager.tick()
        assert not unwanted.closed
        self.clock.advance(UNWANTED_LINK_MAX_AGE_S)
        self.manager.tick()
        assert unwanted.closed
        assert not wanted.closed
        assert UNWANTED_LINK_MAX_AGE_S <= 15.0

    def test_a_link_that_the_peer_dialled_is_not_closed(self):
        accepted = self.node.links[self.outside] = FakeLink(None)
        self.clock.advance(2 * UNWANTED_LINK_MAX_AGE_S)
        self.manager.tick()
        assert not accepted.closed


class TestBrokenHandshakes(TestCase):
    """Replies of a peer to the handshake that are no HTTP/1.1 replies."""

    REPLY = (
        b"HTTP/1.1 101 Switching Protocols\r\nServer: x\r\nUpgrade: websocket\r\n"
        b"Connection: Upgrade\r\nSec-WebSocket-Accept: %b\r\n\r\n"
    )
    CHANGES = (
        *((b"101", status) for status in (b"000", b"001", b"600", b"999", b"200")),
        (b"HTTP/1.1", b"RTSP/1.0"),
        (b"HTTP/1.1", b"HTTP/2.0"),
        (b"HTTP/1.1", b"\r\nHTTP/1.1"),
        (b"Protocols", b"Proto\0cols"),
        (b"Server", b"Ser ver"),
        (b"Server", b"Ser\0ver"),
        (b"Server", b"Ser\x01ver"),
        (b"Server", b"Ser\x7fver"),
        (b"Server", b" Server"),
        (b"Server: x", b"Server: \0x"),
        (b"Server: x", b"Server: x\r\n y"),
        (b"Upgrade:", b"Upgrade :"),
        (b"Sec-WebSocket-Accept:", b"Sec-WebSocket-Accept :"),
    )

    def setUp(self):
        super().setUp()
        clock = ManualClock(100.0)
        own = Vm("vm00", "r1", "dc", "127.0.0.1", 1, 100)
        self.node = FakeNode(own, MemberList(own, clock))
        forwarder = CallForwarder(None)
        self.manager = LinkManager(self.node, forwarder, [], 4, 2, clock)
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)

    def serve(self, old: bytes, new: bytes) -> None:
        """Reply to one handshake, with some bytes of the reply replaced."""
        sock, _ = self.listener.accept()
        request = b""
        while b"\r\n\r\n" not in request:
            request += sock.recv(4096)
        key = re.search(rb"(?i)sec-websocket-key: *(\S+)", request)[1]
        accept = base64.b64encode(hashlib.sha1(key + WEBSOCKET_GUID).digest())
        sock.sendall((self.REPLY % accept).replace(old, new, 1))
        sock.close()

    def dial(self, old: bytes = b"", new: bytes = b"") -> int:
        """Dial a peer whose reply is changed; return how many links have opened."""
        self.node.greeted = 0
        server = eventlet.spawn(self.serve, old, new)
        self.manager._run_link(*self.listener.getsockname())
        server.wait()
        return self.node.greeted

    def test_a_link_is_opened_only_after_a_valid_reply(self):
        assert self.dial() == 1
        for change in self.CHANGES:
            self.node.events.clear()
            assert self.dial(*change) == 0, change
            assert self.node.events == ["dial failed"], (change, self.node.events)
        assert self.dial() == 1
