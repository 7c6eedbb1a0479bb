"""Admission of queries: refuse early what cannot be answered in time."""

from abc import ABC, abstractmethod

from .clock import Clock
from .errors import OverloadedError


class Admission(ABC):
    """Decides whether a query is worked on.

    Attributes
    ----------
    limit : float
        Bound on the subrequests in flight.
    in_flight : int
        Subrequests of the queries that were taken in.
    """

    limit: float
    in_flight: int

    @abstractmethod
    def admit(self, index: str, weight: int, cost: int) -> None:
        """Take a query in; `leave` must follow.

        Parameters
        ----------
        index : str
            What the query asks; queries compete fairly between indexes.
        weight : int
            Share of the index when the tier is full.
        cost : int
            Subrequests that the query needs.

        Raises
        ------
        OverloadedError
            If the query is refused; nothing was done for it.
        """

    @property
    @abstractmethod
    def utilization(self) -> float:
        """Share of the tier that is in use; hedges stop first, then retries."""

    @abstractmethod
    def release(self, index: str, cost: int, in_time: bool) -> None:
        """Take note that a query has ended, and whether within its deadline."""


class UnlimitedAdmission(Admission):
    """Baseline that refuses nothing.

    Parameters
    ----------
    clock : Clock, optional
        Not used; choosing between admissions needs one form for all.
    """

    utilization = 0.0
    limit = float("inf")

    def __init__(self, clock: Clock | None = None):
        self.in_flight = 0

    def admit(self, index: str, weight: int, cost: int) -> None:
        """Take every query in."""
        self.in_flight += cost

    def release(self, index: str, cost: int, in_time: bool) -> None:
        """Count the query out."""
        self.in_flight -= cost


START_LIMIT = 256.0  # subrequests in flight at start
LOWEST_LIMIT = 32.0
HIGHEST_LIMIT = 8192.0
DECREASE = 0.9  # factor at a miss, at most once per interval
DECREASE_INTERVAL_S = 0.1


class AdaptiveAdmission(Admission):
    """Bounds the subrequests in flight; the bound follows the deadlines met.

    The bound rises by a share of each query answered in time while it is in use,
    and falls by a factor when a deadline is missed. A refusal needs no queue and
    no wait, so it reaches the caller at once. When the tier is full, an index may
    use its weighted share of the bound and borrows what others leave free.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self.limit = START_LIMIT
        self.in_flight = 0
        self._used: dict[str, int] = {}
        self._weights: dict[str, int] = {}
        self._decreased_at = clock.now()

    @property
    def utilization(self) -> float:
        """Subrequests in flight as a share of the bound."""
        return self.in_flight / self.limit

    def admit(self, index: str, weight: int, cost: int) -> None:
        """Take a query in, or refuse it."""
        self._weights[index] = weight
        used = self._used.get(index, 0)
        if self.in_flight and not self._fits(index, used, cost):
            raise OverloadedError(f"index {index} is at its share of the tier")
        self._used[index] = used + cost
        self.in_flight += cost

    def _fits(self, index: str, used: int, cost: int) -> bool:
        """Tell whether a query fits the bound, or its index's share of it."""
        if self.in_flight + cost > self.limit:
            return False
        active = {name for name, n in self._used.items() if n} | {index}
        total = sum(self._weights[name] for name in active)
        share = self.limit * self._weights[index] / total
        if used + cost <= share:
            return True
        return self.in_flight + cost <= self.limit * 0.9

    def release(self, index: str, cost: int, in_time: bool) -> None:
        """Take note of a query's end and move the bound."""
        busy = self.in_flight > self.limit * 0.5
        self._used[index] -= cost
        self.in_flight -= cost
        if in_time:
            if busy:
                self.limit = min(HIGHEST_LIMIT, self.limit + cost / self.limit * 4)
            return
        now = self._clock.now()
        if now - self._decreased_at >= DECREASE_INTERVAL_S:
            self.limit = max(LOWEST_LIMIT, self.limit * DECREASE)
            self._decreased_at = now
