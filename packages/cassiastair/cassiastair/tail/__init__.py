"""Hedges and retries within budgets that bound the extra load on targets."""

from .budget import Budget
from .hedge import HedgePolicy, NoHedge, QuantileHedge
from .quantile import RollingQuantile

__all__ = ["Budget", "HedgePolicy", "NoHedge", "QuantileHedge", "RollingQuantile"]
