"""One link to a peer: a task that reads, a task that writes."""

import eventlet
from cassiastair.errors import PeerProtocolError
from cassiastair.peers import Call, LinkClosed, MeshNode, Message, PeerLink, Reply
from eventlet.green import socket
from eventlet.queue import Full, LightQueue
from websockets.exceptions import ConnectionClosed

from .call_forwarder import CallForwarder
from .codec import decode, encode

SILENCE_S = 3.0  # a link without a message for so long is closed
MAX_QUEUED = 4096  # messages that wait for a slow peer before the link is closed


class WebsocketLink(PeerLink):
    """A link over a websocket.

    Parameters
    ----------
    websocket : websockets.sync.connection.Connection
        An open connection.
    node : MeshNode
        Takes the peer's messages.
    forwarder : Forwarder
        Takes calls and replies.
    dialled_at : float or None
        Monotonic time at which this VM dialled; None if the peer did.
    """

    def __init__(
        self,
        websocket,
        node: MeshNode,
        forwarder: CallForwarder,
        dialled_at: float | None = None,
    ):
        super().__init__()
        self.dialled_at = dialled_at
        self._websocket = websocket
        self._node = node
        self._forwarder = forwarder
        self._outgoing = LightQueue(MAX_QUEUED)
        self.closed = False
        self.bytes_sent = 0
        self.bytes_received = 0

    def send(self, message: Message) -> None:
        """Queue a message; a link whose queue is full is closed."""
        if self.closed:
            raise LinkClosed
        try:
            self._outgoing.put_nowait(encode(message))
        except Full as error:
            self.close()
            raise LinkClosed from error

    def run(self) -> None:
        """Read messages until the link closes or goes silent."""
        writer = eventlet.spawn(self._write)
        try:
            self._node.send_hello(self)
            while not self.closed:
                self._receive()
        except (ConnectionClosed, TimeoutError, LinkClosed, OSError) as error:
            self._log("link closed", error)
        except PeerProtocolError as error:
            self._node.counts.refused += 1
            self._log("link refused", error)
        finally:
            self.closed = True
            writer.kill()
            self._forwarder.lost(self)
            self._node.remove_link(self)
            self._close_websocket()

    def _receive(self) -> None:
        """Take one message."""
        frame = self._websocket.recv(timeout=SILENCE_S)
        self.bytes_received += len(frame)
        message = decode(frame)
        if isinstance(message, Call):
            self._forwarder.take_call(self, message)
        elif isinstance(message, Reply):
            self._forwarder.take_reply(message)
        else:
            self._node.handle(self, message)

    def _write(self) -> None:
        """Send queued messages."""
        while not self.closed:
            frame = self._outgoing.get()
            try:
                self._websocket.send(frame)
            except (ConnectionClosed, OSError):
                self.closed = True
                return
            self.bytes_sent += len(frame)

    def flush(self) -> None:
        """Wait until the queued messages are sent, or the link closes."""
        while not self.closed and self._outgoing.qsize():
            eventlet.sleep(0.01)

    def close(self) -> None:
        """Close the link; its reading task ends."""
        self.closed = True
        eventlet.spawn_n(self._close_websocket)

    def _close_websocket(self) -> None:
        """End the connection at once, without waiting for the peer's word.

        The library's task that reads sees the end and closes the socket; were it
        closed here, that task would stay registered for the descriptor.
        """
        try:
            self._websocket.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return  # it is closed already

    def _log(self, event: str, error: Exception) -> None:
        """Log the end of the link."""
        peer = self.vm.name if self.vm else "?"
        self._node.log_event(event, peer=peer, reason=repr(error))
