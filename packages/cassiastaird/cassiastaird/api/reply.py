"""HTTP replies."""

from dataclasses import dataclass
from http import HTTPStatus

import orjson


@dataclass(frozen=True, slots=True)
class ApiReply:
    """A reply before it is written.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Body.
    content_type : str
        Type of the body.
    """

    status: int
    body: bytes
    content_type: str = "application/json"

    @property
    def status_line(self) -> str:
        """Status with its usual phrase."""
        try:
            return f"{self.status} {HTTPStatus(self.status).phrase}"
        except ValueError:
            return f"{self.status} Unknown"


def reply_json(status: int, document: dict) -> ApiReply:
    """Return a reply with a JSON body."""
    return ApiReply(status, orjson.dumps(document, default=str))
