"""TCP proxy that delays bytes, drops them in one or both directions, or resets."""

import struct

import eventlet
from eventlet.green import socket
from eventlet.hubs import trampoline

RECEIVE_BUFFER_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with no time to send the rest


class FaultProxy:
    """Forwards connections from a loopback port to another address.

    Parameters
    ----------
    target : (str, int)
        Address to forward to.
    port : int
        Port to listen on; 0 for a free one.

    Attributes
    ----------
    address : (str, int)
        Address that the proxy listens on.
    delay_s : float
        Delay of each chunk of bytes, in seconds.
    dropped_direction : str
        Direction in which bytes are dropped: ``"in"`` to the target, ``"out"`` from
        the target, ``"both"``, or empty for none.
    """

    def __init__(self, target: tuple[str, int], port: int = 0):
        self._target = target
        self._listener = eventlet.listen(("127.0.0.1", port))
        self.address = self._listener.getsockname()
        self.delay_s = 0.0
        self.dropped_direction = ""
        self._sockets: set = set()
        self._acceptor = eventlet.spawn(self._accept)

    def _accept(self) -> None:
        """Accept connections until the proxy stops."""
        while True:
            client, _ = self._listener.accept()
            eventlet.spawn_n(self._connect, client)

    def _connect(self, client) -> None:
        """Connect to the target and forward bytes in both directions."""
        try:
            server = eventlet.connect(self._target)
        except OSError:
            client.close()
            return
        self._sockets |= {client, server}
        eventlet.spawn_n(self._forward, client, server, "in")
        self._forward(server, client, "out")

    def _forward(self, sender, receiver, direction: str) -> None:
        """Forward bytes in one direction until either side closes.

        A reset is passed on as one: a close would make a reply without a length whole.
        """
        ending = self._shut_down
        try:
            while data := receive(sender):
                if self.delay_s:
                    eventlet.sleep(self.delay_s)
                if self.dropped_direction not in (direction, "both"):
                    receiver.sendall(data)
        except ConnectionResetError:
            ending = self._reset_on_close
        except (OSError, EOFError):
            pass  # one side closed; the other one is shut down below
        finally:
            self._sockets.discard(sender)
            ending(receiver)
            sender.close()

    def reset(self) -> None:
        """Shut all connections down."""
        for sock in list(self._sockets):
            self._shut_down(sock)

    @staticmethod
    def _reset_on_close(sock) -> None:
        """Let the green thread that reads from a connection reset it."""
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.shutdown(socket.SHUT_RD)
        except OSError:
            return  # already closed

    @staticmethod
    def _shut_down(sock) -> None:
        """Shut a connection down; the green thread that reads from it closes it."""
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return  # already closed

    def stop(self) -> None:
        """Stop listening and shut all connections down."""
        self._acceptor.kill()
        self._listener.close()
        self.reset()


def receive(sock) -> bytes:
    """Wait for bytes and return them; empty bytes at the end of the stream.

    Raises
    ------
    ConnectionResetError
        If the connection was reset; `recv` of a green socket returns no bytes then.
    """
    while True:
        trampoline(sock, read=True)
        try:
            return sock.fd.recv(RECEIVE_BUFFER_BYTES)
        except BlockingIOError:
            continue  # spurious wake-up, nothing to read
