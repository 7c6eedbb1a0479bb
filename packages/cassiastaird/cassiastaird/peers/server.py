"""Accepts links from peers."""

import logging

import eventlet
from cassiastair.peers import MeshNode
from websockets.sync.server import serve

from .call_forwarder import CallForwarder
from .codec import MAX_FRAME_BYTES
from .websocket_link import WebsocketLink

logging.getLogger("websockets").setLevel(logging.CRITICAL)


class PeerServer:
    """Listens for peers and runs each link in the task of its connection.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 lets the system choose one, see the attribute `port`.
    """

    def __init__(self, host: str, port: int):
        self._node: MeshNode | None = None
        self._forwarder: CallForwarder | None = None
        self._server = serve(
            self._run_link,
            host,
            port,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=2,
            ping_interval=None,
        )
        self.port = self._server.socket.getsockname()[1]

    def start(self, node: MeshNode, forwarder: CallForwarder) -> None:
        """Start accepting links."""
        self._node = node
        self._forwarder = forwarder
        eventlet.spawn_n(self._server.serve_forever)

    def _run_link(self, websocket) -> None:
        """Run the link of one accepted connection until it closes."""
        WebsocketLink(websocket, self._node, self._forwarder).run()

    def close(self) -> None:
        """Stop accepting links."""
        self._server.shutdown()
