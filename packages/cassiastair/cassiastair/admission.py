"""Admission control: queries that could not be answered in time are refused early."""

from abc import ABC, abstractmethod

from .clock import Clock
from .errors import OverloadedError


class Admission(ABC):
    """Decides which queries are admitted.

    Attributes
    ----------
    limit : float
        Highest number of subrequests in flight.
    in_flight : int
        Subrequests of the admitted queries that have not ended.
    """

    limit: float
    in_flight: int

    @abstractmethod
    def admit(self, index: str, weight: int, cost: int) -> None:
        """Admit a query; `release` must be called when it ends.

        Parameters
        ----------
        index : str
            Index that is queried. A full tier is shared between indexes by weight.
        weight : int
            Weight of the index among the active ones when the tier is full.
        cost : int
            Number of subrequests that the query needs, without hedges and retries.

        Raises
        ------
        OverloadedError
            If the query is refused; nothing of it was run.
        """

    @property
    @abstractmethod
    def utilization(self) -> float:
        """Share of the limit that is in use; as it rises, hedges stop, then retries."""

    @abstractmethod
    def release(self, index: str, cost: int, in_time: bool) -> None:
        """Record that an admitted query has ended.

        Parameters
        ----------
        index, cost
            As given to `admit`.
        in_time : bool
            Whether the query ended within its deadline.
        """


class UnlimitedAdmission(Admission):
    """Baseline that admits every query.

    Parameters
    ----------
    clock : Clock, optional
        Not used; all kinds of admission take the same arguments.
    """

    utilization = 0.0
    limit = float("inf")

    def __init__(self, clock: Clock | None = None):
        self.in_flight = 0

    def admit(self, index: str, weight: int, cost: int) -> None:
        """Admit the query."""
        self.in_flight += cost

    def release(self, index: str, cost: int, in_time: bool) -> None:
        """Remove the query's subrequests from those in flight."""
        self.in_flight -= cost


INITIAL_LIMIT = 256.0  # subrequests in flight, as the limits below
LOWEST_LIMIT = 32.0
HIGHEST_LIMIT = 8192.0
DECREASE_FACTOR = 0.9  # applied at a missed deadline, at most once per interval
DECREASE_INTERVAL_S = 0.1


class AdaptiveAdmission(Admission):
    """Limits the subrequests in flight; the limit adapts to missed deadlines.

    While at least half of the limit is in use, each query that is answered in time
    raises it a little. A missed deadline lowers it by a factor. Queries are never
    queued, so a refused caller knows at once. Up to 90 % of the limit, an index may
    borrow what others do not use; above, it may use only its weighted share.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self.limit = INITIAL_LIMIT
        self.in_flight = 0
        self._used_by_index: dict[str, int] = {}
        self._weight_by_index: dict[str, int] = {}
        self._decreased_at = clock.now()

    @property
    def utilization(self) -> float:
        """Subrequests in flight divided by the limit."""
        return self.in_flight / self.limit

    def admit(self, index: str, weight: int, cost: int) -> None:
        """Admit a query if its subrequests fit.

        A query is always admitted when no other is in flight, even above the limit.
        """
        self._weight_by_index[index] = weight
        used = self._used_by_index.get(index, 0)
        if self.in_flight and not self._fits(index, used, cost):
            raise OverloadedError(
                f"index {index} has used up its share of the tier's capacity"
            )
        self._used_by_index[index] = used + cost
        self.in_flight += cost

    def _fits(self, index: str, used: int, cost: int) -> bool:
        """Return True if a query fits the limit and its index's share of the limit."""
        if self.in_flight + cost > self.limit:
            return False
        active = {name for name, n in self._used_by_index.items() if n} | {index}
        total = sum(self._weight_by_index[name] for name in active)
        share = self.limit * self._weight_by_index[index] / total
        if used + cost <= share:
            return True
        return self.in_flight + cost <= self.limit * 0.9

    def release(self, index: str, cost: int, in_time: bool) -> None:
        """Record the end of a query and adapt the limit."""
        is_half_used = self.in_flight > self.limit * 0.5
        self._used_by_index[index] -= cost
        self.in_flight -= cost
        if in_time:
            if is_half_used:
                self.limit = min(HIGHEST_LIMIT, self.limit + cost / self.limit * 4)
            return
        now = self._clock.now()
        if now - self._decreased_at >= DECREASE_INTERVAL_S:
            self.limit = max(LOWEST_LIMIT, self.limit * DECREASE_FACTOR)
            self._decreased_at = now
