"""HTTP replies to callers and operators."""

from dataclasses import dataclass
from http import HTTPStatus

import orjson


@dataclass(frozen=True, slots=True)
class ApiReply:
    """Status, body and content type of a reply.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        Encoded body.
    content_type : str
        Value of the ``Content-Type`` header.
    """

    status: int
    body: bytes
    content_type: str = "application/json"

    @property
    def status_line(self) -> str:
        """Status code with its standard reason phrase."""
        try:
            return f"{self.status} {HTTPStatus(self.status).phrase}"
        except ValueError:
            return f"{self.status} Unknown"


def reply_json(status: int, document: dict) -> ApiReply:
    """Return a reply with a JSON body; values unknown to JSON become strings."""
    return ApiReply(status, orjson.dumps(document, default=str))
