"""Bound on repeated sends, shared by all VMs without a word between them."""

from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock

BUCKETS = 10  # parts of the window that are counted apart
RATIO_USED = 0.8  # used part of the allowed ratio; the rest covers unequal windows
SLACK_USED = 0.8  # used part of the fixed allowance; the rest covers late word of VMs
FRESH_SLACK_USED = 0.15  # the same in the first window, beside what the last run used


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """Repeats that targets of one service may get from all VMs together.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    slack : float
        Further repeats in each window.
    window : float
        Length of the sliding window in seconds.
    """

    ratio: float
    slack: float
    window: float


class RetryBudget:
    """Counts requests and repeats of each service over a sliding window.

    A VM uses the ratio on its own requests and its equal part of the slack. The
    sum over all VMs keeps within the bounds whichever VM the requests reach, and
    stays so while VMs cannot hear one another. A VM that has just started does not
    know what its last run has used, so it has little of the slack for one window.

    Parameters
    ----------
    clock : Clock
        Source of time.
    bounds : RetryBudgetLimits
        What is allowed.
    get_vm_count : callable
        Returns the number of VMs that share the slack.
    """

    def __init__(
        self, clock: Clock, bounds: RetryBudgetLimits, get_vm_count: Callable[[], int]
    ):
        self._clock = clock
        self._bounds = bounds
        self._get_vm_count = get_vm_count
        self._length = bounds.window / BUCKETS
        self._full_at = clock.now() + bounds.window
        self._counts: dict[str, _Window] = {}

    def record_request(self, service: str) -> None:
        """Count a request that was sent to a service for the first time."""
        self._find(service).add(0)

    def try_spend(self, service: str) -> bool:
        """Count a repeat if the bounds allow it; tell whether they do."""
        window = self._find(service)
        if not self._allows(window):
            return False
        window.add(1)
        return True

    def _allows(self, window: "_Window") -> bool:
        """Tell whether one more repeat keeps within the bounds."""
        return window.repeats + 1 <= self._allowance(window)

    def _allowance(self, window: "_Window") -> float:
        """Return the repeats that may stand in the window."""
        is_fresh = self._clock.now() < self._full_at
        used = FRESH_SLACK_USED if is_fresh else SLACK_USED
        slack = self._bounds.slack * used / max(1, self._get_vm_count())
        return self._bounds.ratio * RATIO_USED * window.requests + slack

    def _find(self, service: str) -> "_Window":
        """Return a service's counts, moved to the present."""
        window = self._counts.get(service)
        if window is None:
            window = self._counts[service] = _Window()
        window.move(int(self._clock.now() / self._length))
        return window

    def retain_only(self, services: set[str]) -> None:
        """Forget services that no route names any more and that were not used."""
        for name in [n for n, w in self._counts.items() if n not in services]:
            if not self._find(name).repeats:
                del self._counts[name]


class _Window:
    """Counts of the last buckets.

    Repeats are kept one bucket longer than requests, so that a partly covered
    bucket never makes the repeats look fewer or the requests more.
    """

    __slots__ = ("requests", "repeats", "_buckets", "_position")

    def __init__(self):
        self.requests = 0
        self.repeats = 0
        self._buckets: dict[int, list[int]] = {}
        self._position = 0

    def move(self, position: int) -> None:
        """Drop what lies before the window."""
        if position == self._position:
            return
        self._position = position
        for old in [p for p in self._buckets if p < position - BUCKETS]:
            del self._buckets[old]
        recent = position - BUCKETS + 1
        self.repeats = sum(counts[1] for counts in self._buckets.values())
        self.requests = sum(c[0] for p, c in self._buckets.items() if p >= recent)

    def add(self, kind: int) -> None:
        """Count a request (0) or a repeat (1)."""
        counts = self._buckets.get(self._position)
        if counts is None:
            counts = self._buckets[self._position] = [0, 0]
        counts[kind] += 1
        if kind:
            self.repeats += 1
        else:
            self.requests += 1
