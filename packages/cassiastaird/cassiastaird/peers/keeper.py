"""Opens the links that the mesh asks for, and heartbeats on them."""

import eventlet
from cassiastair.clock import Clock
from cassiastair.membership import choose_links
from cassiastair.peers import PeerNode
from loguru import logger
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect

from .codec import MAX_FRAME_BYTES
from .forwarding import Forwarder
from .websocket_link import WebsocketLink

TICK_S = 1.0  # interval of heartbeats and of looks at the mesh
PATIENCE_S = 3.0  # time that the VM with the higher name waits to be dialled
DIAL_TIMEOUT_S = 2.0


class LinkKeeper:
    """Keeps this VM's links.

    Parameters
    ----------
    node : PeerNode
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
        self, node: PeerNode, forwarder: Forwarder, seeds, degree, cross, clock
    ):
        self._node = node
        self._forwarder = forwarder
        self._seeds: list[tuple[str, int]] = seeds
        self._degree = degree
        self._cross = cross
        self._clock: Clock = clock
        self._dialling: set[tuple[str, int]] = set()
        self._wanted_since: dict[str, float] = {}

    def run(self) -> None:
        """Tick for as long as the process runs."""
        while True:
            self.tick()
            eventlet.sleep(TICK_S)

    def tick(self) -> None:
        """Send heartbeats and open missing links."""
        self._node.beat()
        self._node.roster.forget_old()
        known = self._node.roster.all()
        wanted = choose_links(self._node.own, known, self._degree, self._cross)
        missing = wanted - set(self._node.links)
        for name in missing:
            self._want(name)
        for name in set(self._wanted_since) - missing:
            del self._wanted_since[name]
        self._dial_seeds({(vm.host, vm.peer_port) for vm in known})

    def _want(self, name: str) -> None:
        """Dial a VM; the lower name of two dials first, so they open one link."""
        now = self._clock.now()
        since = self._wanted_since.setdefault(name, now)
        if name < self._node.own.name and now - since < PATIENCE_S:
            return
        vm = self._node.roster.find(name)
        self.dial(vm.host, vm.peer_port)

    def _dial_seeds(self, known: set[tuple[str, int]]) -> None:
        """Dial the peers of the settings that no VM is known for."""
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
            WebsocketLink(websocket, self._node, self._forwarder).run()
        except (OSError, TimeoutError, WebSocketException) as error:
            logger.debug("dial failed", host=host, port=port, reason=repr(error))
        finally:
            self._dialling.discard((host, port))
