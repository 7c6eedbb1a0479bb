"""Policies that decide when a subrequest is hedged at a second target."""

from abc import ABC, abstractmethod

from ..clock import Clock
from .budget import ExtraLoadBudget
from .quantile import RollingQuantile

MIN_DELAY_S = 0.001  # lower bound of the delay of a hedge


class HedgePolicy(ABC):
    """Decides on the hedges of one service."""

    @abstractmethod
    def delay(self) -> float | None:
        """Return the time before a hedge is due, in seconds; None for no hedge."""

    @abstractmethod
    def try_hedge(self) -> bool:
        """Charge a due hedge to the budget; return False if the budget is exhausted."""

    @abstractmethod
    def observe(self, latency: float) -> None:
        """Record the latency of a first answer, in seconds."""

    @abstractmethod
    def record_subrequests(self, count: int) -> None:
        """Record ordinary subrequests, which raise the budget for hedges."""


class NoHedge(HedgePolicy):
    """Policy without hedges, as a baseline of benchmarks and tests."""

    def delay(self) -> float | None:
        """Return None: no hedge is ever due."""
        return None

    def try_hedge(self) -> bool:
        """Return False."""
        return False

    def observe(self, latency: float) -> None:
        """Ignore the latency."""

    def record_subrequests(self, count: int) -> None:
        """Ignore the subrequests."""


class QuantileHedge(HedgePolicy):
    """Hedges after a quantile of the service's recent latencies, within a budget.

    Parameters
    ----------
    clock : Clock
        Source of time.
    quantile : float
        Quantile of the latencies after which a hedge is due; 1 turns hedges off.
    share : float
        Hedges allowed for each ordinary subrequest.
    """

    def __init__(self, clock: Clock, quantile: float, share: float):
        self.quantile = quantile
        self._latency = RollingQuantile(clock)
        self._budget = ExtraLoadBudget(share)

    def delay(self) -> float | None:
        """Return the quantile of the recent latencies; None while it is unknown."""
        if self.quantile >= 1.0:
            return None
        found = self._latency.find(self.quantile)
        return None if found is None else max(found, MIN_DELAY_S)

    def try_hedge(self) -> bool:
        """Charge one hedge; return False if the budget is exhausted."""
        return self._budget.try_spend()

    def observe(self, latency: float) -> None:
        """Add a latency in seconds to the recent ones."""
        self._latency.observe(latency)

    def record_subrequests(self, count: int) -> None:
        """Add the allowance for ordinary subrequests to the budget."""
        self._budget.deposit(count)
