"""Table of the current routes."""

import random

from .configuration import CallerLimits, RoutingConfiguration
from .route import Route
from .weighted_round_robin import SmoothWeightedRoundRobin


class RoutingTable:
    """Finds the routes of requests in the newest configuration received so far.

    Parameters
    ----------
    rng : random.Random
        Random number generator for the phases of the weighted round robins.

    Attributes
    ----------
    configuration : RoutingConfiguration or None
        Current configuration; None until the first one is received.
    limits : CallerLimits
        Current limits on callers.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.configuration: RoutingConfiguration | None = None
        self.limits = CallerLimits()
        self._by_host: dict[str, list[Route]] = {}
        self._round_robins: dict[str, tuple[tuple, SmoothWeightedRoundRobin]] = {}

    @property
    def version(self) -> int:
        """Version of the current configuration, -1 before the first."""
        return -1 if self.configuration is None else self.configuration.version

    def update(self, configuration: RoutingConfiguration) -> bool:
        """Apply a configuration unless it is outdated; return whether it was applied.

        A configuration is outdated if its version is not higher than the current one.
        """
        if configuration.version <= self.version:
            return False
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_host = by_host
        self._round_robins = {
            route.name: self._make_round_robin(route) for route in configuration.routes
        }
        self.limits = configuration.limits
        self.configuration = configuration
        return True

    def _make_round_robin(self, route: Route) -> tuple[tuple, SmoothWeightedRoundRobin]:
        """Return a route's round robin; it continues if the weights are unchanged."""
        known = self._round_robins.get(route.name)
        if known is not None and known[0] == route.services:
            return known
        return route.services, SmoothWeightedRoundRobin(
            route.services, self._rng.random()
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the matching route with the longest prefix; None if no route matches.

        Parameters
        ----------
        host : str
            Host in lower case, without a port.
        path : str
            Path without the query string.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def choose_service(self, route: Route) -> str:
        """Return the service for the next request of a route with weighted services."""
        return self._round_robins[route.name][1].choose()

    def referenced_services(self) -> set[str]:
        """Return the names of all services that the current routes refer to."""
        if self.configuration is None:
            return set()
        return {
            name
            for route in self.configuration.routes
            for name in (*route.shards, *(s.service for s in route.services))
        }
