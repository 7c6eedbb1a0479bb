"""A VM among its peers: who they are, and messages on the links to them."""

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
    """Counters for the metrics."""

    pushed: int = 0
    repaired: int = 0
    repairs: int = 0
    refused: int = 0


class MeshNode(ABC):
    """Links, members, and the dispatch of messages; what is shared varies.

    Parameters
    ----------
    own : Vm
        This VM.
    roster : Roster
        Known VMs.

    Attributes
    ----------
    note : callable
        Takes an event about a link and its inputs, for the log; set by whoever
        wires the node.
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
        """Send a new peer what it may lack."""

    def send_hello(self, link: PeerLink) -> None:
        """Send the first message on a new link."""
        link.send(Hello(PROTOCOL, self.own))

    def handle(self, link: PeerLink, message: Message) -> None:
        """Take a message from a peer.

        Raises
        ------
        PeerProtocolError
            If the message breaks the protocol; the link is to be closed.
        """
        if link.vm is None and not isinstance(message, Hello):
            raise PeerProtocolError("the first message must be a hello")
        handler = self._handlers.get(type(message))
        if handler is None:
            raise PeerProtocolError(f"a {type(message).__name__} is not expected")
        handler(link, message)

    def remove_link(self, link: PeerLink) -> None:
        """Take note that a link is closed."""
        if link.vm is not None and self.links.get(link.vm.name) is link:
            del self.links[link.vm.name]

    def send_bye(self) -> None:
        """Tell peers that this VM is stopping."""
        self._broadcast(Bye(), None)

    def _broadcast(self, message: Message, source: PeerLink | None) -> None:
        """Send a message on every link but the one that it came from."""
        for link in list(self.links.values()):
            if link is not source:
                self._send(link, message)

    def _send(self, link: PeerLink, message: Message) -> None:
        """Send a message; a closed link is dropped."""
        try:
            link.send(message)
        except LinkClosed:
            self.remove_link(link)

    def _handle_hello(self, link: PeerLink, hello: Hello) -> None:
        """Take a peer's first message and bring it up to date."""
        if hello.protocol != PROTOCOL:
            raise PeerProtocolError(f"protocol {hello.protocol} is not {PROTOCOL}")
        if hello.vm.name == self.own.name:
            raise PeerProtocolError(f"a peer bears the name {self.own.name} too")
        link.vm = hello.vm
        self.links[hello.vm.name] = link
        known = self.members.find(hello.vm.name)
        self.members.record_contact(hello.vm)
        self._send(link, Members([*self.members.all(), self.own]))
        self._start_sync(link)
        if known != hello.vm:
            self._broadcast(Members([hello.vm]), link)

    def _handle_members(self, link: PeerLink, frame: Members) -> None:
        """Take VMs that a peer knows, and pass on the new ones."""
        news = []
        for vm in frame.vms:
            known = self.members.find(vm.name)
            if vm.name != self.own.name and known is None:
                news.append(vm)
        self.members.add_reported(frame.vms)
        if news:
            self._broadcast(Members(news), link)

    def _handle_bye(self, link: PeerLink, bye: Bye) -> None:
        """Drop a peer that is stopping."""
        self.members.remove(link.vm.name)
        self.remove_link(link)
