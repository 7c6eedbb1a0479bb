"""The operator's choices for one service: deadlines, coverage, hedges, limits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """How a service's requests are treated under load and faults.

    Parameters
    ----------
    deadline_ms : int
        Time for an answer where the caller names none, in milliseconds.
    lowest_coverage : float
        Share of the key space below which a search fails, from 0 to 1.
    hedge_quantile : float
        Latency quantile after which a second target is asked; 1 turns hedges off.
    hedge_budget : float
        Hedged subrequests as a share of all subrequests.
    retry_budget : float
        Retried subrequests as a share of all subrequests.
    weight : int
        Share of the admission queue relative to other services.
    """

    deadline_ms: int = 1000
    lowest_coverage: float = 0.0
    hedge_quantile: float = 0.95
    hedge_budget: float = 0.05
    retry_budget: float = 0.2
    weight: int = 1
