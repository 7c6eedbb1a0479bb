"""HTTP protocol of the WSGI server, which lets the application close connections."""

from eventlet.wsgi import HttpProtocol

PROTOCOL_KEY = "cassiastaird.protocol"


class ApiProtocol(HttpProtocol):
    """HTTP protocol whose WSGI environment contains the protocol object itself."""

    def get_environ(self) -> dict:
        """Return the WSGI environment of a request."""
        environ = super().get_environ()
        environ[PROTOCOL_KEY] = self
        return environ
