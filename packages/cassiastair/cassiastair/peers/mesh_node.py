"""Base class of nodes: links to peers, membership and dispatch of messages."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from ..data import Vm
from ..errors import PeerProtocolError
from ..membership import MemberList
from .link import LinkClosed, PeerLink
from .messages import PROTOCOL, Bye, Hello, Members, Message


@dataclass(slots=True)
class PeerCounters:
    """Counts of what a node has exchanged with its peers.

    Attributes
    ----------
    pushed : int
        Pushes of new tickets or changes.
    repaired : int
        Entries or items that were newer than the own ones when a peer sent them.
    repairs : int
        Repairs and requests that this node has started.
    refused : int
        Malformed entries and messages.
    """

    pushed: int = 0
    repaired: int = 0
    repairs: int = 0
    refused: int = 0


class MeshNode(ABC):
    """Node of the mesh that links this VM with its peers.

    It keeps the members and dispatches messages. Subclasses define which state the
    peers exchange.

    Parameters
    ----------
    own : Vm
        This VM.
    members : MemberList
        Known VMs.

    Attributes
    ----------
    links : dict of str to PeerLink
        Open links by the name of the peer.
    counts : PeerCounters
        Counts for the metrics.
    log_event : callable
        Logs an event of a link; takes its name, and its fields as keywords. Does
        nothing until the owner of the node replaces it.
    """

    def __init__(self, own: Vm, members: MemberList):
        self.own = own
        self.members = members
        self.links: dict[str, PeerLink] = {}
        self.counts = PeerCounters()
        self.log_event: Callable[..., None] = lambda event, **inputs: None
        self._handlers = {
            Hello: self._handle_hello,
            Members: self._handle_members,
            Bye: self._handle_bye,
        }

    @abstractmethod
    def send_heartbeats(self) -> None:
        """Send a heartbeat on every link."""

    @abstractmethod
    def _start_sync(self, link: PeerLink) -> None:
        """Send a new peer what it needs to find out, or get, what it lacks."""

    def send_hello(self, link: PeerLink) -> None:
        """Send the first message on a new link."""
        link.send(Hello(PROTOCOL, self.own))

    def handle(self, link: PeerLink, message: Message) -> None:
        """Dispatch a message from a peer.

        Raises
        ------
        PeerProtocolError
            If the message violates the protocol; the caller has to close the link.
        """
        if link.vm is None and not isinstance(message, Hello):
            raise PeerProtocolError("the first message must be a hello")
        handler = self._handlers.get(type(message))
        if handler is None:
            raise PeerProtocolError(f"a {type(message).__name__} is not expected")
        handler(link, message)

    def remove_link(self, link: PeerLink) -> None:
        """Remove a link that has closed."""
        if link.vm is not None and self.links.get(link.vm.name) is link:
            del self.links[link.vm.name]

    def send_bye(self) -> None:
        """Announce to all peers that this VM is stopping."""
        self._broadcast(Bye(), None)

    def _broadcast(self, message: Message, source: PeerLink | None) -> None:
        """Send a message on every link except the one that it came from."""
        for link in list(self.links.values()):
            if link is not source:
                self._send(link, message)

    def _send(self, link: PeerLink, message: Message) -> None:
        """Send a message; remove the link if it has closed."""
        try:
            link.send(message)
        except LinkClosed:
            self.remove_link(link)

    def _handle_hello(self, link: PeerLink, hello: Hello) -> None:
        """Register a peer, start the exchange with it and report it if it is new."""
        if hello.protocol != PROTOCOL:
            raise PeerProtocolError(f"the protocol is {hello.protocol}, not {PROTOCOL}")
        if hello.vm.name == self.own.name:
            raise PeerProtocolError(f"a peer has the name {self.own.name} of this VM")
        link.vm = hello.vm
        self.links[hello.vm.name] = link
        known = self.members.find(hello.vm.name)
        self.members.record_contact(hello.vm)
        self._send(link, Members([*self.members.all(), self.own]))
        self._start_sync(link)
        if known != hello.vm:
            self._broadcast(Members([hello.vm]), link)

    def _handle_members(self, link: PeerLink, message: Members) -> None:
        """Add the VMs that a peer has reported and forward the new ones."""
        new = []
        for vm in message.vms:
            known = self.members.find(vm.name)
            if vm.name != self.own.name and known is None:
                new.append(vm)
        self.members.add_reported(message.vms)
        if new:
            self._broadcast(Members(new), link)

    def _handle_bye(self, link: PeerLink, bye: Bye) -> None:
        """Remove a peer that is stopping."""
        self.members.remove(link.vm.name)
        self.remove_link(link)
