"""Configuration of the routes, as operators publish it under a version."""

from dataclasses import dataclass, field

from .route import Route


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    The defaults apply until the first configuration is received.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of the head and of the body of a request.
    header_timeout : float
        Seconds within which the head of a request must arrive, counted from its
        first byte.
    idle_timeout : float
        Seconds for which a connection may stay open without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Version number; each change increases it.
    routes : tuple of Route
        All routes.
    connection_limits : dict of str to int
        Connections that each target of a service accepts from all VMs together.
    limits : CallerLimits
        Limits on callers.
    health_paths : dict of str to str
        Path at which the targets of a service say who they are.
    """

    version: int
    routes: tuple[Route, ...]
    connection_limits: dict[str, int]
    limits: CallerLimits
    health_paths: dict[str, str] = field(default_factory=dict)
