"""One subrequest to one target."""

from dataclasses import dataclass

from .key_range import KeyRange
from .snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class Attempt:
    """A subrequest: what one target is asked, and until when.

    Parameters
    ----------
    attempt_id : str
        Identity that the answer must echo.
    service : str
        Service of the records.
    snapshot : Snapshot
        Snapshot to answer from.
    key_range : KeyRange
        Keys to answer for.
    query : dict
        The caller's query, passed on unread.
    deadline : float
        Monotonic time, in seconds, after which the answer is of no use.
    traceparent : str
        W3C ``traceparent`` of the attempt's span.
    """

    attempt_id: str
    service: str
    snapshot: Snapshot
    key_range: KeyRange
    query: dict
    deadline: float
    traceparent: str = ""
