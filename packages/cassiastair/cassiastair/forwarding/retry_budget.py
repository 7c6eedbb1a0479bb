"""Budget for hedges and retries that VMs share without communication.

Hedges and retries are called extra sends here.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock

BUCKETS = 10  # buckets into which the sliding window is divided
RATIO_SHARE = 0.8  # used part of the ratio; the rest covers unaligned windows
SLACK_SHARE = 0.8  # used part of the slack; the rest covers an outdated VM count
STARTUP_SLACK_SHARE = 0.15  # used part of the slack in the first window after a start


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
    has spent, so for the length of one window it uses only a small part of the
    slack.

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
        self._get_window(service).add(0)

    def try_spend(self, service: str) -> bool:
        """Count an extra send if the limits allow it; return whether they do."""
        window = self._get_window(service)
        if not self._allows(window):
            return False
        window.add(1)
        return True

    def _allows(self, window: "_Window") -> bool:
        """Return True if one more extra send keeps within the limits."""
        return window.extra_sends + 1 <= self._allowance(window)

    def _allowance(self, window: "_Window") -> float:
        """Return the number of extra sends allowed in the window."""
        is_starting = self._clock.now() < self._window_full_at
        share = STARTUP_SLACK_SHARE if is_starting else SLACK_SHARE
        slack = self._limits.slack * share / max(1, self._get_vm_count())
        return self._limits.ratio * RATIO_SHARE * window.requests + slack

    def _get_window(self, service: str) -> "_Window":
        """Return the window of a service, advanced to the current time."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.advance(int(self._clock.now() / self._bucket_length))
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
    """

    __slots__ = ("requests", "extra_sends", "_buckets", "_position")

    def __init__(self):
        self.requests = 0
        self.extra_sends = 0
        self._buckets: dict[int, list[int]] = {}
        self._position = 0

    def advance(self, position: int) -> None:
        """Make a bucket the current one and remove those before the window."""
        if position == self._position:
            return
        self._position = position
        for old in [p for p in self._buckets if p < position - BUCKETS]:
            del self._buckets[old]
        recent = position - BUCKETS + 1
        self.extra_sends = sum(counts[1] for counts in self._buckets.values())
        self.requests = sum(c[0] for p, c in self._buckets.items() if p >= recent)

    def add(self, kind: int) -> None:
        """Count a request (kind 0) or an extra send (kind 1)."""
        counts = self._buckets.get(self._position)
        if counts is None:
            counts = self._buckets[self._position] = [0, 0]
        counts[kind] += 1
        if kind:
            self.extra_sends += 1
        else:
            self.requests += 1
