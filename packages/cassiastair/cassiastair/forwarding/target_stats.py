"""What this VM has seen of one routed target."""

from .routed_target import RoutedTarget

SMOOTHING = 0.25  # weight of a new latency in the average
FAILURE_PAUSE_S = 0.3  # first pause after a failed connection; doubles
LONGEST_PAUSE_S = 2.0  # highest pause, so a target that returns is found soon
COLD_FACTOR = 1.6  # expected slowness of a target that has just started
DOWN_AFTER = 2  # failures in a row after which a target is tried for itself
SLOWEST = 12.0  # ratio at which a target's slowness is cut, so that it is tried


class RoutedTargetStats:
    """In-flight sends, relative latency and failures of one target.

    Latencies are kept as ratios to the typical latency of the same kind of
    request, so that kinds of different lengths can be compared.

    Parameters
    ----------
    target : RoutedTarget
        The target.
    """

    __slots__ = (
        "target",
        "slowness",
        "failures",
        "avoid_until",
        "answered_at",
        "unreachable",
        "_started",
    )

    def __init__(self, target: RoutedTarget):
        self.target = target
        self.slowness = COLD_FACTOR if target.warm_up > 0 else 1.0
        self.failures = 0
        self.avoid_until = 0.0
        self.answered_at = 0.0
        self.unreachable = False
        self._started: dict[object, float] = {}

    @property
    def in_flight(self) -> int:
        """Sends in progress from this VM."""
        return len(self._started)

    def began(self, send: object, now: float) -> None:
        """Take note of a send."""
        self._started[send] = now

    def ended(self, send: object) -> None:
        """Take note that a send has ended, whatever came of it."""
        self._started.pop(send, None)

    def answered(self, ratio: float, now: float) -> None:
        """Take note of an answer.

        Parameters
        ----------
        ratio : float
            Latency over the typical latency of the kind of request.
        now : float
            Time in seconds.
        """
        self.failures = 0
        self.avoid_until = 0.0
        self.unreachable = False
        self.answered_at = now
        self.slowness += SMOOTHING * (min(ratio, SLOWEST) - self.slowness)

    def waited(self, ratio: float) -> None:
        """Take note that no answer has come for some time."""
        if ratio > self.slowness:
            self.slowness += SMOOTHING * (min(ratio, SLOWEST) - self.slowness)

    def failed(self, now: float) -> None:
        """Take note of a failed connection or a refusal; stand back for a while."""
        pause = min(FAILURE_PAUSE_S * 2**self.failures, LONGEST_PAUSE_S)
        self.failures += 1
        self.avoid_until = now + pause

    def reached(self) -> None:
        """Take note that a connection could be opened; answers may still lack.

        A target that only answers slowly goes on standing back.
        """
        if self.unreachable:
            self.unreachable = False
            self.failures = 1
            self.avoid_until = 0.0

    def lost(self, now: float) -> None:
        """Take note that no connection could be opened."""
        self.unreachable = True
        self.failed(now)

    def is_suspect(self, now: float, silence: float) -> bool:
        """Tell whether it is in doubt that the target can be reached."""
        return (
            self.unreachable
            or self.failures >= DOWN_AFTER
            or self.is_stalled(now, silence)
        )

    def is_stalled(self, now: float, patience: float) -> bool:
        """Tell whether a send has waited long while nothing else was answered."""
        if not self._started:
            return False
        oldest = min(self._started.values())
        return now - max(oldest, self.answered_at) > patience
