"""An HTTP client for the entry daemon and for the control ports of the stand-ins."""

from dataclasses import dataclass

import orjson
import urllib3


@dataclass(frozen=True, slots=True)
class CallerReply:
    """HTTP status and decoded JSON body of a reply."""

    status: int
    body: dict


class Caller:
    """Sends JSON requests to one port of the loopback address, without retries.

    Parameters
    ----------
    port : int
        TCP port on the loopback address.
    timeout : float
        Seconds to wait for a reply.
    """

    def __init__(self, port: int, timeout: float = 10.0):
        self._http = urllib3.HTTPConnectionPool(
            "127.0.0.1", port, retries=False, timeout=timeout, maxsize=64
        )

    def post(self, path: str, body: object, headers: dict | None = None) -> CallerReply:
        """Send a POST request and return the reply.

        Bytes are sent as they are; any other body is encoded as JSON.
        """
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        default_headers = {"Content-Type": "application/json"}
        reply = self._http.request(
            "POST", path, body=data, headers={**default_headers, **(headers or {})}
        )
        return CallerReply(reply.status, orjson.loads(reply.data))

    def get(self, path: str) -> CallerReply:
        """Send a GET request and return the reply."""
        reply = self._http.request("GET", path)
        return CallerReply(reply.status, orjson.loads(reply.data))

    def close(self) -> None:
        """Close all connections of the pool."""
        self._http.close()
