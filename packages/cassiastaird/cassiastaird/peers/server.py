"""Accepts links from peers."""

import logging

import eventlet
from cassiastair.peers import MeshNode
from websockets.sync.server import serve

from .call_forwarder import CallForwarder
from .codec import MAX_FRAME_BYTES
from .websocket_link import WebsocketLink

logging.getLogger("websockets").setLevel(logging.CRITICAL)

ACCEPT_RETRY_S = 0.05  # pause after a failed accept


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

    def attach(self, node: MeshNode, forwarder: CallForwarder) -> None:
        """Set the parts that handle the messages of peers; called before `run`."""
        self._node = node
        self._forwarder = forwarder

    def run(self) -> None:
        """Accept links for as long as the process runs.

        The loop of the library ends with the first error of an accept, for example
        when the process is out of file descriptors for a moment.
        """
        while True:
            try:
                sock, address = self._server.socket.accept()
            except OSError as error:
                self._node.log_event("accept failed", reason=repr(error))
                eventlet.sleep(ACCEPT_RETRY_S)
                continue
            eventlet.spawn_n(self._server.handler, sock, address)

    def _run_link(self, websocket) -> None:
        """Run the link of one accepted connection until it closes."""
        WebsocketLink(websocket, self._node, self._forwarder).run()
