"""Request type of a search or lookup."""

from dataclasses import dataclass

from ..data import KeyRange, Service
from ..traces import TraceContext


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """A query, what it searches, and its deadline.

    Parameters
    ----------
    index : str
        Index that is searched.
    query : dict
        Query of the caller; it is passed on to the targets unchanged.
    deadline : float
        Monotonic time in seconds at which the answer is due.
    lowest_version : int
        Oldest version that the caller accepts.
    key : int or None
        Key of a lookup; None for a search over the whole index.
    service : str or None
        Service of a lookup; None for a search.
    trace : TraceContext
        Trace context of the request, parent of all spans of the search.
    """

    index: str
    query: dict
    deadline: float
    trace: TraceContext
    lowest_version: int = 0
    key: int | None = None
    service: str | None = None

    def select_shards(self, service: Service) -> tuple[KeyRange, ...]:
        """Return the shards of a service that the request needs."""
        if self.key is None:
            return service.shards
        return tuple(shard for shard in service.shards if shard.contains(self.key))
