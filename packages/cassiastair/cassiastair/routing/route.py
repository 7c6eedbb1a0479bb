"""Routes: which requests they match and how these are served."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the requests, relative to the weights of the route's other services.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration, to a single target or to the shards of a search.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host of the matched requests, in lower case and without a port.
    prefix : str
        Path prefix of the matched requests; it starts and ends with a slash.
    idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Time within which a request must be answered, in seconds.
    latency_objective : float
        Time within which an answer counts fully, in seconds.
    priority : int
        Priority of the requests; 0 is the most urgent.
    max_attempts : int
        Maximum number of targets that may run one request, for each shard.
    services : tuple of WeightedService
        Services of a route to a single target; empty for a search.
    shards : tuple of str
        Services of the shards of a search; empty otherwise.
    top_k : int
        Number of records in the answer of a search.
    lowest_coverage : float
        Share of the shards that a search needs to succeed.
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
