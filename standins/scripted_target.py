"""A target stand-in that sends given bytes and then ends the connection as told."""

import struct
from collections import deque
from dataclasses import dataclass

import eventlet
from eventlet.green import socket

from .raw_http import RequestReader

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with no time to send the rest


@dataclass(frozen=True, slots=True)
class Reply:
    """Bytes that answer one request.

    Parameters
    ----------
    data : bytes
        Bytes to send, which need not be a whole reply.
    ending : str
        What happens to the connection behind them: ``close``, ``reset``, ``half`` (no
        more is sent, but the connection stays open) or, if empty, nothing.
    """

    data: bytes
    ending: str = ""


class ScriptedTarget:
    """Answers each request with the next reply of a script.

    Attributes
    ----------
    script : collections.deque of Reply
        Replies to the next requests.
    port : int
        TCP port that it listens on.
    connection_count : int
        Number of connections accepted.
    is_split : bool
        Whether each byte of a reply is sent alone.
    """

    def __init__(self):
        self.script: deque[Reply] = deque()
        self.connection_count = 0
        self.is_split = False
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._acceptor = eventlet.spawn(self._accept)

    def stop(self) -> None:
        """Stop accepting connections."""
        self._acceptor.kill()
        self._listener.close()

    def _accept(self) -> None:
        """Serve each connection in a task."""
        while True:
            sock, _ = self._listener.accept()
            self.connection_count += 1
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        """Answer the requests of one connection until a reply ends it."""
        reader = RequestReader(sock)
        while reader.read() is not None:
            reply = self.script.popleft()
            try:
                self._send(sock, reply.data)
            except OSError:
                break  # the client has closed the connection
            if reply.ending == "half":
                sock.shutdown(socket.SHUT_WR)
            elif reply.ending:
                if reply.ending == "reset":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                break
        sock.close()

    def _send(self, sock: socket.socket, data: bytes) -> None:
        """Send the bytes of a reply, in parts that the reader receives alone."""
        if not self.is_split:
            sock.sendall(data)
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for index in range(len(data)):
            sock.sendall(data[index : index + 1])
            eventlet.sleep(0)
