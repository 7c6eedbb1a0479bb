"""Hedge policy and retry budget of each service, which keep its tail latency low."""

from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..data import Policy, Service
from ..hedging import ExtraLoadBudget, HedgePolicy, QuantileHedge


@dataclass(frozen=True, slots=True)
class TailTolerance:
    """Hedge policy and retry budget of one service.

    Parameters
    ----------
    policy : Policy
        Configuration that they were created from.
    hedge : HedgePolicy
        Decides when a hedge is sent.
    retries : ExtraLoadBudget
        Retry budget.
    """

    policy: Policy
    hedge: HedgePolicy
    retries: ExtraLoadBudget


class TailTolerances:
    """Hedge policies and retry budgets by service, replaced when a policy changes.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    make_hedge : callable, optional
        Creates a hedge policy from a service's policy; by default a `QuantileHedge`.
    """

    def __init__(
        self, clock: Clock, make_hedge: Callable[[Policy], HedgePolicy] | None = None
    ):
        self._clock = clock
        self._make_hedge = make_hedge or self._make_quantile_hedge
        self._by_service: dict[str, TailTolerance] = {}

    def get(self, service: Service) -> TailTolerance:
        """Return the hedge policy and retry budget of a service."""
        cached = self._by_service.get(service.name)
        if cached is not None and cached.policy == service.policy:
            return cached
        policy = service.policy
        created = TailTolerance(
            policy, self._make_hedge(policy), ExtraLoadBudget(policy.retry_budget)
        )
        self._by_service[service.name] = created
        return created

    def _make_quantile_hedge(self, policy: Policy) -> HedgePolicy:
        """Return a hedge policy with the quantile and budget of a service's policy."""
        return QuantileHedge(self._clock, policy.hedge_quantile, policy.hedge_budget)
