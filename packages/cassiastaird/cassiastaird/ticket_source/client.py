"""The client of the platform's read-and-watch protocol, see docs/TICKET-SOURCE.md."""

import orjson
import urllib3
from cassiastair.ticket_source import (
    PlatformEntry,
    PlatformError,
    PlatformPage,
    PlatformSource,
)

MARGIN_S = 1.0  # time beyond the wait after which a watch counts as silent
CONNECT_TIMEOUT_S = 1.0
MAX_PAGE_BYTES = 8_000_000


class HttpPlatform(PlatformSource):
    """Reads pages with long polls.

    Parameters
    ----------
    url : str
        URL of the platform.
    """

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._http = urllib3.PoolManager(retries=False, maxsize=2)

    def watch(self, after: int, wait: float) -> PlatformPage:
        """Return what was published after a revision."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=wait + MARGIN_S)
        url = f"{self._url}/v1/watch?after={after}&wait={wait:g}"
        try:
            response = self._http.request("GET", url, timeout=timeout)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PlatformError(f"no answer: {error}") from error
        if response.status != 200:
            raise PlatformError(f"status {response.status}")
        return decode_page(response.data)


def decode_page(raw: bytes) -> PlatformPage:
    """Return a page.

    Raises
    ------
    PlatformError
        If it is malformed.
    """
    if len(raw) > MAX_PAGE_BYTES:
        raise PlatformError("the page is too large")
    try:
        document = orjson.loads(raw)
        entries = tuple(
            PlatformEntry(str(item["key"]), str(item["value"]).encode())
            for item in document["entries"]
        )
        revision = int(document["revision"])
        return PlatformPage(revision, entries, document.get("more") is True)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise PlatformError(f"the page is malformed: {error!r}") from error
