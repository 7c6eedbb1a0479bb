"""Tests of the links that a VM keeps."""

from cassiastair.clock import ManualClock
from cassiastair.data import Vm
from cassiastair.membership import MemberList
from testtools import TestCase

from .link_manager import UNWANTED_S, LinkManager


class FakeLink:
    """A link that only notes whether it was closed."""

    def __init__(self, dialled_at: float | None):
        self.dialled_at = dialled_at
        self.closed = False

    def close(self) -> None:
        """Note it."""
        self.closed = True


class FakeNode:
    """A node with links that send nothing."""

    def __init__(self, own: Vm, members: MemberList):
        self.own = own
        self.members = members
        self.links: dict[str, FakeLink] = {}

    def send_heartbeats(self) -> None:
        """Send nothing."""


class TestLinkKeeper(TestCase):
    """Links outside the mesh, such as those to seeds."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        vms = [Vm(f"vm{n:02}", "r1", "dc", "127.0.0.1", 1, 100 + n) for n in range(40)]
        roster = MemberList(vms[0], self.clock)
        roster.add_reported(vms[1:])
        self.node = FakeNode(vms[0], roster)
        self.keeper = LinkManager(self.node, None, [], 4, 2, self.clock)
        self.keeper.dial = lambda host, port: None
        self.mesh = self.keeper._find_wanted()
        self.outside = next(v.name for v in vms[1:] if v.name not in self.mesh)

    def test_a_dialled_link_outside_the_mesh_ends_within_seconds(self):
        """A seed would carry one to each VM of the fleet for as long as they stay."""
        mine = self.node.links[self.outside] = FakeLink(self.clock.now())
        kept = self.node.links[min(self.mesh)] = FakeLink(self.clock.now())
        self.clock.advance(3.0)
        self.keeper.tick()
        assert not mine.closed
        self.clock.advance(UNWANTED_S)
        self.keeper.tick()
        assert mine.closed
        assert not kept.closed
        assert UNWANTED_S <= 15.0

    def test_a_link_that_the_peer_dialled_is_left_to_it(self):
        theirs = self.node.links[self.outside] = FakeLink(None)
        self.clock.advance(2 * UNWANTED_S)
        self.keeper.tick()
        assert not theirs.closed
