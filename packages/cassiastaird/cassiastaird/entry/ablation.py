"""Mechanisms that an experiment switches off, to measure what each is worth.

`CASSIASTAIRD_OFF` names them, separated by commas. Each is replaced by a part that does
nothing, in the composition root only.
"""

from collections.abc import Callable, Mapping

from cassiastair.errors import SettingsError
from cassiastair.forwarding import ConnectionShares, OutlierDetector, RetryBudget
from cassiastair.forwarding.route_latencies import RouteLatencies, RouteLatency
from cassiastair.routing import Route

VARIABLE = "CASSIASTAIRD_OFF"


class NoExtraSends(RetryBudget):
    """Budget that allows neither hedges nor retries."""

    def try_spend(self, service: str) -> bool:
        """Return False."""
        return False


class NoOutlierReports(OutlierDetector):
    """Detector to which no target is an outlier."""

    def is_outlier(self, name: str) -> bool:
        """Return False."""
        return False


class AllConnections(ConnectionShares):
    """Shares that keep connections to all targets, however many VMs there are."""

    def keeps(self, name: str, service: str, data_centre: str) -> bool:
        """Return True."""
        return True


class LateLatency(RouteLatency):
    """Statistics of a route whose targets get the deadline, not the objective."""

    @property
    def is_mostly_in_time(self) -> bool:
        """Return False."""
        return False


class LateLatencies(RouteLatencies):
    """Statistics of routes whose targets get the deadline, not the objective."""

    def _make_latency(self, route: Route) -> RouteLatency:
        """Return new statistics of a route."""
        return LateLatency(self._clock, route.latency_objective)


REPLACEMENTS: dict[str, tuple[type, type]] = {
    "extra_sends": (RetryBudget, NoExtraSends),
    "outlier_reports": (OutlierDetector, NoOutlierReports),
    "connection_subsets": (ConnectionShares, AllConnections),
    "send_deadlines": (RouteLatencies, LateLatencies),
}


def read_replacements(environment: Mapping[str, str]) -> Callable[[type], type]:
    """Return a function that maps the class of a part to the one to build.

    Parameters
    ----------
    environment : mapping
        Environment variables of the process.

    Raises
    ------
    SettingsError
        If a name is not one of `REPLACEMENTS`.
    """
    names = [name for name in environment.get(VARIABLE, "").split(",") if name]
    unknown = sorted(set(names) - set(REPLACEMENTS))
    if unknown:
        allowed = ", ".join(REPLACEMENTS)
        raise SettingsError(f"{VARIABLE}: {unknown} are none of {allowed}")
    replaced = dict(REPLACEMENTS[name] for name in names)
    return lambda part: replaced.get(part, part)
