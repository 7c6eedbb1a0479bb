"""One route: the requests that it takes and how they are to be served."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Its share, relative to the other services of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the operators' configuration.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host of the requests, in lower case and without a port.
    prefix : str
        Beginning of their paths; begins and ends with a slash.
    repeatable : bool
        Whether a request may run more than once.
    timeout : float
        Longest time that a request is kept waiting, in seconds.
    objective : float
        Time within which an answer counts fully, in seconds.
    priority : int
        Rank of the requests, 0 the most urgent.
    max_attempts : int
        Targets that one request may be sent to, for each shard.
    services : tuple of WeightedService
        Services of a route to one target; empty for a search.
    shards : tuple of str
        Shard services of a search; empty otherwise.
    top_count : int
        Records in the answer of a search.
    lowest_share : float
        Share of the shards below which a search fails.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    latency_objective: float
    priority: int
    max_attempts: int
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_k: int = 0
    lowest_coverage: float = 0.0
