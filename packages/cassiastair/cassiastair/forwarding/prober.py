"""Finds out which targets can be reached, beside the requests of callers.

Load: when a data centre is cut off, half of all targets go silent at once. If
callers' requests had to find out again and again, each would lose time and repeats
to it. Instead a target that is silent is tried by opening a connection, and no
request waits for it meanwhile.
"""

from collections.abc import Callable

from ..clock import Clock
from .target_registry import RoutedTargetRegistry
from .target_stats import RoutedTargetStats

SILENT_S = 0.4  # silence that no ordinary pause of a target explains
INTERVAL_S = 0.5  # time between two tries of one target
TICK_S = 0.1  # interval of looks at the targets
MAX_AT_ONCE = 64  # tries under way, so that a cut does not fill the process


class TargetProber:
    """Tries silent and unreachable targets until they answer.

    Parameters
    ----------
    book : RoutedTargetRegistry
        Targets.
    probe : callable
        Opens a connection to a target; tells whether that succeeded.
    spawn : callable
        Runs a function in a task of its own.
    sleep : callable
        Lets other tasks run for some seconds.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        book: RoutedTargetRegistry,
        probe: Callable[[object], bool],
        spawn: Callable,
        sleep: Callable[[float], None],
        clock: Clock,
    ):
        self._book = book
        self._probe = probe
        self._spawn = spawn
        self._sleep = sleep
        self._clock = clock
        self._tried_at: dict[str, float] = {}
        self._under_way = 0

    def run(self) -> None:
        """Look at the targets for as long as the process runs."""
        while True:
            self.probe_due()
            self._sleep(TICK_S)

    def probe_due(self) -> None:
        """Start the tries that are due."""
        now = self._clock.now()
        due = [e for e in self._book.suspects(now, SILENT_S) if self._is_due(e, now)]
        for evidence in due[: MAX_AT_ONCE - self._under_way]:
            self._tried_at[evidence.target.name] = now
            self._under_way += 1
            self._spawn(self._try, evidence)

    def _is_due(self, evidence: RoutedTargetStats, now: float) -> bool:
        """Tell whether a target's last try is long enough ago."""
        return now - self._tried_at.get(evidence.target.name, 0.0) >= INTERVAL_S

    def _try(self, evidence: RoutedTargetStats) -> None:
        """Try one target."""
        try:
            reached = self._probe(evidence.target)
        finally:
            self._under_way -= 1
        if reached:
            evidence.reached()
            self._tried_at.pop(evidence.target.name, None)
        else:
            evidence.lost(self._clock.now())
