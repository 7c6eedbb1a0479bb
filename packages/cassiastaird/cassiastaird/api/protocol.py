"""HTTP protocol of the WSGI server, which knows what its connection waits for."""

import eventlet
from eventlet.green import socket
from eventlet.wsgi import MAX_TOTAL_HEADER_SIZE, HttpProtocol

from .connection import ApiConnection
from .phase import Phase

PROTOCOL_KEY = "cassiastaird.protocol"
CONNECTION_KEY = "cassiastaird.connection"
MAX_HEAD_BYTES = 16_384
LINGER_S = 2.0  # time to discard the rest of a refused request
DISCARD_BYTES = 65_536


class ApiProtocol(HttpProtocol):
    """HTTP protocol whose WSGI environment contains the protocol and its connection.

    Parameters
    ----------
    conn_state : list
        Address, socket and state, as the WSGI server keeps them.
    server : eventlet.wsgi.Server
        The WSGI server.
    connection : ApiConnection
        State of the connection.

    Attributes
    ----------
    lingers : bool
        Whether the rest of a request is discarded before the close. A socket that is
        closed with unread bytes resets the connection, which drops the answer.
    """

    def __init__(self, conn_state: list, server, connection: ApiConnection):
        self.api_connection = connection
        self.lingers = False
        super().__init__(conn_state, server)

    def _read_request_line(self):
        """Return the first line of a request, after a wait for it."""
        self.api_connection.release_request()
        self.api_connection.enter(Phase.IDLE)
        eventlet.sleep(0)  # a caller may send many requests at once
        line = super()._read_request_line()
        self.api_connection.enter(Phase.RECEIVING)
        return line

    def parse_request(self) -> bool:
        """Parse the head of a request; return False if it was refused."""
        # The server's own bound is a constant of its module.
        self.rfile.total_header_size += MAX_TOTAL_HEADER_SIZE - MAX_HEAD_BYTES
        return super().parse_request()

    def get_environ(self) -> dict:
        """Return the WSGI environment of a request."""
        environ = super().get_environ()
        environ[PROTOCOL_KEY] = self
        environ[CONNECTION_KEY] = self.api_connection
        return environ

    def refuse_body(self) -> None:
        """Close the connection after the answer, without reading the body."""
        self.close_connection = True
        self.lingers = True

    def finish(self) -> None:
        """Close the connection, after a refusal when the caller has read it."""
        if self.lingers:
            self._discard_rest()
        super().finish()

    def _discard_rest(self) -> None:
        """Discard what the caller still sends, for some time."""
        try:
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            with eventlet.Timeout(LINGER_S, False):
                while self.connection.recv(DISCARD_BYTES):
                    eventlet.sleep(0)
        except OSError:
            return  # the caller has closed the connection
