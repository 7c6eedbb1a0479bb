"""Choice of one target for one send."""

import random
from collections.abc import Sequence

from .outlier_detector import OutlierDetector
from .target_stats import RoutedTargetStats

FOREIGN_FACTOR = 1.6  # weight of the way to another data centre, whose bytes cost
TROUBLE_FACTOR = 4.0  # weight of a target that VMs have seen slow or failing
# Targets from which on the word of peers counts. With two, the other one would get
# all the load, and this VM asks each often enough to judge by itself.
FEWEST_TO_HEED = 3
SHARPNESS = 2  # power of the expected wait in the odds of a choice


class RoutedTargetChooser:
    """Random choice that favours short expected waits.

    Load: each VM sees a target a few times a second, so most targets have nothing
    in flight from here and differ in speed alone. The fastest is not always taken,
    since all VMs would then queue at it; the odds fall with the square of the
    expected wait. Targets that stall or have just failed stand back while another
    remains.

    Parameters
    ----------
    source : random.Random
        Source of random numbers.
    data_centre : str
        Data centre of this VM.
    troubled : OutlierDetector
        Targets that VMs of the data centre have seen slow or failing.
    """

    def __init__(
        self, source: random.Random, data_centre: str, troubled: OutlierDetector
    ):
        self._source = source
        self._data_centre = data_centre
        self._troubled = troubled

    def choose(
        self, candidates: Sequence[RoutedTargetStats], now: float, patience: float
    ) -> RoutedTargetStats:
        """Return the target to send to.

        Parameters
        ----------
        candidates : sequence of RoutedTargetStats
            At least one target.
        now : float
            Time in seconds.
        patience : float
            Seconds without an answer after which a target is taken for stalled.
        """
        if len(candidates) == 1:
            return candidates[0]
        sound = [
            c
            for c in candidates
            if c.avoid_until <= now
            and not c.unreachable
            and not c.is_stalled(now, patience)
        ]
        if not sound:
            return min(
                candidates, key=lambda c: (c.unreachable, c.avoid_until, c.in_flight)
            )
        if len(sound) == 1:
            return sound[0]
        heeds_peers = len(sound) >= FEWEST_TO_HEED
        odds = [1.0 / self._estimate(c, heeds_peers) ** SHARPNESS for c in sound]
        point = self._source.random() * sum(odds)
        for candidate, part in zip(sound, odds, strict=True):
            point -= part
            if point <= 0:
                return candidate
        return sound[-1]

    def _estimate(self, candidate: RoutedTargetStats, heeds_peers: bool) -> float:
        """Return the expected wait, relative to a typical one."""
        wait = max(candidate.slowness, 0.1) * (1 + candidate.in_flight)
        if candidate.target.data_centre != self._data_centre:
            wait *= FOREIGN_FACTOR
        if heeds_peers and self._troubled.is_outlier(candidate.target.name):
            wait *= TROUBLE_FACTOR
        return wait
