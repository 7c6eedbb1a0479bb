"""Slopes of real peer links: heartbeats, tickets, the spread of news."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import eventlet
from cassiastair.clock import Clock
from cassiastair.data import Change, ObjectKey, Target, Ticket, Vm
from cassiastair.membership import Freshness, LeavingTargets, Roster, choose_links
from cassiastair.peers import PeerNode
from cassiastair.tickets import StateMap
from cassiastaird.clock import SystemClock
from cassiastaird.peers import LinkKeeper, PeerServer
from cassiastaird.peers.forwarding import Forwarder

from ..slopes.state import make_plain_target
from .fit import Slope, fit_line

NODE_COUNTS = (8, 24, 60)
BEATS = 20
TICKETS = 20
CENTRES = 4


@dataclass
class MeshNode:
    """One VM's peers' part, over real websockets."""

    node: PeerNode
    server: PeerServer
    keeper: LinkKeeper

    def links(self) -> list:
        """Return the open links."""
        return list(self.node.links.values())


def make_node(number: int, clock: Clock, degree: int) -> MeshNode:
    """Return a node that listens."""
    server = PeerServer("127.0.0.1", 0)
    centre = f"dc{number % CENTRES}"
    vm = Vm(f"vm-{number:03d}", f"{number:024x}", centre, "127.0.0.1", 1, server.port)
    node = PeerNode(
        vm, StateMap(), Roster(vm, clock), Freshness(clock), LeavingTargets()
    )
    forwarder = Forwarder(lambda call: (500, {}))
    keeper = LinkKeeper(node, forwarder, [], degree, 2, clock)
    server.start(node, forwarder)
    return MeshNode(node, server, keeper)


class Mesh:
    """Some nodes in this process, each linked as the mesh asks for."""

    def __init__(self, count: int, degree: int = 6):
        clock = SystemClock()
        self.nodes = [make_node(n, clock, degree) for n in range(count)]
        vms = [mesh_node.node.own for mesh_node in self.nodes]
        for mesh_node in self.nodes:
            mesh_node.node.roster.tell(vms)
            own = mesh_node.node.own
            for name in choose_links(own, vms, degree, 2):
                if name > own.name:
                    peer = next(vm for vm in vms if vm.name == name)
                    mesh_node.keeper.dial(peer.host, peer.peer_port)
        self.wait(self._is_linked)

    def _is_linked(self) -> bool:
        """Tell whether every node has the links that it wants."""
        return all(
            choose_links(n.node.own, n.node.roster.all(), 6, 2) <= set(n.node.links)
            for n in self.nodes
        )

    def wait(self, condition: Callable[[], bool], limit: float = 60.0) -> None:
        """Let other tasks run until a condition is true."""
        deadline = time.monotonic() + limit
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError("the mesh did not settle")
            eventlet.sleep(0.001)

    def count_links(self) -> int:
        """Return the ends of all links."""
        return sum(len(n.node.links) for n in self.nodes)

    def count_bytes(self) -> int:
        """Return the bytes that all nodes have sent."""
        return sum(link.bytes_sent for n in self.nodes for link in n.links())

    def close(self) -> None:
        """Close all links."""
        for mesh_node in self.nodes:
            mesh_node.server.close()
            for link in mesh_node.links():
                link.close()
        eventlet.sleep(0.1)


@dataclass(frozen=True, slots=True)
class MeshCost:
    """What one mesh has shown."""

    links: int
    heartbeat_us: float
    heartbeat_bytes: float
    ticket_us: float
    ticket_bytes: float
    spread_ms: float


def measure_mesh(count: int) -> MeshCost:
    """Measure heartbeats and tickets in a mesh."""
    mesh = Mesh(count)
    links = mesh.count_links()
    beat_us, beat_bytes = measure_beats(mesh)
    ticket_us, ticket_bytes, spread = measure_tickets(mesh)
    mesh.close()
    return MeshCost(
        links=links,
        heartbeat_us=beat_us / links,
        heartbeat_bytes=beat_bytes / links,
        ticket_us=ticket_us / count,
        ticket_bytes=ticket_bytes / count,
        spread_ms=spread,
    )


def measure_beats(mesh: Mesh) -> tuple[float, float]:
    """Return processor time in us and bytes of one heartbeat of all nodes."""
    before = mesh.count_bytes()
    started = time.process_time()
    for _ in range(BEATS):
        for mesh_node in mesh.nodes:
            mesh_node.node.beat()
        eventlet.sleep(0.05)
    eventlet.sleep(0.2)
    used = time.process_time() - started
    return used / BEATS * 1e6, (mesh.count_bytes() - before) / BEATS


def measure_tickets(mesh: Mesh) -> tuple[float, float, float]:
    """Return processor time in us, bytes and milliseconds of one ticket to all."""
    before = mesh.count_bytes()
    spreads = []
    used = 0.0
    for number in range(1, TICKETS + 1):
        ticket = make_ticket(number)
        began = time.monotonic()
        started = time.process_time()
        mesh.nodes[0].node.publish(ticket)
        mesh.wait(lambda n=number: all(m.node.state.highest == n for m in mesh.nodes))
        spreads.append((time.monotonic() - began) * 1000)
        eventlet.sleep(0.05)
        used += time.process_time() - started
    spreads.sort()
    sent = mesh.count_bytes() - before
    return used / TICKETS * 1e6, sent / TICKETS, spreads[len(spreads) // 2]


def make_ticket(number: int) -> Ticket:
    """Return a ticket of one target."""
    plain = make_plain_target(number)[3]
    target = Target(
        name="target-1",
        service=plain["service"],
        data_centre=plain["data_centre"],
        host=plain["host"],
        port=8000 + number,
        ranges=(),
        slots=2,
        connection_limit=25,
    )
    return Ticket(number, (Change(ObjectKey("target", "target-1"), target),))


def measure_all() -> list[Slope]:
    """Measure every slope of the links."""
    costs = [(count, measure_mesh(count)) for count in NODE_COUNTS]

    def fit(name: str, field: str) -> Slope:
        """Fit one field against the number of nodes."""
        return fit_line(name, [(n, getattr(cost, field)) for n, cost in costs])

    return [
        fit("links per mesh, ends by nodes", "links"),
        fit("time of a heartbeat, us per link end by nodes", "heartbeat_us"),
        fit("bytes of a heartbeat, per link end by nodes", "heartbeat_bytes"),
        fit("time of a ticket, us per node by nodes", "ticket_us"),
        fit("bytes of a ticket, sent per node by nodes", "ticket_bytes"),
        fit("time until all have a ticket, ms by nodes, one process", "spread_ms"),
    ]
