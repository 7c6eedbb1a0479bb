"""When a second target is asked for the same shard."""

from abc import ABC, abstractmethod

from ..clock import Clock
from .budget import ExtraLoadBudget
from .quantile import RollingQuantile

SHORTEST_DELAY_S = 0.001


class HedgePolicy(ABC):
    """Decides on hedges for one service."""

    @abstractmethod
    def delay(self) -> float | None:
        """Return the wait before a hedge, in seconds; None for no hedge."""

    @abstractmethod
    def try_hedge(self) -> bool:
        """Tell whether a hedge that is due may be sent; a yes spends budget."""

    @abstractmethod
    def observe(self, latency: float) -> None:
        """Take note of a first answer's latency in seconds."""

    @abstractmethod
    def record_subrequests(self, count: int) -> None:
        """Take note of ordinary subrequests."""


class NoHedge(HedgePolicy):
    """Baseline that never hedges."""

    def delay(self) -> float | None:
        """Return no delay."""
        return None

    def try_hedge(self) -> bool:
        """Allow nothing."""
        return False

    def observe(self, latency: float) -> None:
        """Take no note."""

    def record_subrequests(self, count: int) -> None:
        """Take no note."""


class QuantileHedge(HedgePolicy):
    """Hedges after a quantile of the service's own latency, within a budget.

    Parameters
    ----------
    clock : Clock
        Source of time.
    quantile : float
        Quantile of the latency after which a hedge is due.
    share : float
        Hedges as a share of ordinary subrequests.
    """

    def __init__(self, clock: Clock, quantile: float, share: float):
        self.quantile = quantile
        self._latency = RollingQuantile(clock)
        self._budget = ExtraLoadBudget(share)

    def delay(self) -> float | None:
        """Return the quantile of recent latencies."""
        if self.quantile >= 1.0:
            return None
        found = self._latency.find(self.quantile)
        return None if found is None else max(found, SHORTEST_DELAY_S)

    def try_hedge(self) -> bool:
        """Spend one hedge of the budget, if there is one."""
        return self._budget.try_spend()

    def observe(self, latency: float) -> None:
        """Add a latency to the recent ones."""
        self._latency.observe(latency)

    def record_subrequests(self, count: int) -> None:
        """Let the budget grow."""
        self._budget.deposit(count)
