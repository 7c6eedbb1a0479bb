"""Parses callers' requests from the bytes of one connection."""

from collections import deque

import httptools
from cassiastair.errors import CassiastairError, MalformedRequestError, TooLargeError
from cassiastair.routing import CallerLimits

from ..body_buffer import MAX_FRAMING_PER_BODY_BYTE, BodyBuffer
from .http_message import HttpRequest

# Of received bytes; a chunk of 48 bytes has a frame of 6.
SMALL_CHUNKS_BODY_SHARE = 0.9


class HeadersTooLargeError(CassiastairError):
    """The head of a request is larger than the limit."""

    code = "headers_too_large"
    status = 431
    remedy = "send fewer or shorter headers"
    outcome = "not_run"


class RequestReader:
    """Parses received bytes and queues the complete requests.

    The methods `on_...` are callbacks of the parser.

    Parameters
    ----------
    limits : CallerLimits
        Limits on the size of a request's head and body.

    Attributes
    ----------
    requests : deque of (HttpRequest, bool)
        Complete requests, each with whether the connection stays open after it.
    partial : bool
        Whether a request has begun and is incomplete.
    in_body : bool
        Whether the head of that request is complete.
    expects_continue : bool
        Whether the caller waits for `100 Continue` before it sends the body.
    announced_length : int or None
        Length of the body of that request; None if its head does not state it.
    has_small_chunks : bool
        Whether a part of that body was in chunks so small that they cost much
        processor time.
    """

    def __init__(self, limits: CallerLimits):
        self.limits = limits
        self.requests: deque[tuple[HttpRequest, bool]] = deque()
        self.partial = False
        self.in_body = False
        self.expects_continue = False
        self.announced_length: int | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._body = BodyBuffer()
        self._reset()

    def _reset(self) -> None:
        """Clear the parts of the previous request."""
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._headers_size = 0
        self._head_size = 0
        self.announced_length = None
        self.has_small_chunks = False
        self._body.clear()
        self._received_in_body = 0

    @property
    def header_count(self) -> int:
        """Number of headers of the request that has begun."""
        return len(self._headers)

    @property
    def body_size(self) -> int:
        """Bytes of the body that have arrived of the request that has begun."""
        return self._body.size

    @property
    def missing_body_bytes(self) -> int:
        """Bytes that a body of stated length lacks; 0 for other requests."""
        if self.announced_length is None:
            return 0
        return self.announced_length - self._body.size

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        MalformedRequestError, HeadersTooLargeError, TooLargeError
            If the connection cannot be read further; requests that were complete
            before stay queued.
        """
        was_in_body, body_size = self.in_body, self._body.size
        if was_in_body:
            self._received_in_body += len(data)
        else:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, CassiastairError):
                raise cause from error
            raise MalformedRequestError(f"not an HTTP request: {error}") from error
        except httptools.HttpParserUpgrade as error:
            raise MalformedRequestError("upgrades are not supported") from error
        except httptools.HttpParserError as error:
            raise MalformedRequestError(f"not an HTTP request: {error}") from error
        if self.partial and not self.in_body:
            if self._head_size > self.limits.header_bytes + len(data):
                raise HeadersTooLargeError("the head is larger than the limit")
        if was_in_body and self.in_body and self.announced_length is None:
            added = self._body.size - body_size
            if added < SMALL_CHUNKS_BODY_SHARE * len(data):
                self.has_small_chunks = True
        framing = self._received_in_body - self._body.size
        allowed = MAX_FRAMING_PER_BODY_BYTE * self._body.size + len(data)
        if framing > self.limits.header_bytes + allowed:
            raise HeadersTooLargeError("chunk frames and trailers exceed the limit")

    def close(self) -> None:
        """Drop what was received; parser and reader refer to each other.

        Without this, bodies would stay until the next collection of garbage.
        """
        self.requests.clear()
        self.drop_unfinished()

    def drop_unfinished(self) -> None:
        """Drop what was received of an incomplete request, which is refused."""
        self._reset()

    def on_message_begin(self) -> None:
        """Record that a request has begun."""
        self.partial = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target and check its size."""
        self._url += url
        if len(self._url) > self.limits.header_bytes:
            raise HeadersTooLargeError("the request target is larger than the limit")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header and check the size of the head; trailers are dropped."""
        if self.in_body:
            return
        self._headers.append((name, value))
        self._headers_size += len(name) + len(value) + 4
        if self._headers_size > self.limits.header_bytes:
            raise HeadersTooLargeError("the head is larger than the limit")

    def on_headers_complete(self) -> None:
        """Check the announced size of the body and whether the caller waits."""
        self.in_body = True
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"content-length" and value.strip().isdigit():
                if int(value) > self.limits.body_bytes:
                    raise TooLargeError("the body is larger than the limit")
                self.announced_length = int(value)
            elif lower == b"expect" and value.lower() == b"100-continue":
                self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body and check its size."""
        self._body.append(body)
        if self._body.size > self.limits.body_bytes:
            raise TooLargeError("the body is larger than the limit")

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        request = HttpRequest(
            self._parser.get_method(),
            self._url,
            tuple(self._headers),
            self._body.take(),
        )
        self.requests.append((request, self._parser.should_keep_alive()))
        self.partial = False
        self.in_body = False
        self.expects_continue = False
        self._reset()
