"""A source of tickets that comes back from an older copy, read by several VMs."""

import random

import orjson
import pytest
from cassiastair.clock import ManualClock
from cassiastair.data import Vm
from cassiastair.membership import (
    DrainingTargets,
    Freshness,
    MemberList,
    ReaderSchedule,
)
from cassiastair.peers import TicketNode
from cassiastair.ticket_source import PlatformReader
from cassiastair.tickets import StateMap
from testtools import TestCase

from standins.platform_server import PlatformServer

from ..platform_entry_applier import PlatformEntryApplier
from .client import HttpPlatformSource


class ReadingVm:
    """Reader of the source of tickets, and what it has read."""

    def __init__(self, name: str, source: HttpPlatformSource):
        clock = ManualClock()
        self.tickets: list[str] = []
        self.draining = DrainingTargets()
        vm = Vm(name, "r1", "dc", "127.0.0.1", 1, 2)
        members = MemberList(vm, clock)
        self.reader = PlatformReader(
            source,
            ReaderSchedule(name, "dc"),
            members,
            Freshness(clock),
            self.apply,
            clock.advance,
            random.Random(1),
        )
        node = TicketNode(vm, StateMap(), members, Freshness(clock), self.draining)
        self._applier = PlatformEntryApplier(node, members)

    def apply(self, entries) -> None:
        """Record the keys of tickets and apply the list of VMs."""
        self.tickets += [e.key for e in entries if e.key != "vms"]
        self._applier.apply(tuple(e for e in entries if e.key == "vms"))

    def read(self) -> None:
        """Read until there is nothing more."""
        for _ in range(4):
            self.reader.read_page(0.0)


class TestRestoredSource(TestCase):
    """Tickets and drains that are written once the source is back."""

    def setUp(self):
        super().setUp()
        self.server = PlatformServer()
        self.server.start()
        self.addCleanup(self.server.stop)
        self.source = HttpPlatformSource(f"http://127.0.0.1:{self.server.port}")
        self.vm = ReadingVm("vm0", self.source)
        self.server.publish("tickets/1", "{}")
        self.publish_list(1, [])
        self.copy = self.server.take_copy()
        for number in range(2, 8):
            self.server.publish(f"tickets/{number}", "{}")
        self.vm.read()

    def publish_list(self, revision: int, leaving: list[str]) -> None:
        """Publish the list of VMs and draining targets."""
        document = {"revision": revision, "vms": [], "leaving_targets": leaving}
        self.server.publish("vms", orjson.dumps(document).decode())

    def test_ticket_below_the_known_revision_is_read(self):
        self.server.restore(self.copy)
        self.server.publish("tickets/10", "{}")
        self.vm.read()
        assert "tickets/10" in self.vm.tickets

    @pytest.mark.proof(
        promise="tickets",
        failure="own interface: the source comes back from an older copy",
    )
    def test_ticket_below_the_known_revision_is_read_once_it_has_passed(self):
        self.server.restore(self.copy)
        for number in range(10, 20):
            self.server.publish(f"tickets/{number}", "{}")
        self.vm.read()
        assert {f"tickets/{n}" for n in range(10, 20)} <= set(self.vm.tickets)

    def test_peer_that_has_not_heard_of_the_return_does_not_skip_tickets(self):
        known = self.vm.reader.revision
        self.server.restore(self.copy)
        self.vm.read()
        self.vm.reader.advance_to(known)
        for number in range(10, 20):
            self.server.publish(f"tickets/{number}", "{}")
        self.vm.read()
        assert {f"tickets/{n}" for n in range(10, 20)} <= set(self.vm.tickets)

    def test_list_of_draining_targets_below_the_known_one_is_taken(self):
        self.publish_list(9, ["a"])
        self.vm.read()
        self.server.restore(self.copy)
        self.vm.read()
        self.publish_list(2, ["b"])
        self.vm.read()
        assert self.vm.draining.listed == {"b"}

    def test_older_list_of_the_copy_takes_back_no_drain(self):
        self.publish_list(9, ["a"])
        self.vm.read()
        self.server.restore(self.copy)
        self.vm.read()
        assert self.vm.draining.is_draining("a")

    def test_several_returns_in_a_row(self):
        for number in range(10, 13):
            self.server.restore(self.copy)
            self.server.publish(f"tickets/{number}", "{}")
            self.vm.read()
            assert f"tickets/{number}" in self.vm.tickets
