"""Statistics of one target, collected by this VM."""

from ..clock import Clock
from ..data import Target
from .concurrency_limiter import ConcurrencyLimiter
from .limit import AdaptiveLimit
from .reachability import ReachabilityCounter

BEST_LATENCY_GROWTH = 1.002  # factor per answer, so that an old best is forgotten
LATENCY_SMOOTHING = 0.2  # weight of a new latency in the moving average
REPORT_HALF_LIFE_S = 1.0  # age at which a reported load counts half
DOWN_AFTER_FAILURES = 2  # consecutive connection failures
ASSUMED_LATENCY_S = 0.001  # for targets without an answer; low, so that they are tried
PROBE_INTERVAL_S = 3.0  # between checks if a target needs a probe


class TargetStats:
    """Requests in flight, latency, failures and reported load of one target.

    Parameters
    ----------
    target : Target
        The target.
    clock : Clock
        Monotonic clock.
    limit : AdaptiveLimit
        Limit of this VM's concurrent requests to the target.
    reachability : ReachabilityCounter
        Notified when the target goes down or comes back.

    Attributes
    ----------
    latency : float or None
        Moving average of the latency in seconds; None before the first answer.
    best_latency : float
        Lowest average latency in seconds, raised slightly with each answer.
    failures : int
        Consecutive connection failures.
    incarnation : str
        Run of the target that answered last; empty before the first answer.
    answered_at : float
        Monotonic time of the last answer in seconds.
    probed_at : float
        Monotonic time of the last claimed probe in seconds.
    paused_until : float
        Monotonic time in seconds before which the target wants no requests.
    """

    __slots__ = (
        "target",
        "name",
        "limiter",
        "latency",
        "best_latency",
        "failures",
        "incarnation",
        "answered_at",
        "probed_at",
        "paused_until",
        "_paused_incarnation",
        "_clock",
        "_reported_load",
        "_load_reported_at",
        "_reachability",
    )

    def __init__(
        self,
        target: Target,
        clock: Clock,
        limit: AdaptiveLimit,
        reachability: ReachabilityCounter,
    ):
        self.target = target
        self.name = target.name
        self.limiter = ConcurrencyLimiter(limit)
        self.latency: float | None = None
        self.best_latency = float("inf")
        self.failures = 0
        self.incarnation = ""
        self.answered_at = 0.0
        self.probed_at = 0.0
        self.paused_until = float("-inf")
        self._paused_incarnation = ""
        self._clock = clock
        self._reported_load = 0.0
        self._load_reported_at = 0.0
        self._reachability = reachability

    @property
    def in_flight(self) -> int:
        """Number of this VM's requests that are in progress or queued."""
        return self.limiter.in_progress + self.limiter.queued

    @property
    def down(self) -> bool:
        """Whether the last connections to the target all failed."""
        return self.failures >= DOWN_AFTER_FAILURES

    def record_success(self, latency: float) -> None:
        """Record an answer and its latency in seconds."""
        if self.failures:
            self.record_recovery()
        self.answered_at = self._clock.now()
        self.record_latency(latency)
        self.best_latency = min(self.best_latency * BEST_LATENCY_GROWTH, self.latency)
        self.limiter.limit.record_success(
            self.limiter.in_progress, self.latency / self.best_latency
        )

    def record_pause(self, until: float, incarnation: str) -> None:
        """Record that a run of the target wants no requests before a time."""
        self.paused_until = until
        self._paused_incarnation = incarnation

    def record_incarnation(self, incarnation: str) -> None:
        """Record which run of the target answered; a pause of another one ends."""
        if incarnation != self._paused_incarnation:
            self.paused_until = float("-inf")

    def record_recovery(self) -> None:
        """Record that the target is reachable.

        If it was down, its concurrency limit starts at the lowest value again.
        """
        if self.down:
            self.limiter.limit.reset_to_lowest()
            self._reachability.record_change()
        self.failures = 0

    def record_latency(self, latency: float) -> None:
        """Add a latency in seconds to the moving average."""
        if self.latency is None:
            self.latency = latency
        else:
            self.latency += LATENCY_SMOOTHING * (latency - self.latency)

    def record_abandoned(self, waited: float) -> None:
        """Record that a request was abandoned after some seconds without an answer.

        The wait is a lower bound of the latency, so it counts only if it is above
        the average.
        """
        if self.latency is None or waited > self.latency:
            self.record_latency(waited)

    def record_connection_failure(self) -> None:
        """Record a failed or broken connection, or a bad answer."""
        self.failures += 1
        if self.failures == DOWN_AFTER_FAILURES:
            self._reachability.record_change()

    def record_load(self, load: float) -> None:
        """Record the load that the target reports for itself."""
        self._reported_load = load
        self._load_reported_at = self._clock.now()

    @property
    def reported_load(self) -> float:
        """Last reported load, regardless of its age."""
        return self._reported_load

    def compute_decayed_load(self) -> float:
        """Return the reported load, at most 1, halved for each half-life of its age."""
        age = self._clock.now() - self._load_reported_at
        return min(self._reported_load, 1.0) * 0.5 ** (age / REPORT_HALF_LIFE_S)

    def estimate_wait(self) -> float:
        """Return the expected wait for an answer in seconds, to compare targets."""
        latency = ASSUMED_LATENCY_S if self.latency is None else self.latency
        return latency * (1 + self.limiter.in_progress + self.limiter.queued)

    def claim_probe(self) -> bool:
        """Return True and start a new probe interval if a probe is due."""
        now = self._clock.now()
        if now - self.probed_at < PROBE_INTERVAL_S:
            return False
        self.probed_at = now
        return True
