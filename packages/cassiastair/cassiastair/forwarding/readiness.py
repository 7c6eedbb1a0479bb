"""Readiness of this VM, judged by the targets that it can reach.

A data centre may be cut off from the targets in other data centres while callers still
reach it. Its VMs then lack the targets for most requests. Once none of them
reports to be ready, the platform sends the callers to other data centres.
"""

from ..routing import Route, RoutingTable
from .target_registry import RoutedTargetRegistry

MIN_SERVED_SHARE = 0.5  # share of the routes that a ready VM must be able to serve


class RouteReadiness:
    """Checks how many of the routes can be served by reachable targets.

    Parameters
    ----------
    table : RoutingTable
        Current routes.
    registry : RoutedTargetRegistry
        Targets of each service.
    """

    def __init__(self, table: RoutingTable, registry: RoutedTargetRegistry):
        self._table = table
        self._registry = registry

    def is_ready(self) -> bool:
        """Return True if at least `MIN_SERVED_SHARE` of the routes can be served.

        Routes whose services have no targets at all are not counted: no VM can
        serve them. Before the first configuration the result is False.
        """
        configuration = self._table.configuration
        if configuration is None:
            return False
        known = [route for route in configuration.routes if self._has_targets(route)]
        if not known:
            return False
        served = sum(1 for route in known if self._can_serve(route))
        return served >= MIN_SERVED_SHARE * len(known)

    def _has_targets(self, route: Route) -> bool:
        """Return True if any service of a route has a target."""
        services = route.shards or [part.service for part in route.services]
        return any(self._registry.candidates(service) for service in services)

    def _can_serve(self, route: Route) -> bool:
        """Return True if enough targets of a route can be reached to serve requests."""
        if not route.shards:
            return any(
                self._registry.has_reachable_target(part.service)
                for part in route.services
            )
        reached = sum(
            1 for shard in route.shards if self._registry.has_reachable_target(shard)
        )
        return reached >= route.lowest_coverage * len(route.shards)
