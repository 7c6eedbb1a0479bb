"""Choice of the target of a send among the targets of a service."""

import random
from collections.abc import Callable, Sequence

from .outlier_detector import OutlierDetector
from .routed_target import RoutedTarget
from .target_stats import RoutedTargetStats

REMOTE_FACTOR = 1.6  # factor on the wait at targets in other data centres
OUTLIER_FACTOR = 4.0  # factor on the wait at slow or failing targets
NEW_CONNECTION_FACTOR = 3.0  # factor on the wait at targets without a kept connection
# Healthy targets from which on outlier reports of peers are used. With two targets, a
# report would shift nearly all load to the other one, and this VM sends to each often
# enough to judge by its own statistics.
MIN_TARGETS_FOR_PEER_REPORTS = 3
WAIT_EXPONENT = 2  # weights fall with this power of the expected wait


class RoutedTargetChooser:
    """Weighted random choice that prefers targets with short expected waits.

    A VM sends to each target only a few times a second, so most targets have no
    send of this VM in flight and differ only in latency. If every VM chose the
    fastest target, all would queue there; the weight of a target therefore falls
    with the square of its expected wait. Targets that are stalled, unreachable or
    in backoff are chosen only if no healthy target remains.

    Targets in other data centres count as slower, because traffic between data
    centres is charged, and so do targets to which this VM keeps no connections.

    Parameters
    ----------
    rng : random.Random
        Random number generator.
    data_centre : str
        Data centre of this VM.
    outliers : OutlierDetector
        Slow and failing targets, as seen by the VMs of the data centre.
    keeps_connection : callable
        Returns whether this VM keeps connections to a target.
    """

    def __init__(
        self,
        rng: random.Random,
        data_centre: str,
        outliers: OutlierDetector,
        keeps_connection: Callable[[RoutedTarget], bool],
    ):
        self._rng = rng
        self._data_centre = data_centre
        self._outliers = outliers
        self._keeps_connection = keeps_connection

    def choose(
        self, candidates: Sequence[RoutedTargetStats], now: float, stall_time: float
    ) -> RoutedTargetStats:
        """Return the target to send to.

        Parameters
        ----------
        candidates : sequence of RoutedTargetStats
            Targets to choose from, at least one.
        now : float
            Time in seconds.
        stall_time : float
            Seconds without an answer after which a target counts as stalled.
        """
        if len(candidates) == 1:
            return candidates[0]
        healthy = [
            c
            for c in candidates
            if c.backoff_until <= now
            and not c.unreachable
            and not c.is_stalled(now, stall_time)
        ]
        if not healthy:
            return min(
                candidates, key=lambda c: (c.unreachable, c.backoff_until, c.in_flight)
            )
        if len(healthy) == 1:
            return healthy[0]
        use_peer_reports = (
            len(healthy) >= MIN_TARGETS_FOR_PEER_REPORTS
            and self._outliers.has_reports()
        )
        weights = [
            1.0 / self._estimate_wait(c, use_peer_reports) ** WAIT_EXPONENT
            for c in healthy
        ]
        point = self._rng.random() * sum(weights)
        for candidate, weight in zip(healthy, weights, strict=True):
            point -= weight
            if point <= 0:
                return candidate
        return healthy[-1]

    def _estimate_wait(
        self, candidate: RoutedTargetStats, use_peer_reports: bool
    ) -> float:
        """Return the expected wait, relative to the mean latency of the route."""
        wait = max(candidate.latency_ratio, 0.1) * (1 + candidate.in_flight)
        if candidate.target.data_centre != self._data_centre:
            wait *= REMOTE_FACTOR
        if not self._keeps_connection(candidate.target):
            wait *= NEW_CONNECTION_FACTOR
        if use_peer_reports and self._outliers.is_outlier(candidate.target.name):
            wait *= OUTLIER_FACTOR
        return wait
