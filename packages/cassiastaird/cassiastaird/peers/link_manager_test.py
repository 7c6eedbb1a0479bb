"""Tests of which links a VM closes."""

from cassiastair.clock import ManualClock
from cassiastair.data import Vm
from cassiastair.membership import MemberList
from testtools import TestCase

from .link_manager import UNWANTED_LINK_MAX_AGE_S, LinkManager


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
