"""Slopes of real peer links: cost of heartbeats and tickets, time of dissemination.

All nodes of a mesh run in this process and are linked by real websockets.
"""

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
from .state import make_target_fields

NODE_COUNTS = (8, 24, 60)
HEARTBEATS = 20
TICKET_COUNT = 20
DATA_CENTRE_COUNT = 4


@dataclass
class LinkedNode:
    """The node of one VM with its peer server and its link manager."""

    node: TicketNode
    server: PeerServer
    link_manager: LinkManager

    def links(self) -> list:
        """Return the open links."""
        return list(self.node.links.values())


def make_node(number: int, clock: Clock, degree: int) -> LinkedNode:
    """Return a node with its own peer server, which accepts links already."""
    server = PeerServer("127.0.0.1", 0)
    data_centre = f"dc{number % DATA_CENTRE_COUNT}"
    vm = Vm(
        f"vm-{number:03d}", f"{number:024x}", data_centre, "127.0.0.1", 1, server.port
    )
    node = TicketNode(
        vm, StateMap(), MemberList(vm, clock), Freshness(clock), DrainingTargets()
    )
    forwarder = CallForwarder(lambda call: (500, {}))
    link_manager = LinkManager(node, forwarder, [], degree, 2, clock)
    server.attach(node, forwarder)
    eventlet.spawn_n(server.run)
    return LinkedNode(node, server, link_manager)


class Mesh:
    """Nodes in this process that have the links of the mesh and no other ones.

    Parameters
    ----------
    count : int
        Number of nodes.
    degree : int
        Links that each node wants inside its data centre.
    """

    def __init__(self, count: int, degree: int = 6):
        clock = MonotonicClock()
        self.nodes = [make_node(n, clock, degree) for n in range(count)]
        vms = [mesh_node.node.own for mesh_node in self.nodes]
        self._wanted_links = {vm.name: choose_links(vm, vms, degree, 2) for vm in vms}
        for mesh_node in self.nodes:
            mesh_node.node.members.add_reported(vms)
        self._dial_all({vm.name: vm for vm in vms})
        self.wait_until(self._is_linked)

    def _dial_all(self, vms: dict[str, Vm]) -> None:
        """Open each link that at least one of its ends wants, once."""
        pairs = {
            frozenset((a, b)) for a, names in self._wanted_links.items() for b in names
        }
        for mesh_node in self.nodes:
            own = mesh_node.node.own.name
            for name in sorted(vms):
                if own < name and frozenset((own, name)) in pairs:
                    mesh_node.link_manager.dial(vms[name].host, vms[name].peer_port)

    def _is_linked(self) -> bool:
        """Return True if every node has all links that it wants."""
        return all(
            self._wanted_links[n.node.own.name] <= set(n.node.links) for n in self.nodes
        )

    def wait_until(self, condition: Callable[[], bool], timeout: float = 60.0) -> None:
        """Let other tasks run until a condition is true, with a heartbeat each second.

        Raises
        ------
        TimeoutError
            If the condition is still false after `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        next_heartbeat_at = time.monotonic() + 1.0
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError("the mesh did not settle")
            if time.monotonic() > next_heartbeat_at:
                self.send_heartbeats()
                next_heartbeat_at = time.monotonic() + 1.0
            eventlet.sleep(0.001)

    def send_heartbeats(self) -> None:
        """Send one heartbeat of every node on each of its links."""
        for mesh_node in self.nodes:
            mesh_node.node.send_heartbeats()

    def count_links(self) -> int:
        """Return the number of link ends, two for each link."""
        return sum(len(n.node.links) for n in self.nodes)

    def count_bytes(self) -> int:
        """Return the bytes that all nodes have sent on their open links."""
        return sum(link.bytes_sent for n in self.nodes for link in n.links())

    def close(self) -> None:
        """Close all peer servers and links."""
        for mesh_node in self.nodes:
            mesh_node.server.close()
            for link in mesh_node.links():
                link.close()
        eventlet.sleep(0.1)


@dataclass(frozen=True, slots=True)
class MeshCost:
    """Costs measured in one mesh.

    Parameters
    ----------
    links : int
        Number of link ends.
    heartbeat_us, heartbeat_bytes : float
        Processor time and bytes of a heartbeat, per link end.
    ticket_us, ticket_bytes : float
        Processor time and sent bytes of a ticket, per node.
    dissemination_ms : float
        Median time until all nodes have a ticket.
    """

    links: int
    heartbeat_us: float
    heartbeat_bytes: float
    ticket_us: float
    ticket_bytes: float
    dissemination_ms: float


def measure_mesh(count: int) -> MeshCost:
    """Measure heartbeats and tickets in a mesh of `count` nodes."""
    mesh = Mesh(count)
    links = mesh.count_links()
    heartbeat_us, heartbeat_bytes = measure_heartbeats(mesh)
    ticket_us, ticket_bytes, dissemination_ms = measure_tickets(mesh)
    mesh.close()
    return MeshCost(
        links=links,
        heartbeat_us=heartbeat_us / links,
        heartbeat_bytes=heartbeat_bytes / links,
        ticket_us=ticket_us / count,
        ticket_bytes=ticket_bytes / count,
        dissemination_ms=dissemination_ms,
    )


def measure_heartbeats(mesh: Mesh) -> tuple[float, float]:
    """Return the processor time in us and the bytes of a heartbeat of all nodes."""
    before = mesh.count_bytes()
    cpu_started_at = time.process_time()
    for _ in range(HEARTBEATS):
        mesh.send_heartbeats()
        eventlet.sleep(0.05)
    eventlet.sleep(0.2)
    cpu_s = time.process_time() - cpu_started_at
    return cpu_s / HEARTBEATS * 1e6, (mesh.count_bytes() - before) / HEARTBEATS


def measure_tickets(mesh: Mesh) -> tuple[float, float, float]:
    """Publish tickets in a mesh.

    Returns
    -------
    tuple of float
        Processor time in us and sent bytes of all nodes for one ticket, and the
        median time in ms until all nodes have it.
    """
    durations_ms = []
    bytes_sent = 0
    cpu_s = 0.0
    for number in range(1, TICKET_COUNT + 1):
        ticket = make_ticket(number)
        before = mesh.count_bytes()
        published_at = time.monotonic()
        cpu_started_at = time.process_time()
        mesh.nodes[0].node.publish(ticket)
        mesh.wait_until(
            lambda n=number: all(m.node.state.highest_ticket == n for m in mesh.nodes)
        )
        durations_ms.append((time.monotonic() - published_at) * 1000)
        eventlet.sleep(0.05)
        cpu_s += time.process_time() - cpu_started_at
        bytes_sent += mesh.count_bytes() - before
        mesh.send_heartbeats()  # a link that stays silent too long is closed
        eventlet.sleep(0.05)
    durations_ms.sort()
    return (
        cpu_s / TICKET_COUNT * 1e6,
        bytes_sent / TICKET_COUNT,
        durations_ms[len(durations_ms) // 2],
    )


def make_ticket(number: int) -> Ticket:
    """Return a ticket that changes the port of one target."""
    fields = make_target_fields(1)
    fields[3]["port"] = 8000 + number
    entry = parse_entry(fields)
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
