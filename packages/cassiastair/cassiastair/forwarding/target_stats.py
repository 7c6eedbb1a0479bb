"""Statistics that this VM keeps about one routed target."""

from .routed_target import RoutedTarget

SMOOTHING = 0.25  # weight of a new latency in the moving average
INITIAL_BACKOFF_S = 0.3  # doubles with each further failure
MAX_BACKOFF_S = 2.0  # short, so that a target that recovers is soon used again
WARM_UP_RATIO = 1.6  # assumed latency ratio of a target that has just started
SUSPECT_AFTER_FAILURES = 2  # consecutive sends without any reply, then a probe
TRIAL_S = 0.25  # in which another process at a target's address would have answered
MAX_RATIO = 12.0  # cap of latency ratios, so that a slow target still gets some sends


class RoutedTargetStats:
    """In-flight sends, relative latency and failures of one target.

    Latencies are kept as ratios to the mean latency of the route, so that requests
    of different routes can be compared.

    Parameters
    ----------
    target : RoutedTarget
        Current record of the target.

    Attributes
    ----------
    latency_ratio : float
        Moving average of the latency, relative to the mean of the route.
    failures : int
        Number of consecutive failures and refusals.
    silent_failures : int
        Number of consecutive sends that failed without any reply.
    backoff_until : float
        Time until which the target is avoided, in seconds.
    answered_at : float
        Time of the last answer, in seconds.
    unreachable : bool
        Whether the last probe could not open a connection.
    paused_until : float
        Time until which the target wants no requests from this VM, in seconds.
    displaced : bool
        Whether another process has answered at the target's address.
    in_doubt : bool
        Whether the target was out of reach and has not replied since. A connection to
        its address is then no proof that it still has that address.
    """

    __slots__ = (
        "target",
        "latency_ratio",
        "failures",
        "silent_failures",
        "backoff_until",
        "answered_at",
        "unreachable",
        "paused_until",
        "displaced",
        "in_doubt",
        "_started_at",
    )

    def __init__(self, target: RoutedTarget):
        self.target = target
        self.latency_ratio = WARM_UP_RATIO if target.warm_up > 0 else 1.0
        self.failures = 0
        self.silent_failures = 0
        self.backoff_until = 0.0
        self.answered_at = 0.0
        self.unreachable = False
        self.paused_until = 0.0
        self.displaced = False
        self.in_doubt = False
        self._started_at: dict[object, float] = {}

    @property
    def in_flight(self) -> int:
        """Number of sends from this VM that have not ended."""
        return len(self._started_at)

    def record_start(self, send: object, now: float) -> None:
        """Record the start of a send."""
        self._started_at[send] = now

    def record_end(self, send: object) -> None:
        """Record the end of a send, whatever its outcome."""
        self._started_at.pop(send, None)

    def record_answer(self, ratio: float, now: float) -> None:
        """Record an answer, which ends any backoff.

        Parameters
        ----------
        ratio : float
            Latency, relative to the mean latency of the route.
        now : float
            Time in seconds.
        """
        self.failures = 0
        self.silent_failures = 0
        self.backoff_until = 0.0
        self.unreachable = False
        self.answered_at = now
        self.latency_ratio += SMOOTHING * (min(ratio, MAX_RATIO) - self.latency_ratio)

    def record_wait(self, ratio: float) -> None:
        """Record that a send has waited for an answer so far.

        The wait is a lower bound of the latency, so it can only raise the average.

        Parameters
        ----------
        ratio : float
            Time waited, relative to the mean latency of the route.
        """
        if ratio > self.latency_ratio:
            self.latency_ratio += SMOOTHING * (
                min(ratio, MAX_RATIO) - self.latency_ratio
            )

    def record_failure(self, now: float) -> None:
        """Record a failure without a reply and extend the backoff exponentially."""
        self.silent_failures += 1
        self._extend_backoff(now)

    def record_failed_reply(self, now: float) -> None:
        """Record a refusal or an error and extend the backoff exponentially.

        A target that replies is reachable, so it is not probed. Probes of
        many VMs would use up the connections that the target accepts.
        """
        self.silent_failures = 0
        self.unreachable = False
        self.answered_at = now
        self._extend_backoff(now)

    def _extend_backoff(self, now: float) -> None:
        """Avoid the target for a time that doubles with each failure."""
        backoff = min(INITIAL_BACKOFF_S * 2**self.failures, MAX_BACKOFF_S)
        self.failures += 1
        self.backoff_until = now + backoff

    def record_connected(self) -> None:
        """Record that a probe opened a connection.

        This ends the backoff of an unreachable target only. A target that accepts
        connections but doesn't answer stays in its backoff.
        """
        if self.unreachable:
            self.unreachable = False
            self.failures = 1
            self.silent_failures = 1
            self.backoff_until = 0.0

    def record_unreachable(self, now: float) -> None:
        """Record that a probe could not open a connection."""
        self.unreachable = True
        self.in_doubt = True
        self.record_failure(now)

    def find_trial_wait(self, now: float) -> float:
        """Return for how many seconds doubt keeps further requests from the target.

        A target in doubt gets one request, and the next one after its reply or the time
        of a trial.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        if not self.in_doubt or not self._started_at:
            return 0.0
        return max(0.0, max(self._started_at.values()) + TRIAL_S - now)

    def is_suspect(self, now: float, stall_time: float) -> bool:
        """Return True if the target may be unreachable and should be probed.

        Parameters
        ----------
        now : float
            Time in seconds.
        stall_time : float
            Seconds without an answer after which the target counts as stalled.
        """
        return (
            self.unreachable
            or self.silent_failures >= SUSPECT_AFTER_FAILURES
            or self.is_stalled(now, stall_time)
        )

    def is_stalled(self, now: float, stall_time: float) -> bool:
        """Return True if the oldest send has waited too long since the last answer.

        Parameters
        ----------
        now : float
            Time in seconds.
        stall_time : float
            Seconds without an answer after which the target counts as stalled.
        """
        if not self._started_at:
            return False
        oldest = min(self._started_at.values())
        return now - max(oldest, self.answered_at) > stall_time
