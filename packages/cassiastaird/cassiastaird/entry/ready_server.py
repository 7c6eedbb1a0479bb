"""Answers the platform's question whether this VM takes work."""

from collections.abc import Callable

import eventlet

RECEIVE_BYTES = 4096
TIMEOUT_S = 3.0
YES = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
NO = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
HEAD_END = b"\r\n\r\n"


class ReadyServer:
    """Serves readiness, and the metrics page, on one socket.

    Parameters
    ----------
    is_ready : callable
        Tells whether this VM takes work.
    render_metrics : callable
        Returns the metrics page.
    """

    def __init__(self, is_ready: Callable[[], bool], render: Callable[[], bytes]):
        self._is_ready = is_ready
        self._render = render

    def run(self, listener) -> None:
        """Accept connections for as long as the process runs."""
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                eventlet.sleep(0.1)  # out of descriptors; the question comes again
                continue
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock) -> None:
        """Answer the questions on one connection."""
        sock.settimeout(TIMEOUT_S)
        pending = b""
        try:
            while True:
                data = sock.recv(RECEIVE_BYTES)
                if not data or len(pending) > RECEIVE_BYTES:
                    return
                pending += data
                while HEAD_END in pending:
                    head, _, pending = pending.partition(HEAD_END)
                    sock.sendall(self._answer(head))
        except (OSError, EOFError):
            return  # the asker has left, or was silent for long
        finally:
            sock.close()

    def _answer(self, head: bytes) -> bytes:
        """Return the reply to one question."""
        if head.startswith(b"GET /metrics"):
            page = self._render()
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
                len(page),
                page,
            )
        return YES if self._is_ready() else NO
