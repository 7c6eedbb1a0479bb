"""A caller of the daemon's HTTP interface, and of the stand-ins' control paths."""

from dataclasses import dataclass

import orjson
import urllib3


@dataclass(frozen=True, slots=True)
class CallerReply:
    """Status and JSON body of a reply."""

    status: int
    body: dict


class Caller:
    """Sends requests to one address.

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
        """Send a JSON body and return the reply."""
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        default_headers = {"Content-Type": "application/json"}
        reply = self._http.request(
            "POST", path, body=data, headers={**default_headers, **(headers or {})}
        )
        return CallerReply(reply.status, orjson.loads(reply.data))

    def get(self, path: str) -> CallerReply:
        """Read a JSON page."""
        reply = self._http.request("GET", path)
        return CallerReply(reply.status, orjson.loads(reply.data))

    def close(self) -> None:
        """Close the connections."""
        self._http.close()
