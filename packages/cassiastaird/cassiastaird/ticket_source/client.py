"""Client of the platform's watch protocol, see docs/TICKET-SOURCE.md."""

import orjson
import urllib3
from cassiastair.data import MAX_REVISION
from cassiastair.ticket_source import (
    PlatformEntry,
    PlatformError,
    PlatformPage,
    PlatformSource,
)

from ..strict_http import StrictConnectionPool

READ_MARGIN_S = 1.0  # time beyond the requested wait before a long poll times out
CONNECT_TIMEOUT_S = 1.0
MAX_PAGE_BYTES = 8_000_000
MAX_ERA = 2**53 - 1  # largest whole number that every JSON writer keeps exact


class HttpPlatformSource(PlatformSource):
    """Reads pages of published values with long polls.

    Parameters
    ----------
    url : str
        Base URL of the configuration service.
    """

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._pool_manager = urllib3.PoolManager(retries=False, maxsize=2)
        pool_classes = self._pool_manager.pool_classes_by_scheme
        self._pool_manager.pool_classes_by_scheme = {
            **pool_classes,
            "http": StrictConnectionPool,
        }

    def watch(self, after: int, wait: float) -> PlatformPage:
        """Return the values published after a revision, see `PlatformSource.watch`."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=wait + READ_MARGIN_S)
        url = f"{self._url}/v1/watch?after={after}&wait={wait:g}"
        try:
            response = self._pool_manager.request("GET", url, timeout=timeout)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PlatformError(f"no answer: {error}") from error
        if response.status != 200:
            raise PlatformError(f"status {response.status}")
        return decode_page(response.data)


def decode_page(raw: bytes) -> PlatformPage:
    """Decode a page of published values.

    Raises
    ------
    PlatformError
        If the page is too large or malformed.
    """
    if len(raw) > MAX_PAGE_BYTES:
        raise PlatformError("the page is too large")
    try:
        document = orjson.loads(raw)
        era = document.get("era", 0)
        if type(era) is not int or not 0 <= era <= MAX_ERA:
            raise ValueError(f"{era!r:.80} is not an era")
        entries = tuple(
            PlatformEntry(str(item["key"]), str(item["value"]).encode(), era)
            for item in document["entries"]
        )
        revision = int(document["revision"])
        if not 0 <= revision <= MAX_REVISION:
            raise ValueError(f"{revision} is not a revision")
        return PlatformPage(revision, entries, document.get("more") is True, era)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise PlatformError(f"the page is malformed: {error!r}") from error
