"""Hedge policies, budgets for extra load, and latency quantiles."""

from .budget import ExtraLoadBudget
from .hedge import HedgePolicy, NoHedge, QuantileHedge
from .quantile import RollingQuantile

__all__ = [
    "ExtraLoadBudget",
    "HedgePolicy",
    "NoHedge",
    "QuantileHedge",
    "RollingQuantile",
]
