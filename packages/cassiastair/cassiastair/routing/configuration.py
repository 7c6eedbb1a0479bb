"""One version of the operators' configuration."""

from dataclasses import dataclass

from .route import Route


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take.

    The defaults hold until the first configuration is known.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest head and body of a request.
    header_timeout : float
        Seconds for a request's head, from its first byte.
    idle_timeout : float
        Seconds for which a connection may stay without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """Routes, connection limits and callers' limits under one version.

    Parameters
    ----------
    version : int
        Rises with each change.
    routes : tuple of Route
        All routes.
    connections : dict of str to int
        Connections that each target of a service accepts from all callers.
    limits : CallerLimits
        What callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    connection_limits: dict[str, int]
    limits: CallerLimits
