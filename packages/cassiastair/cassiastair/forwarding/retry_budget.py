"""Budget for hedges and retries that VMs share without communication.

Hedges and retries are called extra sends here. A retry follows a known failure, without
it the request is lost; a hedge is sent on the chance that it answers sooner. The budget
therefore keeps room for the retries that the observed failures let expect, and divides
the rest among hedges by what they are worth.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock

BUCKETS = 10  # buckets into which the sliding window is divided
RATIO_SHARE = 0.8  # used part of the ratio; the rest covers unaligned windows
SLACK_SHARE = 0.8  # used part of the slack; the rest covers an outdated VM count
STARTUP_SLACK_SHARE = 0.15  # used part of the slack in the first window after a start
STARTUP_HEDGE_SHARE = 0.5  # part of the room for hedges that is used in that window
MEMORY_BUCKETS = 30.0  # half-life of the observed rate of failures
# Failures and requests that are assumed besides those that were seen.
ASSUMED_FAILURES = 1.0
ASSUMED_REQUESTS = 100.0
RESERVE_DEVIATIONS = 2.0  # standard deviations by which more retries are kept room for
WORTH_SMOOTHING = 0.05  # weight of a new hedge in the mean worth of hedges
FULL_WORTH_SHARE = 0.8  # share of the mean worth from which a hedge may use all room

# What is counted, as the position in the counts of a bucket.
REQUEST, HEDGE, RETRY, FAILURE = range(4)
NO_COUNTS = (0, 0, 0, 0)


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """Extra sends that the targets of one service may get from all VMs together.

    Parameters
    ----------
    ratio : float
        Extra sends for each request.
    slack : float
        Further extra sends in each window.
    window : float
        Length of the sliding window in seconds.
    """

    ratio: float
    slack: float
    window: float


class RetryBudget:
    """Bounds the extra sends of each service over a sliding window.

    A VM may spend the ratio of the requests that it receives itself and an equal
    part of the slack. The sum over all VMs therefore keeps within the limits,
    however requests are distributed over the VMs and also while VMs cannot
    communicate. A VM that has just started does not know what its previous process
    has spent, so for the length of one window it uses only a small part of the slack
    and half of the room for hedges.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limits : RetryBudgetLimits
        Extra sends that all VMs together may send.
    get_vm_count : callable
        Returns the number of VMs that share the slack.
    """

    def __init__(
        self, clock: Clock, limits: RetryBudgetLimits, get_vm_count: Callable[[], int]
    ):
        self._clock = clock
        self._limits = limits
        self._get_vm_count = get_vm_count
        self._bucket_length = limits.window / BUCKETS
        self._window_full_at = clock.now() + limits.window
        self._windows: dict[str, _Window] = {}

    def record_request(self, service: str) -> None:
        """Count the first send of a request to a service."""
        self._get_window(service).add(REQUEST)

    def record_failure(self, service: str) -> None:
        """Count a request that is lost at a service without a retry."""
        self._get_window(service).add(FAILURE)

    def try_spend(self, service: str) -> bool:
        """Count a retry if the limits allow it; return whether they do."""
        window = self._get_window(service)
        if window.extra_sends + 1 > self._allowance(window):
            return False
        window.add(RETRY)
        return True

    def try_spend_hedge(self, service: str, worth: float) -> bool:
        """Count a hedge if the limits leave room for it; return whether they do.

        Parameters
        ----------
        service : str
            Name of the service.
        worth : float
            Worth of the hedge, see `RouteLatency.estimate_worth`. If it is less than
            that of most others, the hedge may use only a part of the room for hedges.
        """
        window = self._get_window(service)
        share = window.rate_worth(worth)
        if self._is_starting():
            share *= STARTUP_HEDGE_SHARE
        hedges = window.extra_sends - window.retries
        reserve = max(window.retries, self._find_reserve(window))
        room = self._allowance(window) - reserve
        if hedges + 1 > share * room:
            return False
        window.add(HEDGE)
        return True

    def count_extra_sends(self, service: str) -> int:
        """Return the number of extra sends to a service that the window counts."""
        return self._get_window(service).extra_sends

    def find_wait(self, service: str) -> float:
        """Return the seconds after which a retry that was refused may find room.

        Returns
        -------
        float
            Time until the oldest extra sends leave the window; infinity if the
            observed failures need more retries than the limits allow.
        """
        window = self._get_window(service)
        if self._find_reserve(window) > self._allowance(window):
            return math.inf
        now = self._clock.now()
        return (int(now / self._bucket_length) + 1) * self._bucket_length - now

    def take_back(self, service: str, is_hedge: bool, spent_at: float) -> None:
        """Take back the count of an extra send that was none.

        Parameters
        ----------
        service : str
            Name of the service.
        is_hedge : bool
            Whether it was counted as a hedge.
        spent_at : float
            Time at which it was counted, in seconds.
        """
        position = int(spent_at / self._bucket_length)
        self._get_window(service).remove(HEDGE if is_hedge else RETRY, position)

    def _find_reserve(self, window: "_Window") -> float:
        """Return the number of retries that the window keeps room for.

        Both the number of failures and the allowance, which follows that of requests,
        vary by chance.
        """
        expected = window.expect_retries()
        ratio = self._limits.ratio * RATIO_SHARE
        variance = expected + min(1.0, expected) * ratio**2 * window.requests
        return expected + RESERVE_DEVIATIONS * math.sqrt(variance)

    def _is_starting(self) -> bool:
        """Return True in the first window after the start of this VM."""
        return self._clock.now() < self._window_full_at

    def _allowance(self, window: "_Window") -> float:
        """Return the number of extra sends allowed in the window."""
        slack_share = STARTUP_SLACK_SHARE if self._is_starting() else SLACK_SHARE
        slack = self._limits.slack * slack_share / max(1, self._get_vm_count())
        return self._limits.ratio * RATIO_SHARE * window.requests + slack

    def _get_window(self, service: str) -> "_Window":
        """Return the window of a service, advanced to the current time."""
        position = int(self._clock.now() / self._bucket_length)
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window(position)
        window.advance(position)
        return window

    def retain_only(self, services: set[str]) -> None:
        """Remove the windows of other services, except those with extra sends.

        Parameters
        ----------
        services : set of str
            Services that the current routes name.
        """
        for name in [n for n, w in self._windows.items() if n not in services]:
            if not self._get_window(name).extra_sends:
                del self._windows[name]


class _Window:
    """Requests and extra sends of one service in the most recent buckets.

    Extra sends are kept one bucket longer than requests. A bucket that the window
    covers only partly thus never lowers the count of extra sends or raises that of
    requests.

    The rate of failures is kept longer than the window, with exponential decay.
    """

    __slots__ = (
        "requests",
        "extra_sends",
        "retries",
        "_buckets",
        "_position",
        "_seen_requests",
        "_seen_failures",
        "_mean_worth",
    )

    def __init__(self, position: int):
        self.requests = 0
        self.extra_sends = 0
        self.retries = 0
        self._buckets: dict[int, list[int]] = {}
        self._position = position
        self._seen_requests = 0.0
        self._seen_failures = 0.0
        self._mean_worth = 0.0

    def advance(self, position: int) -> None:
        """Make a bucket the current one and remove those before the window."""
        if position == self._position:
            return
        self._remember(position)
        self._position = position
        for old in [p for p in self._buckets if p < position - BUCKETS]:
            del self._buckets[old]
        recent = position - BUCKETS + 1
        counts = self._buckets.values()
        self.retries = sum(c[RETRY] for c in counts)
        self.extra_sends = self.retries + sum(c[HEDGE] for c in counts)
        self.requests = sum(c[REQUEST] for p, c in self._buckets.items() if p >= recent)

    def _remember(self, position: int) -> None:
        """Add the current bucket to the long-term counts before it is left."""
        counts = self._buckets.get(self._position, NO_COUNTS)
        decay = 0.5 ** ((position - self._position) / MEMORY_BUCKETS)
        self._seen_requests = decay * (self._seen_requests + counts[REQUEST])
        self._seen_failures = decay * (self._seen_failures + counts[FAILURE])

    def add(self, kind: int) -> None:
        """Count a request, a failure or an extra send in the current bucket."""
        counts = self._buckets.get(self._position)
        if counts is None:
            counts = self._buckets[self._position] = [0, 0, 0, 0]
        counts[kind] += 1
        if kind == REQUEST:
            self.requests += 1
        elif kind != FAILURE:
            self.extra_sends += 1
            self.retries += kind == RETRY

    def remove(self, kind: int, position: int) -> None:
        """Take back the count of an extra send, if its bucket is still kept."""
        counts = self._buckets.get(position)
        if counts is not None and counts[kind]:
            counts[kind] -= 1
            self.extra_sends -= 1
            self.retries -= kind == RETRY

    def expect_retries(self) -> float:
        """Return how many retries the window needs, by the observed failures."""
        current = self._buckets.get(self._position, NO_COUNTS)
        failures = ASSUMED_FAILURES + self._seen_failures + current[FAILURE]
        requests = ASSUMED_REQUESTS + self._seen_requests + current[REQUEST]
        return self.requests * failures / requests

    def rate_worth(self, worth: float) -> float:
        """Return the share of the room for hedges that a hedge may use."""
        if not self._mean_worth:
            self._mean_worth = worth
        self._mean_worth += WORTH_SMOOTHING * (worth - self._mean_worth)
        full = FULL_WORTH_SHARE * self._mean_worth
        return min(1.0, worth / full) if full else 1.0
