"""Whether this VM can reach enough targets to take callers' work.

Load: a data centre is cut off while callers still reach it. Its VMs then have too
few targets for most requests, and callers are served better by other VMs, to which
the platform sends them once none here is ready.
"""

from ..routing import Route, RoutingTable
from .target_registry import RoutedTargetRegistry

LOWEST_SERVED = 0.5  # share of the routes that a ready VM can serve


class RouteReadiness:
    """Judges from the targets in reach which routes can be served.

    Parameters
    ----------
    table : RoutingTable
        Routes in force.
    book : RoutedTargetRegistry
        Targets.
    """

    def __init__(self, table: RoutingTable, book: RoutedTargetRegistry):
        self._table = table
        self._book = book

    def is_ready(self) -> bool:
        """Tell whether half of the routes or more can be served.

        Routes whose services have no targets at all say nothing of this VM.
        """
        configuration = self._table.configuration
        if configuration is None:
            return False
        known = [route for route in configuration.routes if self._has_targets(route)]
        if not known:
            return False
        served = sum(1 for route in known if self._can_serve(route))
        return served >= LOWEST_SERVED * len(known)

    def _has_targets(self, route: Route) -> bool:
        """Tell whether any target of a route is known."""
        services = route.shards or [part.service for part in route.services]
        return any(self._book.candidates(service) for service in services)

    def _can_serve(self, route: Route) -> bool:
        """Tell whether a route's requests have a chance."""
        if not route.shards:
            return any(self._book.can_reach(part.service) for part in route.services)
        reached = sum(1 for shard in route.shards if self._book.can_reach(shard))
        return reached >= route.lowest_coverage * len(route.shards)
