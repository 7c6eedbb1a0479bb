"""Connection probes of targets that may be unreachable.

When a data centre is cut off, about half of the targets stop answering at once. If
callers' requests had to detect that, each would spend time and retries on it. The
prober opens a connection to every target that has stopped answering instead; until
one succeeds, no request waits for that target.

A target that was out of reach may have ended, and its address may have been given to
another process. The prober therefore asks who answers before requests are sent there.
Without proof the target stays in doubt until it replies, and gets one request at a
time.
"""

from collections.abc import Callable

from ..clock import Clock
from .probe_result import ProbeResult
from .routed_target import RoutedTarget
from .target_registry import RoutedTargetRegistry
from .target_stats import RoutedTargetStats

STALL_TIME_S = 0.4  # time without an answer; longer than the usual pauses of a target
PROBE_INTERVAL_S = 0.5  # time between two probes of one target
SCAN_INTERVAL_S = 0.1  # time between two searches for targets to probe
MAX_CONCURRENT_PROBES = 64  # bounds the open sockets when a data centre is cut off


class TargetProber:
    """Probes stalled and unreachable targets until they accept a connection.

    Parameters
    ----------
    registry : RoutedTargetRegistry
        Targets to watch.
    probe : callable
        Probes a target, see `TargetTransport.probe`.
    on_displaced : callable
        Called with a target at whose address another process has answered.
    spawn : callable
        Runs a function with its arguments in a new task.
    sleep : callable
        Suspends the current task for a number of seconds.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        registry: RoutedTargetRegistry,
        probe: Callable[[RoutedTarget, bool], ProbeResult],
        on_displaced: Callable[[RoutedTarget], None],
        spawn: Callable,
        sleep: Callable[[float], None],
        clock: Clock,
    ):
        self._registry = registry
        self._probe = probe
        self._on_displaced = on_displaced
        self._spawn = spawn
        self._sleep = sleep
        self._clock = clock
        self._probed_at: dict[str, float] = {}
        self._running = 0

    def run(self) -> None:
        """Start due probes at a fixed interval; never returns."""
        while True:
            self.probe_due()
            self._sleep(SCAN_INTERVAL_S)

    def probe_due(self) -> None:
        """Start the probes that are due."""
        now = self._clock.now()
        due = [
            e
            for e in self._registry.find_suspects(now, STALL_TIME_S)
            if self._is_due(e, now)
        ]
        for stats in due[: MAX_CONCURRENT_PROBES - self._running]:
            self._probed_at[stats.target.name] = now
            self._running += 1
            self._spawn(self._run_probe, stats)

    def _is_due(self, stats: RoutedTargetStats, now: float) -> bool:
        """Return True if the last probe of a target is long enough ago."""
        return now - self._probed_at.get(stats.target.name, 0.0) >= PROBE_INTERVAL_S

    def _run_probe(self, stats: RoutedTargetStats) -> None:
        """Probe one target and record the result."""
        is_paused = stats.paused_until > self._clock.now()
        try:
            result = self._probe(stats.target, stats.unreachable and not is_paused)
        finally:
            self._running -= 1
        if result is ProbeResult.UNREACHABLE:
            stats.record_unreachable(self._clock.now())
            return
        self._probed_at.pop(stats.target.name, None)
        if result is ProbeResult.DISPLACED:
            self._on_displaced(stats.target)
            return
        stats.record_connected()
        if result is ProbeResult.IDENTIFIED:
            stats.in_doubt = False
