"""Reads the pages of daemons."""

from dataclasses import dataclass

import orjson
import urllib3

TIMEOUT_S = 5.0


class UnreachableError(Exception):
    """A daemon could not be asked."""


@dataclass(frozen=True, slots=True)
class Page:
    """A page of a daemon.

    Parameters
    ----------
    status : int
        HTTP status.
    body : dict
        JSON body.
    """

    status: int
    body: dict


def read_page(daemon: str, path: str) -> Page:
    """Read a page.

    Parameters
    ----------
    daemon : str
        HOST:PORT of a daemon's interface for callers.
    path : str
        Path of the page.

    Raises
    ------
    UnreachableError
        If the daemon gives no usable answer.
    """
    url = f"http://{daemon}{path}"
    try:
        reply = urllib3.request("GET", url, timeout=TIMEOUT_S, retries=False)
        return Page(reply.status, orjson.loads(reply.data))
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        raise UnreachableError(f"{daemon}: {error}") from error
