"""Settings of one service: deadline, coverage, hedging, retries and weight."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """Settings of an operator for the requests of one service.

    Parameters
    ----------
    deadline_ms : int
        Default deadline of a request, in milliseconds.
    lowest_coverage : float
        Covered share of the key space below which a search fails, from 0 to 1.
    hedge_quantile : float
        Latency quantile after which a hedged subrequest is sent to a second target;
        1 disables hedging.
    hedge_budget : float
        Limit of hedged subrequests as a share of all subrequests, from 0 to 1.
    retry_budget : float
        Limit of retried subrequests as a share of all subrequests, from 0 to 1.
    weight : int
        Weight of the service in the admission queue, relative to other services.
    """

    deadline_ms: int = 1000
    lowest_coverage: float = 0.0
    hedge_quantile: float = 0.95
    hedge_budget: float = 0.05
    retry_budget: float = 0.2
    weight: int = 1
