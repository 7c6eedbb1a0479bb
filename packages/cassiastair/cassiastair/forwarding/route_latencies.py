"""Typical and long latencies of each kind of request."""

from ..clock import Clock
from ..hedging.quantile import RollingQuantile
from ..routing import Route

HEDGE_QUANTILE = 0.90  # a tenth of the sends are late; the budget allows a fifth
EARLIEST_SHARE = 0.20  # bounds of the delay of a hedge as shares of the objective
LATEST_SHARE = 0.50
FIRST_SHARE = 0.38  # the delay of a hedge until enough latencies are known
TYPICAL_SHARE = 0.2  # typical latency over the objective before the first answer
SMOOTHING = 0.03  # weight of a new latency in the mean
SEARCH_SMOOTHING = 0.1  # weight of a new search in the share of those in time
MOSTLY = 0.7  # share of the searches in time from which sends end at the objective


class RouteLatency:
    """Latencies of sends for one route.

    Parameters
    ----------
    clock : Clock
        Source of time.
    objective : float
        Time in which an answer counts fully, in seconds.
    """

    __slots__ = ("objective", "typical", "_in_time", "_quantiles")

    def __init__(self, clock: Clock, objective: float):
        self.objective = objective
        self.typical = TYPICAL_SHARE * objective
        self._in_time = 0.5
        self._quantiles = RollingQuantile(clock)

    def observe(self, latency: float) -> float:
        """Add a latency; return its ratio to the typical one."""
        self._quantiles.observe(latency)
        self.typical += SMOOTHING * (latency - self.typical)
        return latency / max(self.typical, 1e-4)

    @property
    def is_mostly_in_time(self) -> bool:
        """Whether searches mostly get enough parts within the objective."""
        return self._in_time >= MOSTLY

    def note_search(self, in_time: bool) -> None:
        """Take note whether a search had enough parts within the objective."""
        self._in_time += SEARCH_SMOOTHING * (in_time - self._in_time)

    def hedge_delay(self) -> float:
        """Return the seconds after which a send is late."""
        found = self._quantiles.find(HEDGE_QUANTILE)
        if found is None:
            found = FIRST_SHARE * self.objective
        earliest = EARLIEST_SHARE * self.objective
        return min(max(found, earliest), LATEST_SHARE * self.objective)


class RouteLatencies:
    """Latencies of all routes.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._kinds: dict[str, RouteLatency] = {}

    def get(self, route: Route) -> RouteLatency:
        """Return the latencies of a route."""
        known = self._kinds.get(route.name)
        if known is None or known.objective != route.latency_objective:
            known = RouteLatency(self._clock, route.latency_objective)
            self._kinds[route.name] = known
        return known

    def retain_only(self, routes: set[str]) -> None:
        """Forget routes that are gone."""
        for name in [name for name in self._kinds if name not in routes]:
            del self._kinds[name]
