"""Parses a target's complete reply with its headers."""

from ..targets.reply_reader import INTERIM_STATUSES, BadReplyError, ReplyReader
from .http_message import HttpReply

TRANSFER_ENCODING = b"transfer-encoding"
HTTP_1_0 = "1.0"  # has no transfer codings


class FullReplyReader(ReplyReader):
    """Reply reader that keeps headers and accepts replies ended by a close.

    Attributes
    ----------
    expects_body : bool
        Whether a body may follow the head, which is not so after HEAD. The parser would
        wait for it, so a connection is not reused after such a reply.
    """

    __slots__ = ("expects_body", "_headers", "_head_done")

    def reset(self) -> None:
        """Make the reader ready for the next reply on the same connection."""
        super().reset()
        self.expects_body = True

    def _forget_message(self) -> None:
        """Drop the headers too."""
        super()._forget_message()
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_done = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the first reply; trailers and other replies are ignored."""
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check how the body is encoded; a reply to HEAD ends here."""
        super().on_headers_complete()
        if self.status not in INTERIM_STATUSES:
            self._check_transfer_coding()
        self._head_done = True
        if not self.expects_body and self.status not in INTERIM_STATUSES:
            self.done = True
            self.keep_alive = False

    def _check_transfer_coding(self) -> None:
        """Check that the body is in no other transfer coding than chunks.

        The parser decodes the chunks of a body if that is its last coding, whatever
        other coding it has.

        Raises
        ------
        BadReplyError
            If the body has another coding, or the version of the reply has none.
        """
        values = [v for name, v in self._headers if name.lower() == TRANSFER_ENCODING]
        if not values:
            return
        codings = [coding.strip(b" ") for coding in b",".join(values).split(b",")]
        named = [coding.lower() for coding in codings if coding]
        if named != [b"chunked"] or self._parser.get_http_version() == HTTP_1_0:
            raise BadReplyError(f"the transfer coding {values!r} is not supported")

    def feed(self, data: bytes) -> None:
        """Parse received bytes; none means that the connection was closed.

        A close ends a reply whose headers define no length.

        Raises
        ------
        BadReplyError
            If the reply is malformed, too long or truncated.
        """
        if data:
            super().feed(data)
        elif self._head_done and not self._has_length():
            self.done = True
            self.keep_alive = False
        else:
            raise BadReplyError("the connection was closed before the whole reply")

    def _has_length(self) -> bool:
        """Return True if the headers define where the body ends."""
        names = {name.lower() for name, _ in self._headers}
        return b"content-length" in names or TRANSFER_ENCODING in names

    def build_reply(self) -> HttpReply:
        """Return the reply; it must be done."""
        body = self.take_body()
        if not self.expects_body:
            body = b""
        return HttpReply(self.status, tuple(self._headers), body)
