"""Opens the links that the mesh asks for, and heartbeats on them."""

import eventlet
from cassiastair.clock import Clock
from cassiastair.membership import choose_links
from cassiastair.peers import MeshNode
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect

from .call_forwarder import CallForwarder
from .codec import MAX_FRAME_BYTES
from .websocket_link import WebsocketLink

TICK_S = 1.0  # interval of heartbeats and of looks at the mesh
PATIENCE_S = 3.0  # time that the VM with the higher name waits to be dialled
DIAL_TIMEOUT_S = 2.0
UNWANTED_S = 10.0  # age at which a link outside the mesh is closed; seeds have many
POLL_S = 0.005


class LinkManager:
    """Keeps this VM's links.

    Parameters
    ----------
    node : MeshNode
        This VM among its peers.
    forwarder : Forwarder
        Takes calls and replies.
    seeds : list of (str, int)
        Addresses of peers from the settings.
    degree, cross : int
        Links inside the data centre and to others.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, node: MeshNode, forwarder: CallForwarder, seeds, degree, cross, clock
    ):
        self._node = node
        self._forwarder = forwarder
        self._seeds: list[tuple[str, int]] = seeds
        self._degree = degree
        self._cross = cross
        self._clock: Clock = clock
        self._dialling: set[tuple[str, int]] = set()
        self._wanted: set[str] = set()
        self._wanted_for = -1
        self._wanted_since: dict[str, float] = {}

    def set_seeds(self, seeds) -> None:
        """Take other addresses of peers."""
        self._seeds = list(seeds)

    def run(self) -> None:
        """Tick for as long as the process runs."""
        while True:
            self.tick()
            eventlet.sleep(TICK_S)

    def tick(self) -> None:
        """Send heartbeats and open missing links."""
        self._node.send_heartbeats()
        self._node.members.remove_expired()
        wanted = self._find_wanted()
        missing = wanted - set(self._node.links)
        for name in missing:
            self._want(name)
        for name in set(self._wanted_since) - missing:
            del self._wanted_since[name]
        self._close_unwanted(wanted)
        self._dial_seeds()

    def _find_wanted(self) -> set[str]:
        """Return the links that the mesh asks for, anew only when VMs change."""
        roster = self._node.members
        if self._wanted_for != roster.generation:
            self._wanted_for = roster.generation
            self._wanted = choose_links(
                self._node.own, roster.all(), self._degree, self._cross
            )
        return self._wanted

    def _want(self, name: str) -> None:
        """Dial a VM; the lower name of two dials first, so they open one link."""
        now = self._clock.now()
        since = self._wanted_since.setdefault(name, now)
        if name < self._node.own.name and now - since < PATIENCE_S:
            return
        vm = self._node.members.find(name)
        self.dial(vm.host, vm.peer_port)

    def _close_unwanted(self, wanted: set[str]) -> None:
        """Close links that this VM dialled and does not want any more."""
        limit = self._clock.now() - UNWANTED_S
        for name, link in list(self._node.links.items()):
            dialled_at = link.dialled_at
            if name not in wanted and dialled_at is not None and dialled_at < limit:
                link.close()

    def get_or_open_link(self, name: str, limit: float) -> WebsocketLink | None:
        """Return a link to a VM, opening one if there is none.

        Parameters
        ----------
        name : str
            Name of the VM.
        limit : float
            Seconds to wait for the link.
        """
        vm = self._node.members.find(name)
        if name not in self._node.links and vm is not None:
            self.dial(vm.host, vm.peer_port)
            with eventlet.Timeout(limit, False):
                while name not in self._node.links:
                    eventlet.sleep(POLL_S)
        return self._node.links.get(name)

    def _dial_seeds(self) -> None:
        """Dial the peers of the settings that no VM is known for."""
        known = {(vm.host, vm.peer_port) for vm in self._node.members.all()}
        own = (self._node.own.host, self._node.own.peer_port)
        for address in self._seeds:
            if address != own and address not in known:
                self.dial(*address)

    def dial(self, host: str, port: int) -> None:
        """Open a link in a task of its own, unless one is being opened."""
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
