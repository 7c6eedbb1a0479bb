"""Collects a target's whole reply with its headers."""

from ..targets.reply_reader import BadReplyError, ReplyReader
from .http_message import HttpReply


class FullReplyReader(ReplyReader):
    """Also keeps headers, and takes replies that end with their connection."""

    __slots__ = ("_headers", "_head_done")

    def __init__(self):
        super().__init__()
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_done = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header of the first reply."""
        if self._begun == 1 and not self.done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note that the head is whole."""
        self._head_done = True

    def feed(self, data: bytes) -> None:
        """Take received bytes; none ends a reply without a length."""
        if data:
            super().feed(data)
        elif self._head_done and not self._has_length():
            self.done = True
            self.keeps_open = False
        else:
            raise BadReplyError("the connection was closed before the whole reply")

    def _has_length(self) -> bool:
        """Tell whether the reply says itself where it ends."""
        names = {name.lower() for name, _ in self._headers}
        return b"content-length" in names or b"transfer-encoding" in names

    def make_reply(self) -> HttpReply:
        """Return the reply, once it is done."""
        return HttpReply(self.status, tuple(self._headers), self.body)
