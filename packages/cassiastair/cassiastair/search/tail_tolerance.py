"""Hedge policy and retry budget of each service."""

from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..data import Policy, Service
from ..hedging import ExtraLoadBudget, HedgePolicy, QuantileHedge


@dataclass(frozen=True, slots=True)
class TailTolerance:
    """The tail mechanisms of one service.

    Parameters
    ----------
    policy : Policy
        Policy that they were made from.
    hedge : HedgePolicy
        Decides on hedges.
    retries : Budget
        Budget of retries.
    """

    policy: Policy
    hedge: HedgePolicy
    retries: ExtraLoadBudget


class TailTolerances:
    """Makes and keeps the tail mechanisms, anew when a policy changes.

    Parameters
    ----------
    clock : Clock
        Source of time.
    make_hedge : callable, optional
        Makes the hedge policy of a service's policy.
    """

    def __init__(
        self, clock: Clock, make_hedge: Callable[[Policy], HedgePolicy] | None = None
    ):
        self._clock = clock
        self._make_hedge = make_hedge or self._make_quantile_hedge
        self._tails: dict[str, TailTolerance] = {}

    def get(self, service: Service) -> TailTolerance:
        """Return the tail mechanisms of a service."""
        known = self._tails.get(service.name)
        if known is not None and known.policy == service.policy:
            return known
        policy = service.policy
        tail = TailTolerance(
            policy, self._make_hedge(policy), ExtraLoadBudget(policy.retry_budget)
        )
        self._tails[service.name] = tail
        return tail

    def _make_quantile_hedge(self, policy: Policy) -> HedgePolicy:
        """Return the usual hedge policy."""
        return QuantileHedge(self._clock, policy.hedge_quantile, policy.hedge_budget)
