"""The configuration in force, arranged for look-ups."""

import random

from .configuration import CallerLimits, RoutingConfiguration
from .route import Route
from .weighted_round_robin import SmoothWeightedRoundRobin


class RoutingTable:
    """Finds the route of a request; a version never gives way to an older one.

    Parameters
    ----------
    source : random.Random
        Source of the phases of weighted splits.

    Attributes
    ----------
    configuration : RoutingConfiguration or None
        What is in force; None until the first one is known.
    limits : CallerLimits
        What callers may send now.
    """

    def __init__(self, source: random.Random):
        self._source = source
        self.configuration: RoutingConfiguration | None = None
        self.limits = CallerLimits()
        self._by_host: dict[str, list[Route]] = {}
        self._splits: dict[str, tuple[tuple, SmoothWeightedRoundRobin]] = {}

    @property
    def version(self) -> int:
        """Version in force; -1 before the first."""
        return -1 if self.configuration is None else self.configuration.version

    def update(self, configuration: RoutingConfiguration) -> bool:
        """Bring a configuration in force; tell whether it was newer."""
        if configuration.version <= self.version:
            return False
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_host = by_host
        self._splits = {
            route.name: self._make_split(route) for route in configuration.routes
        }
        self.limits = configuration.limits
        self.configuration = configuration
        return True

    def _make_split(self, route: Route) -> tuple[tuple, SmoothWeightedRoundRobin]:
        """Return a route's split; one whose weights stay goes on where it was."""
        known = self._splits.get(route.name)
        if known is not None and known[0] == route.services:
            return known
        return route.services, SmoothWeightedRoundRobin(
            route.services, self._source.random()
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path; None if none fits.

        Parameters
        ----------
        host : str
            Host in lower case, without a port.
        path : str
            Path without the query.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def choose_service(self, route: Route) -> str:
        """Return the service that gets the next request of a route."""
        return self._splits[route.name][1].choose()

    def referenced_services(self) -> set[str]:
        """Return the services that requests may be sent to."""
        if self.configuration is None:
            return set()
        return {
            name
            for route in self.configuration.routes
            for name in (*route.shards, *(s.service for s in route.services))
        }
