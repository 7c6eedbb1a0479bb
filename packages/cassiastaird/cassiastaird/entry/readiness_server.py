"""Answers the platform's readiness checks and serves the metrics page."""

from collections.abc import Callable

import eventlet

RECEIVE_BYTES = 4096
IDLE_TIMEOUT_S = 3.0
READY_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
NOT_READY_REPLY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
HEAD_TERMINATOR = b"\r\n\r\n"


class ReadinessServer:
    """Serves readiness checks and the metrics page on one listening socket.

    Parameters
    ----------
    is_ready : callable
        Returns True if this VM is ready for callers' requests.
    render_metrics : callable
        Returns the metrics page.
    """

    def __init__(
        self, is_ready: Callable[[], bool], render_metrics: Callable[[], bytes]
    ):
        self._is_ready = is_ready
        self._render_metrics = render_metrics

    def run(self, listener) -> None:
        """Accept connections for as long as the process runs."""
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                eventlet.sleep(0.1)  # out of file descriptors; the check is repeated
                continue
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock) -> None:
        """Answer the requests on one connection."""
        sock.settimeout(IDLE_TIMEOUT_S)
        pending = b""
        try:
            while True:
                data = sock.recv(RECEIVE_BYTES)
                if not data or len(pending) > RECEIVE_BYTES:
                    return
                pending += data
                while HEAD_TERMINATOR in pending:
                    head, _, pending = pending.partition(HEAD_TERMINATOR)
                    sock.sendall(self._answer(head))
        except (OSError, EOFError):
            return  # the client has left or was idle for too long
        finally:
            sock.close()

    def _answer(self, head: bytes) -> bytes:
        """Return the reply to one request, given its head."""
        if head.startswith(b"GET /metrics"):
            page = self._render_metrics()
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
                len(page),
                page,
            )
        return READY_REPLY if self._is_ready() else NOT_READY_REPLY
