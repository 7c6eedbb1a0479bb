"""Which service a request goes to: routes, their table, and weighted splits."""

from .configuration import CallerLimits, RoutingConfiguration
from .route import Route, WeightedService
from .table import RoutingTable
from .weighted_round_robin import SmoothWeightedRoundRobin

__all__ = [
    "CallerLimits",
    "Route",
    "RoutingConfiguration",
    "RoutingTable",
    "SmoothWeightedRoundRobin",
    "WeightedService",
]
