"""From a caller's request to its answer."""

from ..errors import NoRouteError, NotConfiguredError
from ..routing import Route
from .answer import CallerAnswer
from .dependencies import ForwardingDependencies
from .request import CallerRequest
from .scatter import Scatter
from .single import SingleForward


class Forwarder:
    """Serves requests by the routes in force.

    Parameters
    ----------
    parts : ForwardingDependencies
        Collaborators.
    """

    def __init__(self, parts: ForwardingDependencies):
        self._parts = parts

    def find_route(self, request: CallerRequest) -> Route:
        """Return the route of a request.

        Raises
        ------
        NotConfiguredError
            If no configuration is known yet.
        NoRouteError
            If no route takes the request.
        """
        table = self._parts.table
        if table.configuration is None:
            raise NotConfiguredError("no configuration is known yet")
        route = table.find_route(request.host, request.path)
        if route is None:
            raise NoRouteError(f"no route takes {request.host}{request.path[:80]}")
        return route

    def run(self, route: Route, request: CallerRequest) -> CallerAnswer:
        """Answer a request.

        Raises
        ------
        CassiastairError
            If it cannot be answered; the error tells whether it has run.
        """
        if route.shards:
            return Scatter(self._parts, route, request).run()
        return SingleForward(self._parts, route, request).run()
