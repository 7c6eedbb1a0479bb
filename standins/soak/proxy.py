"""A loopback proxy that delays, resets, silences or cuts connections one way."""

import eventlet
from eventlet.green import socket

RECEIVE_BYTES = 65_536


class FaultProxy:
    """Passes bytes between its own port and another address.

    Attributes
    ----------
    delay : float
        Seconds before bytes are passed on.
    silent : str
        Directions in which bytes vanish: any of ``"in"``, ``"out"``, ``"both"``;
        empty for none.
    """

    def __init__(self, target: tuple[str, int]):
        self._target = target
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        self.delay = 0.0
        self.silent = ""
        self._sockets: set = set()
        self._acceptor = eventlet.spawn(self._accept)

    def _accept(self) -> None:
        """Take connections."""
        while True:
            inner, _ = self._listener.accept()
            eventlet.spawn_n(self._join, inner)

    def _join(self, inner) -> None:
        """Open the other side and pass bytes both ways."""
        try:
            outer = eventlet.connect(self._target)
        except OSError:
            inner.close()
            return
        self._sockets |= {inner, outer}
        eventlet.spawn_n(self._pass, inner, outer, "in")
        self._pass(outer, inner, "out")

    def _pass(self, source, sink, direction: str) -> None:
        """Pass bytes one way until an end closes."""
        try:
            while data := source.recv(RECEIVE_BYTES):
                if self.delay:
                    eventlet.sleep(self.delay)
                if self.silent not in (direction, "both"):
                    sink.sendall(data)
        except (OSError, EOFError):
            pass  # an end has closed; the other one is told below
        finally:
            self._sockets.discard(source)
            self._end(sink)
            source.close()

    def reset(self) -> None:
        """End all connections."""
        for sock in list(self._sockets):
            self._end(sock)

    @staticmethod
    def _end(sock) -> None:
        """Shut a connection down; its own task closes it."""
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return  # it is closed already

    def stop(self) -> None:
        """End everything."""
        self._acceptor.kill()
        self._listener.close()
        self.reset()
