"""Collects callers' requests from the bytes of one connection."""

from collections import deque

import httptools
from cassiastair.errors import CassiastairError, MalformedRequestError, TooLargeError
from cassiastair.routing import CallerLimits

from .http_message import HttpRequest


class HeadersTooLargeError(CassiastairError):
    """The head of a request is larger than the limit."""

    code = "headers_too_large"
    status = 431
    remedy = "send fewer or shorter headers"
    outcome = "not_run"


class RequestReader:
    """Feeds received bytes to the parser and keeps the whole requests.

    Parameters
    ----------
    limits : CallerLimits
        What callers may send.

    Attributes
    ----------
    requests : deque of (HttpRequest, bool)
        Whole requests, each with whether the connection stays open after it.
    partial : bool
        Whether a request has begun and is not whole.
    continues : bool
        Whether the caller waits for leave to send a body.
    """

    def __init__(self, limits: CallerLimits):
        self.limits = limits
        self.requests: deque[tuple[HttpRequest, bool]] = deque()
        self.partial = False
        self.in_body = False
        self.continues = False
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        """Forget the request that was read."""
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_size = 0
        self._body: list[bytes] = []
        self._body_size = 0

    def feed(self, data: bytes) -> None:
        """Take received bytes.

        Raises
        ------
        MalformedRequestError, HeadersTooLargeError, TooLargeError
            If the connection cannot go on; requests read before it stand.
        """
        if not self.in_body:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, CassiastairError):
                raise cause from error
            raise MalformedRequestError(f"not an HTTP request: {error}") from error
        except httptools.HttpParserUpgrade as error:
            raise MalformedRequestError("upgrades are not served") from error
        except httptools.HttpParserError as error:
            raise MalformedRequestError(f"not an HTTP request: {error}") from error
        if self.partial and not self.in_body:
            if self._head_size > self.limits.header_bytes + len(data):
                raise HeadersTooLargeError("the head is larger than the limit")

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.partial = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self._url += url
        if len(self._url) > self.limits.header_bytes:
            raise HeadersTooLargeError("the request target is larger than the limit")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name, value))
        size = sum(len(n) + len(v) + 4 for n, v in self._headers)
        if size > self.limits.header_bytes:
            raise HeadersTooLargeError("the head is larger than the limit")

    def on_headers_complete(self) -> None:
        """Look at what the headers say of the body."""
        self.in_body = True
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"content-length" and value.strip().isdigit():
                if int(value) > self.limits.body_bytes:
                    raise TooLargeError("the body is larger than the limit")
            elif lower == b"expect" and value.lower() == b"100-continue":
                self.continues = True

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)
        self._body_size += len(body)
        if self._body_size > self.limits.body_bytes:
            raise TooLargeError("the body is larger than the limit")

    def on_message_complete(self) -> None:
        """Keep the whole request."""
        request = HttpRequest(
            self._parser.get_method(),
            self._url,
            tuple(self._headers),
            b"".join(self._body),
        )
        self.requests.append((request, self._parser.should_keep_alive()))
        self.partial = False
        self.in_body = False
        self.continues = False
        self._reset()
