"""Entry point of the package: finds the route of a request and serves it."""

from ..errors import NoRouteError, NotConfiguredError
from ..routing import Route
from .answer import CallerAnswer
from .dependencies import ForwardingDependencies
from .request import CallerRequest
from .scatter import Scatter
from .single import SingleForward


class Forwarder:
    """Serves callers' requests according to the current routes.

    Parameters
    ----------
    deps : ForwardingDependencies
        Collaborators.
    """

    def __init__(self, deps: ForwardingDependencies):
        self._deps = deps

    def find_route(self, request: CallerRequest) -> Route:
        """Return the route of a request.

        Raises
        ------
        NotConfiguredError
            If no configuration has been received yet.
        NoRouteError
            If no route matches the host and path of the request.
        """
        table = self._deps.table
        if table.configuration is None:
            raise NotConfiguredError("no configuration has been received yet")
        route = table.find_route(request.host, request.path)
        if route is None:
            raise NoRouteError(f"no route matches {request.host}{request.path[:80]}")
        return route

    def run(self, route: Route, request: CallerRequest) -> CallerAnswer:
        """Serve a request and return its answer.

        Raises
        ------
        CassiastairError
            If the request cannot be answered. Its `outcome` says whether the
            request has run.
        """
        if route.shards:
            return Scatter(self._deps, route, request).run()
        return SingleForward(self._deps, route, request).run()
