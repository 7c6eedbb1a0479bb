"""Entry point of the package: finds the route of a request and serves it."""

from ..errors import NoRouteError, NotConfiguredError, StoppingError
from ..routing import Route
from .answer import CallerAnswer
from .answer_deadlines import find_deadline
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
        self._running: set[Scatter | SingleForward] = set()
        self._stop_at = float("inf")

    def begin_stop(self, stop_at: float) -> None:
        """Refuse requests that may last longer than this VM runs.

        Parameters
        ----------
        stop_at : float
            Time at which the requests in progress are abandoned, in seconds.
        """
        self._stop_at = stop_at

    def finish_all(self) -> None:
        """End all requests in progress, each with the answer that it can give now."""
        for running in list(self._running):
            running.finish()

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
        deadline = find_deadline(route, request.received_at, request.caller_timeout)
        if deadline > self._stop_at:
            raise StoppingError("this VM stops before the request's deadline")
        make = Scatter if route.shards else SingleForward
        running = make(self._deps, route, request)
        self._running.add(running)
        try:
            return running.run()
        finally:
            self._running.discard(running)
