"""HTTP requests and replies as read, before anybody interprets their headers."""

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request.

    Parameters
    ----------
    method : bytes
        Method.
    url : bytes
        Request target as sent.
    headers : tuple of (bytes, bytes)
        Headers in the order sent, names as sent.
    body : bytes
        Whole body, without transfer encoding.
    """

    method: bytes
    url: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A whole reply.

    Parameters
    ----------
    status : int
        Status.
    headers : tuple of (bytes, bytes)
        Headers in the order sent, names as sent.
    body : bytes
        Whole body, without transfer encoding.
    """

    status: int
    headers: Headers
    body: bytes
