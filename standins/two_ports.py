"""A server with one port for its protocol and one for control requests."""

from collections.abc import Callable

import eventlet

BACKLOG = 512


class TwoPortServer:
    """Listens on two ports and serves each connection in a task of its own.

    Parameters
    ----------
    serve, serve_control : callable
        Called with each accepted socket; serve it until the connection ends.
    host : str
        Loopback address to listen on.
    port : int
        TCP port of the protocol; 0 lets the system choose.
    """

    def __init__(self, serve: Callable, serve_control: Callable, host: str, port: int):
        self._listeners = {
            eventlet.listen((host, port), backlog=BACKLOG): serve,
            eventlet.listen((host, 0)): serve_control,
        }
        self.port, self.control_port = (
            listener.getsockname()[1] for listener in self._listeners
        )
        self._tasks: list = []

    def start(self) -> None:
        """Start accepting connections, without blocking."""
        for listener, serve in self._listeners.items():
            self._tasks.append(eventlet.spawn(self._accept, listener, serve))

    def stop(self) -> None:
        """Stop accepting connections."""
        for task in self._tasks:
            task.kill()
        for listener in self._listeners:
            listener.close()

    def _accept(self, listener, serve: Callable) -> None:
        """Accept connections for ever, and start a task for each."""
        while True:
            sock, _ = listener.accept()
            eventlet.spawn_n(self._serve_and_close, sock, serve)

    def _serve_and_close(self, sock, serve: Callable) -> None:
        """Serve a connection until it ends or breaks, and close it."""
        try:
            serve(sock)
        except OSError:
            return
        finally:
            sock.close()
