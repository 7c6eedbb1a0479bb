"""Choice of one of the targets that can answer for a shard."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from .target_stats import TargetStats

SLOW_RATIO = 3.0  # multiple of the fastest target's latency that counts as slow
MIN_SLOW_GAP_S = 0.010  # smaller differences of latency are noise
LOAD_HINT_SHARE = 0.1  # relative difference of waits below which load reports count


class TargetChooser(ABC):
    """Chooses one of several targets."""

    @abstractmethod
    def choose(self, candidates: Sequence[TargetStats]) -> TargetStats:
        """Return the target that gets the next request.

        Parameters
        ----------
        candidates : sequence of TargetStats
            Targets to choose from, at least one.
        """

    def find_probe(self, candidates: Sequence[TargetStats]) -> TargetStats | None:
        """Return a slow target that is due for a probe; None if there is none.

        A probe is sent in addition to the request to the chosen target, to see if
        the target is still slow.
        """
        return None


class RandomChooser(TargetChooser):
    """Baseline that chooses a random target.

    Parameters
    ----------
    rng : random.Random
        Random number generator.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, candidates: Sequence[TargetStats]) -> TargetStats:
        """Return a random candidate."""
        return self._rng.choice(candidates)


class ReportedLoadChooser(TargetChooser):
    """Baseline that chooses the target with the lowest reported load.

    Parameters
    ----------
    rng : random.Random
        Random number generator, which breaks ties.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, candidates: Sequence[TargetStats]) -> TargetStats:
        """Return the candidate with the lowest reported load."""
        return min(candidates, key=lambda c: (c.reported_load, self._rng.random()))


class PowerOfTwoChooser(TargetChooser):
    """Chooses the better of two random healthy targets ("power of two choices").

    Healthy means neither failing nor slow according to this VM's own statistics. If
    no target is healthy, all are candidates. Slow targets get a probe from time to
    time, in addition to the request that goes to a healthy target.

    Parameters
    ----------
    rng : random.Random
        Random number generator.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(self, candidates: Sequence[TargetStats]) -> TargetStats:
        """Return the better of two random healthy candidates."""
        if len(candidates) == 1:
            return candidates[0]
        healthy = select_healthy(candidates)
        if len(healthy) == 1:
            return healthy[0]
        one, other = healthy if len(healthy) == 2 else self._rng.sample(healthy, 2)
        return choose_better(one, other)

    def find_probe(self, candidates: Sequence[TargetStats]) -> TargetStats | None:
        """Return the first slow target whose probe is due; None if there is none."""
        due = [candidate for candidate in candidates if candidate.claim_probe()]
        if not due:
            return None
        threshold = compute_slow_threshold([c for c in candidates if not c.down])
        for candidate in due:
            is_measured = candidate.latency is not None and not candidate.down
            if is_measured and candidate.latency > threshold:
                return candidate
        return None


def select_healthy(candidates: Sequence[TargetStats]) -> Sequence[TargetStats]:
    """Return the candidates without failing and slow ones, but never an empty list.

    Targets with a recent failure are excluded first, then slow ones. If all failed,
    those that are not down yet stay; if all are down, all candidates are returned.
    """
    reachable = [candidate for candidate in candidates if not candidate.failures]
    if not reachable:
        reachable = [candidate for candidate in candidates if not candidate.down]
    if not reachable:
        return candidates
    threshold = compute_slow_threshold(reachable)
    return [c for c in reachable if c.latency is None or c.latency <= threshold]


def compute_slow_threshold(candidates: Sequence[TargetStats]) -> float:
    """Return the latency in seconds above which a candidate is slow.

    The fastest candidate never exceeds it. It is infinite if no latency is known.
    """
    latencies = [c.latency for c in candidates if c.latency is not None]
    if not latencies:
        return float("inf")
    fastest = min(latencies)
    return max(fastest * SLOW_RATIO, fastest + MIN_SLOW_GAP_S)


def choose_better(one: TargetStats, other: TargetStats) -> TargetStats:
    """Return the candidate with the shorter expected wait.

    Reported loads count only if the waits are nearly equal, since reports lag and
    may be wrong.
    """
    one_wait, other_wait = one.estimate_wait(), other.estimate_wait()
    if one_wait < other_wait * (1 - LOAD_HINT_SHARE):
        return one
    if other_wait < one_wait * (1 - LOAD_HINT_SHARE):
        return other
    one_wait *= 1 + LOAD_HINT_SHARE * one.compute_decayed_load()
    other_wait *= 1 + LOAD_HINT_SHARE * other.compute_decayed_load()
    return one if one_wait <= other_wait else other
