"""Encoder of the HTTP requests to one target."""

from cassiastair.data import Target


class RequestEncoder:
    """Encodes a request to one target, headers and body, as one byte string.

    Parameters
    ----------
    target : Target
        The target, whose address becomes the ``Host`` header.
    """

    def __init__(self, target: Target):
        host = f"[{target.host}]" if ":" in target.host else target.host
        common_headers = (
            f"HTTP/1.1\r\nHost: {host}:{target.port}\r\nAccept: application/json"
        )
        self._common_headers = common_headers.encode()

    def encode_get(self, path: bytes) -> bytes:
        """Return a GET request."""
        return b"GET %b %b\r\n\r\n" % (path, self._common_headers)

    def encode_post(self, path: bytes, body: bytes, traceparent: str) -> bytes:
        """Return a POST request with a JSON body.

        Parameters
        ----------
        path : bytes
            Path of the request URL.
        body : bytes
            JSON document.
        traceparent : str
            W3C ``traceparent`` header value that this VM generated. It is written
            unescaped, so a value from a caller must not be passed.
        """
        return (
            b"POST %b %b\r\nContent-Type: application/json\r\n"
            b"traceparent: %b\r\nContent-Length: %d\r\n\r\n%b"
        ) % (path, self._common_headers, traceparent.encode(), len(body), body)
