"""The WSGI server's protocol, with a handle that lets a handler close connections."""

from eventlet.wsgi import HttpProtocol

HANDLE = "cassiastaird.protocol"


class ApiProtocol(HttpProtocol):
    """HTTP protocol whose environment holds the protocol object itself."""

    def get_environ(self) -> dict:
        """Return the WSGI environment."""
        environ = super().get_environ()
        environ[HANDLE] = self
        return environ
