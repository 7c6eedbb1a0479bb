"""Hedges and retries within budgets that bound the extra load on targets."""

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
