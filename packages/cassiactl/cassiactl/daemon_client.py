"""HTTP client for the JSON pages of daemons."""

from dataclasses import dataclass

import orjson
import urllib3

TIMEOUT_S = 5.0


class UnreachableError(Exception):
    """A daemon did not answer, or its answer is not JSON."""


@dataclass(frozen=True, slots=True)
class Page:
    """JSON page that a daemon returned.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : dict
        Decoded JSON body.
    """

    status: int
    body: dict


def read_page(daemon: str, path: str) -> Page:
    """Read a page of a daemon, also if its status is an error.

    Parameters
    ----------
    daemon : str
        HOST:PORT of a daemon's interface for callers.
    path : str
        Path of the page.

    Raises
    ------
    UnreachableError
        If the daemon does not answer, or its answer is not JSON.
    """
    url = f"http://{daemon}{path}"
    try:
        reply = urllib3.request("GET", url, timeout=TIMEOUT_S, retries=False)
        return Page(reply.status, orjson.loads(reply.data))
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        raise UnreachableError(f"{daemon}: {error}") from error
