"""Opens the peer links that the mesh requires and sends heartbeats on them."""

import eventlet
from cassiastair.clock import Clock
from cassiastair.membership import choose_links
from cassiastair.peers import MeshNode
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect

from .call_forwarder import CallForwarder
from .codec import MAX_FRAME_BYTES
from .websocket_link import WebsocketLink

HEARTBEAT_INTERVAL_S = 1.0  # also the interval of checks of the links
DIAL_WAIT_S = 3.0  # time for which the VM with the higher name waits to be dialled
DIAL_TIMEOUT_S = 2.0
# Every VM dials the seeds, which would otherwise keep a link to each of them.
UNWANTED_LINK_MAX_AGE_S = 10.0
POLL_INTERVAL_S = 0.005


class LinkManager:
    """Opens this VM's links, closes unwanted ones and sends heartbeats.

    Parameters
    ----------
    node : MeshNode
        This VM among its peers.
    forwarder : CallForwarder
        Handles calls and replies from peers.
    seeds : list of (str, int)
        Addresses of peers from the settings.
    degree, cross_degree : int
        Links per VM inside the data centre and to other data centres.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        node: MeshNode,
        forwarder: CallForwarder,
        seeds,
        degree,
        cross_degree,
        clock,
    ):
        self._node = node
        self._forwarder = forwarder
        self._seeds: list[tuple[str, int]] = seeds
        self._degree = degree
        self._cross_degree = cross_degree
        self._clock: Clock = clock
        self._dialling: set[tuple[str, int]] = set()
        self._wanted_links: set[str] = set()
        self._wanted_generation = -1
        self._missing_since: dict[str, float] = {}

    def set_seeds(self, seeds) -> None:
        """Replace the addresses of peers from the settings."""
        self._seeds = list(seeds)

    def run(self) -> None:
        """Call `tick` at intervals for as long as the process runs."""
        while True:
            self.tick()
            eventlet.sleep(HEARTBEAT_INTERVAL_S)

    def tick(self) -> None:
        """Send heartbeats, open missing links and close unwanted ones."""
        self._node.send_heartbeats()
        self._node.members.remove_expired()
        wanted = self._get_wanted_links()
        missing = wanted - set(self._node.links)
        for name in missing:
            self._dial_missing(name)
        for name in set(self._missing_since) - missing:
            del self._missing_since[name]
        self._close_unwanted(wanted)
        self._dial_seeds()

    def _get_wanted_links(self) -> set[str]:
        """Return the names of the VMs that the mesh links to this one.

        They are computed anew only when the members have changed.
        """
        members = self._node.members
        if self._wanted_generation != members.generation:
            self._wanted_generation = members.generation
            self._wanted_links = choose_links(
                self._node.own, members.all(), self._degree, self._cross_degree
            )
        return self._wanted_links

    def _dial_missing(self, name: str) -> None:
        """Dial a VM to which there is no link.

        The VM with the lower name dials first, so that the two open only one link.
        """
        now = self._clock.now()
        missing_since = self._missing_since.setdefault(name, now)
        if name < self._node.own.name and now - missing_since < DIAL_WAIT_S:
            return
        vm = self._node.members.find(name)
        self.dial(vm.host, vm.peer_port)

    def _close_unwanted(self, wanted: set[str]) -> None:
        """Close links outside the mesh that this VM dialled and that are too old."""
        oldest_allowed = self._clock.now() - UNWANTED_LINK_MAX_AGE_S
        for name, link in list(self._node.links.items()):
            dialled_at = link.dialled_at
            if (
                name not in wanted
                and dialled_at is not None
                and dialled_at < oldest_allowed
            ):
                link.close()

    def get_or_open_link(self, name: str, timeout: float) -> WebsocketLink | None:
        """Return a link to a VM, opening one if there is none.

        The result is None if no link opens in time.

        Parameters
        ----------
        name : str
            Name of the VM.
        timeout : float
            Seconds to wait for the link to open.
        """
        vm = self._node.members.find(name)
        if name not in self._node.links and vm is not None:
            self.dial(vm.host, vm.peer_port)
            with eventlet.Timeout(timeout, False):
                while name not in self._node.links:
                    eventlet.sleep(POLL_INTERVAL_S)
        return self._node.links.get(name)

    def _dial_seeds(self) -> None:
        """Dial the seeds whose addresses belong to no known VM."""
        known = {(vm.host, vm.peer_port) for vm in self._node.members.all()}
        own = (self._node.own.host, self._node.own.peer_port)
        for address in self._seeds:
            if address != own and address not in known:
                self.dial(*address)

    def dial(self, host: str, port: int) -> None:
        """Open a link in a new task, unless one to the address is being opened."""
        if (host, port) not in self._dialling:
            self._dialling.add((host, port))
            eventlet.spawn_n(self._run_link, host, port)

    def _run_link(self, host: str, port: int) -> None:
        """Dial a peer and run the link until it closes."""
        try:
            websocket = connect(
                f"ws://{host}:{port}",
                compression=None,
                max_size=MAX_FRAME_BYTES,
                open_timeout=DIAL_TIMEOUT_S,
                ping_interval=None,
                proxy=None,
                legacy=True,
            )
            now = self._clock.now()
            WebsocketLink(websocket, self._node, self._forwarder, now).run()
        except (OSError, TimeoutError, WebSocketException) as error:
            self._node.log_event(
                "dial failed", host=host, port=port, reason=repr(error)
            )
        finally:
            self._dialling.discard((host, port))
