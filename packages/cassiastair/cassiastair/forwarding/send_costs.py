"""What the sends of one request to one service cost of the retry budget.

The first arrival of a request at a service is free, each further one counts as one
extra send, whether the target runs it or turns it away. A send that never left this VM
is no arrival: what was spent on it, or on the send that turns out to be the first
arrival, is taken back.
"""

from collections.abc import Sequence

from ..targets.failures import ConnectFailure
from .retry_budget import RetryBudget
from .send import Send


def may_have_arrived(sends: Sequence[Send]) -> bool:
    """Return True if a send has reached a target or may still do so."""
    return any(not isinstance(send.outcome, ConnectFailure) for send in sends)


def take_back_unused(budget: RetryBudget, service: str, sends: Sequence[Send]) -> None:
    """Take back what was spent on sends that are no extra arrivals.

    Parameters
    ----------
    budget : RetryBudget
        Budget that has counted the sends.
    service : str
        Service that they went to.
    sends : sequence of Send
        All sends of one request to the service.
    """
    arrivals = sum(1 for s in sends if not isinstance(s.outcome, ConnectFailure))
    paid = [send for send in sends if send.spent_at is not None]
    while len(paid) > max(0, arrivals - 1):
        send = paid.pop()
        budget.take_back(service, send.reason == "hedge", send.spent_at)
        send.spent_at = None
