"""One HTTP connection to a target."""

from cassiastair.clock import Clock
from cassiastair.data import Target
from urllib3.connection import HTTPConnection

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 16_000_000


class AnswerTooLargeError(OSError):
    """A target's answer is larger than the limit."""


class TargetConnection:
    """A connection that is open from the start.

    Parameters
    ----------
    target : Target
        Where to connect.
    clock : Clock
        Source of time.

    Raises
    ------
    OSError
        If no connection can be made.
    """

    def __init__(self, target: Target, clock: Clock):
        self._http = HTTPConnection(target.host, target.port, timeout=CONNECT_TIMEOUT_S)
        self._http.connect()
        # The task that waits is bounded by its deadline, so no timer for each read.
        self._http.sock.settimeout(None)
        self.answered_at = clock.now()
        self.reusable = True

    def exchange(self, method: str, path: str, body: bytes | None, headers: dict):
        """Send a request and return status and body of the answer.

        Raises
        ------
        OSError, http.client.HTTPException, urllib3.exceptions.HTTPError
            If the connection breaks or the answer is not HTTP.
        """
        self._http.request(
            method,
            path,
            body=body,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
        response = self._http.getresponse()
        if int(response.headers.get("content-length", "0")) > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError("the answer is too large")
        data = response.read()
        self.reusable = response.headers.get("connection", "").lower() != "close"
        return response.status, data

    def is_dropped(self) -> bool:
        """Tell whether the other end has closed the connection."""
        return not self._http.is_connected

    def close(self) -> None:
        """Close the connection."""
        self._http.close()
