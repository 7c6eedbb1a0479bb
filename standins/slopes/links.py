"""Slopes of real peer links: heartbeats, tickets, the spread of news."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import eventlet
from cassiastair.clock import Clock
from cassiastair.data import Change, Ticket, Vm
from cassiastair.membership import DrainingTargets, Freshness, MemberList, choose_links
from cassiastair.peers import TicketNode
from cassiastair.tickets import StateMap, parse_entry
from cassiastaird.clock import MonotonicClock
from cassiastaird.peers import LinkManager, PeerServer
from cassiastaird.peers.call_forwarder import CallForwarder

from .fit import Slope, fit_line
from .state import make_plain_target

NODE_COUNTS = (8, 24, 60)
BEATS = 20
TICKETS = 20
CENTRES = 4


@dataclass
class MeshNode:
    """One VM's peers' part, over real websockets."""

    node: TicketNode
    server: PeerServer
    keeper: LinkManager

    def links(self) -> list:
        """Return the open links."""
        return list(self.node.links.values())


def make_node(number: int, clock: Clock, degree: int) -> MeshNode:
    """Return a node that listens."""
    server = PeerServer("127.0.0.1", 0)
    centre = f"dc{number % CENTRES}"
    vm = Vm(f"vm-{number:03d}", f"{number:024x}", centre, "127.0.0.1", 1, server.port)
    node = TicketNode(
        vm, StateMap(), MemberList(vm, clock), Freshness(clock), DrainingTargets()
    )
    forwarder = CallForwarder(lambda call: (500, {}))
    keeper = LinkManager(node, forwarder, [], degree, 2, clock)
    server.start(node, forwarder)
    return MeshNode(node, server, keeper)


class Mesh:
    """Some nodes in this process, each linked as the mesh asks for."""

    def __init__(self, count: int, degree: int = 6):
        clock = MonotonicClock()
        self.nodes = [make_node(n, clock, degree) for n in range(count)]
        vms = [mesh_node.node.own for mesh_node in self.nodes]
        self._wanted = {vm.name: choose_links(vm, vms, degree, 2) for vm in vms}
        for mesh_node in self.nodes:
            mesh_node.node.members.add_reported(vms)
        self._dial_all({vm.name: vm for vm in vms})
        self.wait(self._is_linked)

    def _dial_all(self, vms: dict[str, Vm]) -> None:
        """Open each link that one of its ends wants, once."""
        pairs = {frozenset((a, b)) for a, names in self._wanted.items() for b in names}
        for mesh_node in self.nodes:
            own = mesh_node.node.own.name
            for name in sorted(vms):
                if own < name and frozenset((own, name)) in pairs:
                    mesh_node.keeper.dial(vms[name].host, vms[name].peer_port)

    def _is_linked(self) -> bool:
        """Tell whether every node has the links that it wants."""
        return all(
            self._wanted[n.node.own.name] <= set(n.node.links) for n in self.nodes
        )

    def wait(self, condition: Callable[[], bool], limit: float = 60.0) -> None:
        """Let other tasks run until a condition is true."""
        deadline = time.monotonic() + limit
        next_beat = time.monotonic() + 1.0
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError("the mesh did not settle")
            if time.monotonic() > next_beat:
                self.beat()
                next_beat = time.monotonic() + 1.0
            eventlet.sleep(0.001)

    def beat(self) -> None:
        """Send one heartbeat on every link."""
        for mesh_node in self.nodes:
            mesh_node.node.send_heartbeats()

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
        mesh.beat()
        eventlet.sleep(0.05)
    eventlet.sleep(0.2)
    used = time.process_time() - started
    return used / BEATS * 1e6, (mesh.count_bytes() - before) / BEATS


def measure_tickets(mesh: Mesh) -> tuple[float, float, float]:
    """Return processor time in us, bytes and milliseconds of one ticket to all."""
    spreads = []
    sent = 0
    used = 0.0
    for number in range(1, TICKETS + 1):
        ticket = make_ticket(number)
        before = mesh.count_bytes()
        began = time.monotonic()
        started = time.process_time()
        mesh.nodes[0].node.publish(ticket)
        mesh.wait(
            lambda n=number: all(m.node.state.highest_ticket == n for m in mesh.nodes)
        )
        spreads.append((time.monotonic() - began) * 1000)
        eventlet.sleep(0.05)
        used += time.process_time() - started
        sent += mesh.count_bytes() - before
        mesh.beat()  # a link without a message for long is closed
        eventlet.sleep(0.05)
    spreads.sort()
    return used / TICKETS * 1e6, sent / TICKETS, spreads[len(spreads) // 2]


def make_ticket(number: int) -> Ticket:
    """Return a ticket that gives one target its next state."""
    plain = make_plain_target(1)
    plain[3]["port"] = 8000 + number
    entry = parse_entry(plain)
    return Ticket(number, (Change(entry.key, entry.state),))


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
