"""Latency statistics of each route.

They determine the delay of hedges. The mean of a route is also the unit in which
latencies of targets are expressed, so that routes can be compared.
"""

from ..clock import Clock
from ..hedging.quantile import RollingQuantile
from ..routing import Route

HEDGE_QUANTILE = 0.90  # a tenth of the sends is hedged; the budget allows a fifth
# Delay of a hedge as a share of the latency objective: bounds, and the value used until
# enough latencies have been observed.
MIN_HEDGE_SHARE = 0.20
MAX_HEDGE_SHARE = 0.50
INITIAL_HEDGE_SHARE = 0.38
INITIAL_MEAN_SHARE = 0.2  # assumed mean latency at first, as a share of the objective
MEAN_SMOOTHING = 0.03  # weight of a new latency in the moving average
IN_TIME_SMOOTHING = 0.1  # weight of a new search in the share of searches in time
# Share of searches in time from which targets abandon sends at the objective.
MIN_IN_TIME_SHARE = 0.7


class RouteLatency:
    """Latencies of the sends of one route.

    Parameters
    ----------
    clock : Clock
        Source of time.
    latency_objective : float
        Time within which an answer counts fully, in seconds.

    Attributes
    ----------
    mean : float
        Moving average of the latencies of successful sends, in seconds.
    """

    __slots__ = ("latency_objective", "mean", "_in_time_share", "_quantiles")

    def __init__(self, clock: Clock, latency_objective: float):
        self.latency_objective = latency_objective
        self.mean = INITIAL_MEAN_SHARE * latency_objective
        self._in_time_share = 0.5
        self._quantiles = RollingQuantile(clock)

    def observe(self, latency: float) -> float:
        """Record the latency of a successful send, in seconds.

        Returns
        -------
        float
            Ratio of the latency to the mean.
        """
        self._quantiles.observe(latency)
        self.mean += MEAN_SMOOTHING * (latency - self.mean)
        return latency / max(self.mean, 1e-4)

    @property
    def is_mostly_in_time(self) -> bool:
        """Whether most searches reach the lowest coverage within the objective."""
        return self._in_time_share >= MIN_IN_TIME_SHARE

    def record_search(self, in_time: bool) -> None:
        """Record whether a search reached the lowest coverage within the objective."""
        self._in_time_share += IN_TIME_SMOOTHING * (in_time - self._in_time_share)

    def hedge_delay(self) -> float:
        """Return the time after which an unanswered send is hedged, in seconds."""
        found = self._quantiles.find(HEDGE_QUANTILE)
        if found is None:
            found = INITIAL_HEDGE_SHARE * self.latency_objective
        earliest = MIN_HEDGE_SHARE * self.latency_objective
        return min(max(found, earliest), MAX_HEDGE_SHARE * self.latency_objective)


class RouteLatencies:
    """Latency statistics of all routes.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._by_route: dict[str, RouteLatency] = {}

    def get(self, route: Route) -> RouteLatency:
        """Return the statistics of a route.

        They start anew if the latency objective of the route has changed.
        """
        known = self._by_route.get(route.name)
        if known is None or known.latency_objective != route.latency_objective:
            known = self._by_route[route.name] = self._make_latency(route)
        return known

    def _make_latency(self, route: Route) -> RouteLatency:
        """Return new statistics of a route."""
        return RouteLatency(self._clock, route.latency_objective)

    def retain_only(self, routes: set[str]) -> None:
        """Remove the statistics of all routes but the named ones."""
        for name in [name for name in self._by_route if name not in routes]:
            del self._by_route[name]
