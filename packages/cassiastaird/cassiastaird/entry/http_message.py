"""HTTP requests and replies as received, with their headers not interpreted."""

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete HTTP request.

    Parameters
    ----------
    method : bytes
        HTTP method, such as `b"GET"`.
    url : bytes
        Request target as sent, usually a path with a query.
    headers : tuple of (bytes, bytes)
        Names and values in the order sent, names in the case sent.
    body : bytes
        Complete body, with the transfer encoding removed.
    """

    method: bytes
    url: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete HTTP reply.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tuple of (bytes, bytes)
        Names and values in the order sent, names in the case sent.
    body : bytes
        Complete body, with the transfer encoding removed.
    """

    status: int
    headers: Headers
    body: bytes
