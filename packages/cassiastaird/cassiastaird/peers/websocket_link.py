"""Link to a peer over a websocket, with one task that reads and one that writes."""

import eventlet
from cassiastair.errors import PeerProtocolError
from cassiastair.peers import Call, LinkClosed, MeshNode, Message, PeerLink, Reply
from eventlet.green import socket
from eventlet.queue import Full, LightQueue
from websockets.exceptions import ConnectionClosed

from .call_forwarder import CallForwarder
from .codec import decode, encode

RECEIVE_TIMEOUT_S = 3.0  # a link without a message for this long is closed
MAX_QUEUED_MESSAGES = 4096  # a link to a slow peer is closed when its queue is full


class WebsocketLink(PeerLink):
    """Peer link over a websocket, with a bounded queue of outgoing messages.

    Parameters
    ----------
    websocket : websockets.sync.connection.Connection
        An open connection.
    node : MeshNode
        Handles the peer's messages.
    forwarder : CallForwarder
        Handles the peer's calls and replies.
    dialled_at : float or None
        Monotonic time in seconds at which this VM dialled; None if the peer did.
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
        self._outgoing = LightQueue(MAX_QUEUED_MESSAGES)
        self.closed = False
        self.bytes_sent = 0
        self.bytes_received = 0

    def send(self, message: Message) -> None:
        """Queue a message; close the link if the queue is full."""
        if self.closed:
            raise LinkClosed
        try:
            self._outgoing.put_nowait(encode(message))
        except Full as error:
            self.close()
            raise LinkClosed from error

    def run(self) -> None:
        """Read messages until the link closes or the peer is silent for too long."""
        writer = eventlet.spawn(self._send_queued)
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
            self._forwarder.cancel_pending(self)
            self._node.remove_link(self)
            self._close_websocket()

    def _receive(self) -> None:
        """Receive one message and pass it to its handler."""
        frame = self._websocket.recv(timeout=RECEIVE_TIMEOUT_S)
        self.bytes_received += len(frame)
        message = decode(frame)
        if isinstance(message, Call):
            self._forwarder.handle_call(self, message)
        elif isinstance(message, Reply):
            self._forwarder.handle_reply(message)
        else:
            self._node.handle(self, message)

    def _send_queued(self) -> None:
        """Send queued messages until the link closes."""
        while not self.closed:
            frame = self._outgoing.get()
            try:
                self._websocket.send(frame)
            except (ConnectionClosed, OSError):
                self.closed = True
                return
            self.bytes_sent += len(frame)

    def flush(self) -> None:
        """Wait until the queue is empty or the link closes."""
        while not self.closed and self._outgoing.qsize():
            eventlet.sleep(0.01)

    def close(self) -> None:
        """Close the link without waiting; its reading task then ends."""
        self.closed = True
        eventlet.spawn_n(self._close_websocket)

    def _close_websocket(self) -> None:
        """Shut the socket down without waiting for the peer's close frame.

        The websocket library's reading task then ends and closes the socket. If it
        were closed here, that task would stay registered for the file descriptor.
        """
        try:
            self._websocket.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return  # already closed

    def _log(self, event: str, error: Exception) -> None:
        """Log the event that ended the link."""
        peer = self.vm.name if self.vm else "?"
        self._node.log_event(event, peer=peer, reason=repr(error))
