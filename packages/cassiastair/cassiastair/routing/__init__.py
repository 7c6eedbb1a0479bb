"""Which service a request goes to: routes, their table, and weighted splits."""

from .configuration import CallerLimits, RoutingConfiguration
from .route import Route, WeightedService
from .split import SmoothWeightedRoundRobin
from .table import RoutingTable

__all__ = [
    "CallerLimits",
    "Route",
    "RoutingConfiguration",
    "RoutingTable",
    "SmoothWeightedRoundRobin",
    "WeightedService",
]
