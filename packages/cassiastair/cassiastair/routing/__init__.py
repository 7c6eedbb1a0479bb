"""Routing of callers' requests to services.

The package holds the operators' configuration, the table that finds the route of a
request, and the weighted distribution of a route's requests over its services.
"""

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
