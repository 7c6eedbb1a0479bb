"""HTTP client classes that refuse replies whose head is malformed.

The standard library skips the rest of a head behind a line that it cannot read, and
then finds the end of the body by other rules than its sender. Statuses are left to the
callers, which accept only those that they know.
"""

import re
from http.client import HTTPException, HTTPResponse

import urllib3

# Control bytes other than the tab; a folded field holds the end of a line.
FORBIDDEN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class MalformedHeadError(HTTPException):
    """The head of a reply does not follow the grammar of HTTP/1.1."""


class StrictResponse(HTTPResponse):
    """Reply whose head is checked after it was read."""

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        MalformedHeadError
            If a field cannot be read, or the reason or a value has a control byte.
        """
        super().begin()
        if self.msg.defects:
            raise MalformedHeadError(f"malformed fields: {self.msg.defects!r}")
        for text in (self.reason, *self.msg.values()):
            if FORBIDDEN.search(text):
                raise MalformedHeadError(f"control byte in {text!r:.80}")


class StrictConnection(urllib3.connection.HTTPConnection):
    """Connection whose replies have well-formed heads."""

    response_class = StrictResponse


class StrictConnectionPool(urllib3.HTTPConnectionPool):
    """Pool of connections whose replies have well-formed heads."""

    ConnectionCls = StrictConnection
