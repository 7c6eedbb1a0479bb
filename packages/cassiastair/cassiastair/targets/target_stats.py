"""What this VM has seen of one target."""

from ..clock import Clock
from ..data import Target
from .concurrency_limiter import ConcurrencyLimiter
from .health import Health
from .limit import AdaptiveLimit

BEST_DRIFT = 1.002  # growth of the best latency at each answer, to follow changes
SMOOTHING = 0.2  # weight of a new latency in the average
REPORT_HALF_LIFE_S = 1.0  # age at which a load report counts half
DOWN_AFTER = 2  # connection failures in a row
UNKNOWN_LATENCY_S = 0.001  # assumed of a target that never answered, so it is tried
PROBE_INTERVAL_S = 3.0  # time between looks whether a target needs a probe


class TargetStats:
    """In-flight count, latency and failures of one target, as seen from here.

    Parameters
    ----------
    target : Target
        The target.
    clock : Clock
        Source of time.
    limit : AdaptiveLimit
        Bound on the requests in progress.
    health : Health
        Told when the target goes down or comes back.
    """

    __slots__ = (
        "target",
        "name",
        "limiter",
        "latency",
        "best",
        "failures",
        "incarnation",
        "answered_at",
        "probed_at",
        "_clock",
        "_load",
        "_load_at",
        "_health",
    )

    def __init__(
        self, target: Target, clock: Clock, limit: AdaptiveLimit, health: Health
    ):
        self.target = target
        self.name = target.name
        self.limiter = ConcurrencyLimiter(limit)
        self.latency: float | None = None
        self.best = float("inf")
        self.failures = 0
        self.incarnation = ""
        self.answered_at = 0.0
        self.probed_at = 0.0
        self._clock = clock
        self._load = 0.0
        self._load_at = 0.0
        self._health = health

    @property
    def in_flight(self) -> int:
        """Requests in progress or queued from this VM."""
        return self.limiter.in_progress + self.limiter.queued

    @property
    def down(self) -> bool:
        """Whether connections to the target fail."""
        return self.failures >= DOWN_AFTER

    def record_success(self, latency: float) -> None:
        """Take note of an answer after some seconds."""
        if self.failures:
            self.record_recovery()
        self.answered_at = self._clock.now()
        self.record_latency(latency)
        self.best = min(self.best * BEST_DRIFT, self.latency)
        self.limiter.limit.record_success(
            self.limiter.in_progress, self.latency / self.best
        )

    def record_recovery(self) -> None:
        """Take note that the target is reachable; it starts with little load."""
        if self.down:
            self.limiter.limit.restart()
            self._health.note_change()
        self.failures = 0

    def record_latency(self, latency: float) -> None:
        """Add a latency, or the time that an abandoned request had waited."""
        if self.latency is None:
            self.latency = latency
        else:
            self.latency += SMOOTHING * (latency - self.latency)

    def record_abandoned(self, waited: float) -> None:
        """Take note that an answer did not come while somebody waited for it."""
        if self.latency is None or waited > self.latency:
            self.record_latency(waited)

    def record_connection_failure(self) -> None:
        """Take note of a failed connection."""
        self.failures += 1
        if self.failures == DOWN_AFTER:
            self._health.note_change()

    def record_load(self, load: float) -> None:
        """Take the target's own report of its load."""
        self._load = load
        self._load_at = self._clock.now()

    @property
    def reported_load(self) -> float:
        """Last reported load, whatever its age."""
        return self._load

    def weigh_load(self) -> float:
        """Return the reported load, counted less the older it is, at most one."""
        age = self._clock.now() - self._load_at
        return min(self._load, 1.0) * 0.5 ** (age / REPORT_HALF_LIFE_S)

    def estimate_wait(self) -> float:
        """Return the expected wait at the target in seconds, for comparison."""
        latency = UNKNOWN_LATENCY_S if self.latency is None else self.latency
        return latency * (1 + self.limiter.in_progress + self.limiter.queued)

    def take_probe(self) -> bool:
        """Tell whether the time for a probe, if slow, has come; a yes takes it."""
        now = self._clock.now()
        if now - self.probed_at < PROBE_INTERVAL_S:
            return False
        self.probed_at = now
        return True
