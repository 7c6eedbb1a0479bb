"""Tests of peers over an in-memory network that loses, delays, cuts and heals."""

import random
from collections import deque
from unittest import mock

import pytest
from testtools import TestCase

from ..clock import ManualClock
from ..data import Change, Index, ObjectKey, Ticket, Vm
from ..errors import PeerProtocolError
from ..membership import DrainingTargets, Freshness, MemberList, choose_links
from ..membership.draining import DrainMark
from ..tickets import StateMap
from . import messages
from .link import PeerLink
from .messages import Entries, Heartbeat, Hello, Marks
from .node import TicketNode

OBJECTS = tuple(f"o{n}" for n in range(10))
PAIRS = tuple((f"x{n}", f"y{n}") for n in range(8))


def proof(promise: str, failure: str):
    """Mark a test as the proof of a promise under a failure."""
    return pytest.mark.proof(promise=promise, failure=failure)


class FakeLink(PeerLink):
    """One end of a link; messages wait until the network delivers them."""

    def __init__(self, network: "Network", own: "TicketNode", peer: str):
        super().__init__()
        self.network = network
        self.own = own
        self.peer = peer
        self.queue: deque = deque()
        self.closed = False
        self.other: FakeLink | None = None

    def send(self, message) -> None:
        """Queue a message for the other end."""
        if not self.closed:
            self.other.queue.append(message)

    def close(self) -> None:
        """Close both ends; what was queued is lost."""
        for end in (self, self.other):
            end.closed = True
            end.queue.clear()
            end.own.remove_link(end)


class Network:
    """Nodes and links, driven step by step with random order."""

    def __init__(self, names, seed: int, centres: int = 1):
        self.clock = ManualClock()
        self.source = random.Random(seed)
        self.nodes: dict[str, TicketNode] = {}
        self.ends: list[FakeLink] = []
        self.cut: set[frozenset[str]] = set()
        self.torn: list[str] = []
        self.tickets: dict[int, tuple[str, ...]] = {}
        for position, name in enumerate(names):
            self.add(name, f"dc{position % centres}")

    def add(self, name: str, centre: str, run: str = "r1") -> TicketNode:
        """Add a VM, or replace one by a new incarnation."""
        old = self.nodes.get(name)
        for end in [e for e in self.ends if old is not None and e.own is old]:
            end.close()
        vm = Vm(name, run, centre, "127.0.0.1", 1, 2)
        node = TicketNode(
            vm,
            StateMap(),
            MemberList(vm, self.clock),
            Freshness(self.clock),
            DrainingTargets(),
        )
        self.nodes[name] = node
        return node

    def connect(self, first: str, second: str) -> None:
        """Open a link between two VMs, unless they are cut off."""
        if frozenset((first, second)) in self.cut or first == second:
            return
        a = FakeLink(self, self.nodes[first], second)
        b = FakeLink(self, self.nodes[second], first)
        a.other, b.other = b, a
        self.ends += [a, b]
        a.own.send_hello(a)
        b.own.send_hello(b)

    def connect_all(self) -> None:
        """Open the links that the mesh asks for."""
        self.ends = [end for end in self.ends if not end.closed]
        vms = [node.own for node in self.nodes.values()]
        for name, node in self.nodes.items():
            for peer in choose_links(node.own, vms, 6, 2):
                if peer not in node.links:
                    self.connect(name, peer)
                    self.deliver_all()

    def cut_off(self, group: set[str]) -> None:
        """Cut a group of VMs off from the others."""
        for first in group:
            for second in set(self.nodes) - group:
                self.cut.add(frozenset((first, second)))
        for end in list(self.ends):
            if frozenset((end.own.own.name, end.peer)) in self.cut and not end.closed:
                end.close()

    def step(self) -> bool:
        """Deliver one message on a random link; False if there is none."""
        ready = [end for end in self.ends if end.queue and not end.closed]
        if not ready:
            return False
        end = self.source.choice(ready)
        end.own.handle(end, end.queue.popleft())
        self.check_whole(end.own)
        return True

    def deliver_all(self) -> None:
        """Deliver everything."""
        while self.step():
            pass

    def beat(self, count: int = 1) -> None:
        """Let all nodes send heartbeats, and deliver everything."""
        for _ in range(count):
            self.clock.advance(1.0)
            for node in self.nodes.values():
                node.send_heartbeats()
            self.deliver_all()

    def publish(self, name: str, number: int, objects: tuple[str, ...]) -> None:
        """Publish a ticket at one VM."""
        self.tickets[number] = objects
        self.nodes[name].publish(make_ticket(number, objects))

    def check_whole(self, node: TicketNode) -> None:
        """Note a node that has a part of some ticket in force, but not all of it."""
        indexes = node.state.catalogue.indexes
        for index in list(indexes.values()):
            for other in self.tickets.get(index.epoch, ()):
                found = indexes.get(other)
                if found is None or found.epoch < index.epoch:
                    self.torn.append(f"{node.own.name}: {index} without {other}")

    def roots(self) -> set[bytes]:
        """Return the different digests of all nodes."""
        return {node.state.digest.root for node in self.nodes.values()}


def make_ticket(number: int, names: tuple[str, ...]) -> Ticket:
    """Return a ticket whose number is the epoch of every index that it changes."""
    changes = [Change(ObjectKey("index", n), Index(n, number, ("s",))) for n in names]
    return Ticket(number, tuple(changes))


def run_random_session(seed: int) -> Network:
    """Publish at random places while links break, VMs are replaced and cut off."""
    network = Network([f"vm{n}" for n in range(6)], seed, centres=2)
    source = network.source
    network.connect_all()
    for number in range(1, 120):
        action = source.random()
        name = source.choice(list(network.nodes))
        if action < 0.3:
            network.publish(name, number, tuple(source.sample(OBJECTS, 2)))
        elif action < 0.4:
            live = [end for end in network.ends if not end.closed]
            if live:
                source.choice(live).close()
        elif action < 0.45:
            network.add(name, network.nodes[name].own.data_centre, f"r{number}")
        elif action < 0.47:
            network.cut_off({"vm0", "vm2", "vm4"})
        elif action < 0.55:
            network.cut.clear()
        elif action < 0.7:
            first, second = source.sample(list(network.nodes), 2)
            network.connect(first, second)
        else:
            for node in network.nodes.values():
                node.send_heartbeats()
        for _ in range(source.randint(0, 12)):
            network.step()
    network.cut.clear()
    network.deliver_all()
    for _ in range(8):
        network.connect_all()
        network.beat()
    return network


class TestTickets(TestCase):
    """Tickets reach every VM, whole, and never revert."""

    @proof("tickets", "links break, VMs are replaced, data centres are cut and healed")
    def test_all_agree_in_the_end_and_nobody_saw_half_a_ticket(self):
        for seed in range(60):
            network = run_random_session(seed)
            assert network.torn == [], (seed, network.torn[:3])
            assert len(network.roots()) == 1, seed

    def test_protection_off_shows_half_a_ticket(self):
        """Without the check of the exchange a repair may tear a ticket."""
        torn = 0
        with mock.patch.object(TicketNode, "_is_current", lambda *_: True):
            for seed in range(60):
                torn += bool(run_random_session(seed).torn)
        assert torn > 0

    def test_push_needs_no_heartbeat(self):
        network = Network([f"vm{n}" for n in range(30)], 1, centres=3)
        network.connect_all()
        network.nodes["vm7"].publish(make_ticket(1, PAIRS[0]))
        network.deliver_all()
        assert len(network.roots()) == 1

    @proof("tickets", "all VMs of a data centre are replaced, the platform is stale")
    def test_replaced_centre_loads_from_the_other(self):
        network = Network([f"vm{n}" for n in range(6)], 1, centres=2)
        network.connect_all()
        for number in range(1, 6):
            network.nodes["vm0"].publish(make_ticket(number, PAIRS[number]))
        network.deliver_all()
        for name in ("vm0", "vm2", "vm4"):
            network.add(name, "dc0", "r2")
            network.nodes[name].publish(make_ticket(1, PAIRS[1]))  # the old values
        network.connect_all()
        network.beat(4)
        assert len(network.roots()) == 1
        assert network.nodes["vm0"].state.highest_ticket == 5
        assert network.torn == []

    @proof("cut off", "no platform, no other data centre; a new VM joins")
    def test_new_vm_joins_in_a_cut_off_centre(self):
        network = Network([f"vm{n}" for n in range(6)], 1, centres=2)
        network.connect_all()
        network.nodes["vm1"].publish(make_ticket(3, PAIRS[0]))
        network.deliver_all()
        network.cut_off({"vm0", "vm2", "vm4"})
        network.add("vm8", "dc0")
        network.connect("vm8", "vm2")  # an address from its settings
        network.beat(3)
        joined = network.nodes["vm8"]
        assert joined.state.highest_ticket == 3
        assert {vm.name for vm in joined.members.all()} >= {"vm0", "vm2", "vm4"}

    def test_large_state_comes_in_parts_and_in_force_at_once(self):
        network = Network(["vm0", "vm1"], 1)
        names = [f"n{number}" for number in range(1700)]
        changes = [Change(ObjectKey("index", n), Index(n, 1, ("s",))) for n in names]
        network.nodes["vm0"].state.apply(Ticket(1, tuple(changes)))
        network.connect("vm0", "vm1")
        network.beat()
        seen = {0}
        network.nodes["vm0"].send_heartbeats()
        while network.step():
            seen.add(len(network.nodes["vm1"].state.entries))
        network.beat(2)
        assert seen <= {0, 1700}
        assert len(network.nodes["vm1"].state.entries) == 1700

    def test_quiet_heartbeats_carry_no_state(self):
        network = Network([f"vm{n}" for n in range(4)], 1)
        network.connect_all()
        network.nodes["vm0"].publish(make_ticket(1, PAIRS[0]))
        network.beat(3)
        repairs = sum(node.counts.repairs for node in network.nodes.values())
        network.beat(10)
        after = sum(node.counts.repairs for node in network.nodes.values())
        assert after == repairs


class TestNews(TestCase):
    """Freshness, leaving targets and members."""

    def test_freshness_travels_as_an_age(self):
        network = Network([f"vm{n}" for n in range(12)], 1, centres=3)
        network.connect_all()
        network.nodes["vm0"].freshness.record(0.0)
        network.beat(5)
        ages = [node.freshness.age for node in network.nodes.values()]
        assert max(ages) <= 6.0

    @proof("leaving targets", "only a peer saw the target's own word")
    def test_mark_reaches_every_vm(self):
        network = Network([f"vm{n}" for n in range(12)], 1, centres=3)
        network.connect_all()
        mark = DrainMark("t1", "run-1")
        network.nodes["vm5"].draining.add_mark(mark)
        network.nodes["vm5"].broadcast_drain_mark(mark)
        network.deliver_all()
        assert all(node.draining.is_draining("t1") for node in network.nodes.values())

    def test_newest_list_wins_everywhere(self):
        network = Network([f"vm{n}" for n in range(6)], 1)
        network.connect_all()
        network.nodes["vm0"].merge_drain_list(2, ["t2"])
        network.nodes["vm1"].merge_drain_list(1, ["t1"])
        network.beat(2)
        for node in network.nodes.values():
            assert node.draining.listed == {"t2"}


class TestBadPeers(TestCase):
    """What breaks the protocol closes the link."""

    def setUp(self):
        super().setUp()
        self.network = Network(["vm0", "vm1"], 1)
        self.node = self.network.nodes["vm0"]
        self.link = FakeLink(self.network, self.node, "vm1")
        self.link.other = self.link

    def refuses(self, message) -> None:
        """Check that a message is refused."""
        self.assertRaises(PeerProtocolError, self.node.handle, self.link, message)

    def test_hello_first(self):
        self.refuses(Heartbeat(b"", 0.0, 0, 0))

    def test_other_protocol_and_own_name(self):
        self.refuses(Hello(99, self.network.nodes["vm1"].own))
        self.refuses(Hello(messages.PROTOCOL, self.node.own))

    def test_malformed_entries_apply_nothing(self):
        self.link.vm = self.network.nodes["vm1"].own
        good = ["index", "a", 1, {"epoch": 1, "services": ["s"]}]
        self.refuses(Entries([good, ["index", "b", "x", None]], False, True))
        assert self.node.state.entries == {}

    def test_marks_out_of_range(self):
        self.link.vm = self.network.nodes["vm1"].own
        root = self.node.state.digest.root
        self.refuses(Marks(root, root, (999,), b""))
        self.refuses(Marks(root, root, (1,), b"123"))
