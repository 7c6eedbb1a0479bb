"""One attempt of a subrequest, sent to one target."""

from dataclasses import dataclass

from .key_range import KeyRange
from .snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class Attempt:
    """Content and deadline of one attempt at one target.

    Parameters
    ----------
    attempt_id : str
        Identity of the attempt, which the answer must echo.
    service : str
        Name of the service whose records are requested.
    snapshot : Snapshot
        Snapshot to answer from.
    key_range : KeyRange
        Keys to answer for.
    query : dict
        The caller's query, passed on unchanged.
    deadline : float
        Monotonic time in seconds after which the answer is not used any more.
    traceparent : str
        W3C ``traceparent`` header value for the span of the attempt.
    """

    attempt_id: str
    service: str
    snapshot: Snapshot
    key_range: KeyRange
    query: dict
    deadline: float
    traceparent: str = ""
