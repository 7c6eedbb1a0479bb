"""Reader of one HTTP reply, which collects what the parser's callbacks receive."""

import re

import httptools

from ..body_buffer import MAX_FRAMING_PER_BODY_BYTE, BodyBuffer
from .reply_memory import ReplyMemory

MAX_BODY_BYTES = 16_000_000
MAX_HEAD_BYTES = 65_536  # status line, headers and trailers together
STATUSES = range(100, 600)
INTERIM_STATUSES = range(100, 200)
# The space before an absent reason is often left out.
STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] ([0-9])[0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n"
)
MAX_QUOTED_BYTES = 80  # of a status line in an error
HEAD_END = b"\r\n\r\n"


class BadReplyError(OSError):
    """The bytes received on a connection are not one valid HTTP reply."""


class ReplyReader:
    """Passes received bytes to the parser until one reply is complete.

    Interim replies (status 1xx) before it are ignored. Bytes behind a complete reply
    belong to no request: they change nothing of it, and the connection is not reused.

    Parameters
    ----------
    memory : ReplyMemory, optional
        Account of the bytes that all readers hold; without it, only the length of
        this reply is bounded.

    Attributes
    ----------
    done : bool
        Whether the reply is complete.
    keep_alive : bool
        Whether the connection can be reused for another request.
    status : int
        HTTP status code of the reply; 0 until its head is complete.
    """

    __slots__ = (
        "done",
        "keep_alive",
        "status",
        "_parser",
        "_memory",
        "_body",
        "_received",
        "_unchecked",
        "_message_count",
    )

    def __init__(self, memory: ReplyMemory | None = None):
        self._parser = httptools.HttpResponseParser(self)
        self._memory = memory
        self._body = BodyBuffer()
        self.reset()

    def reset(self) -> None:
        """Make the reader ready for the next reply on the same connection."""
        self.done = False
        self.keep_alive = True
        self._received = 0
        # Bytes since the start of a status line that was not checked yet; None once
        # that of the final reply was.
        self._unchecked: bytes | None = b""
        self._forget_message()

    def _forget_message(self) -> None:
        """Drop what was read of a message, before the first or after an interim one."""
        self.status = 0
        self._body.clear()
        self._message_count = 0

    def take_body(self) -> bytes:
        """Return the body of the reply and release its memory."""
        body = self._body.take()
        self.release_memory()
        return body

    def release_memory(self) -> None:
        """Drop what was received, and its share in the account of all readers."""
        self._body.clear()
        if self._memory is not None:
            self._memory.release(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; empty bytes mean that the target closed the connection.

        Raises
        ------
        BadReplyError
            If the reply is not valid HTTP, is too large, or ends early.
        """
        if not data:
            raise BadReplyError("the connection was closed before the whole reply")
        if self._unchecked is not None:
            self._check_status_lines(self._unchecked + data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.keep_alive = False
            if not self.done:
                cause = error.__context__ or error  # a callback's error, if any
                raise BadReplyError(f"not an HTTP reply: {cause}") from error
        self._received += len(data)
        if self.done:
            return
        body_size = self._body.size
        framing = self._received - body_size
        if framing > MAX_HEAD_BYTES + MAX_FRAMING_PER_BODY_BYTE * body_size:
            raise BadReplyError(f"more than {MAX_HEAD_BYTES} bytes are not of a body")
        if body_size > MAX_BODY_BYTES:
            raise BadReplyError(f"the reply is larger than {MAX_BODY_BYTES} bytes")
        if self._memory is not None and not self._memory.hold(self, body_size):
            raise BadReplyError(
                f"replies hold more than {self._memory.limit} bytes together"
            )

    def _check_status_lines(self, data: bytes) -> None:
        """Check the status lines of interim replies and of the reply behind them.

        The parser skips empty lines before a status line, and accepts any bytes as the
        reason, other protocols and other versions.

        Parameters
        ----------
        data : bytes
            All that was received from the start of an unchecked status line on.

        Raises
        ------
        BadReplyError
            If a status line is not one of HTTP/1.0 or HTTP/1.1.
        """
        start = 0
        while line_end := data.find(b"\n", start) + 1:
            line = STATUS_LINE.fullmatch(data, start, line_end)
            if line is None:
                text = data[start : min(line_end, start + MAX_QUOTED_BYTES)]
                raise BadReplyError(f"not a status line of HTTP/1.1: {text!r}")
            if line[1] != b"1":
                self._unchecked = None
                return
            head_end = data.find(HEAD_END, line_end - 2)
            if head_end < 0:
                break
            start = head_end + len(HEAD_END)
        self._unchecked = data[start:]

    def on_message_begin(self) -> None:
        """Count a reply that starts; after a second one the connection is closed."""
        self._message_count += 1
        if self._message_count > 1:
            self.keep_alive = False

    def on_headers_complete(self) -> None:
        """Keep the status of the first reply, which must be one of HTTP.

        The parser accepts any three digits, and its own status changes with the first
        bytes of a second reply.

        Raises
        ------
        BadReplyError
            If the status is out of range.
        """
        if self._message_count == 1:
            status = self._parser.get_status_code()
            if status not in STATUSES:
                raise BadReplyError(f"status {status:03} is not from 100 to 599")
            self.status = status

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body of the first reply."""
        if self._message_count == 1:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Record that the reply is complete and whether the target closes after it."""
        if not self.done and self.status in INTERIM_STATUSES:
            self._forget_message()
            return
        self.done = True
        if not self._parser.should_keep_alive():
            self.keep_alive = False
