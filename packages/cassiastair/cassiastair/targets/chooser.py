"""Choice among the targets that can answer for a shard."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from .target_stats import TargetStats

SLOW_RATIO = 3.0  # times the fastest sibling's latency at which a target is slow
SLOW_FLOOR_S = 0.010  # differences below this are noise
HINT_SHARE = 0.1  # difference of waits up to which a load report decides


class TargetChooser(ABC):
    """Chooses one of several targets."""

    @abstractmethod
    def choose(self, candidates: Sequence[TargetStats]) -> TargetStats:
        """Return the target to ask; there is at least one candidate."""

    def find_probe(self, candidates: Sequence[TargetStats]) -> TargetStats | None:
        """Return a slow target that is due for a probe beside the chosen one."""
        return None


class RandomChooser(TargetChooser):
    """Baseline: any target, whatever is known of it.

    Parameters
    ----------
    source : random.Random
        Source of random numbers.
    """

    def __init__(self, source: random.Random):
        self._source = source

    def choose(self, candidates: Sequence[TargetStats]) -> TargetStats:
        """Return any candidate."""
        return self._source.choice(candidates)


class ReportedLoadChooser(TargetChooser):
    """Baseline: the target that reports the lowest load.

    Parameters
    ----------
    source : random.Random
        Source of random numbers, to break ties.
    """

    def __init__(self, source: random.Random):
        self._source = source

    def choose(self, candidates: Sequence[TargetStats]) -> TargetStats:
        """Return the candidate with the lowest reported load."""
        return min(candidates, key=lambda c: (c.reported_load, self._source.random()))


class PowerOfTwoChooser(TargetChooser):
    """Power of two choices by own evidence; slow and failing targets stand back.

    The last candidate is never left out. A slow target is probed from time to
    time, beside and not in place of a healthy one.

    Parameters
    ----------
    source : random.Random
        Source of random numbers.
    """

    def __init__(self, source: random.Random):
        self._source = source

    def choose(self, candidates: Sequence[TargetStats]) -> TargetStats:
        """Return the better of two healthy candidates."""
        if len(candidates) == 1:
            return candidates[0]
        healthy = keep_healthy(candidates)
        if len(healthy) == 1:
            return healthy[0]
        one, other = healthy if len(healthy) == 2 else self._source.sample(healthy, 2)
        return choose_better(one, other)

    def find_probe(self, candidates: Sequence[TargetStats]) -> TargetStats | None:
        """Return a slow target whose probe is due."""
        due = [candidate for candidate in candidates if candidate.take_probe()]
        if not due:
            return None
        limit = find_slow_limit([c for c in candidates if not c.down])
        for candidate in due:
            known = candidate.latency is not None and not candidate.down
            if known and candidate.latency > limit:
                return candidate
        return None


def keep_healthy(candidates: Sequence[TargetStats]) -> Sequence[TargetStats]:
    """Leave out failing and slow candidates while others remain."""
    up = [candidate for candidate in candidates if not candidate.failures]
    if not up:
        up = [candidate for candidate in candidates if not candidate.down]
    if not up:
        return candidates
    limit = find_slow_limit(up)
    return [c for c in up if c.latency is None or c.latency <= limit]


def find_slow_limit(candidates: Sequence[TargetStats]) -> float:
    """Return the latency in seconds above which a target is slow beside its siblings.

    The fastest candidate is never above it.
    """
    known = [c.latency for c in candidates if c.latency is not None]
    if not known:
        return float("inf")
    fastest = min(known)
    return max(fastest * SLOW_RATIO, fastest + SLOW_FLOOR_S)


def choose_better(one: TargetStats, other: TargetStats) -> TargetStats:
    """Return the candidate with the shorter expected wait.

    The targets' own reports decide between waits that are nearly equal only, since
    they lag and may mislead.
    """
    first, second = one.estimate_wait(), other.estimate_wait()
    if first < second * (1 - HINT_SHARE):
        return one
    if second < first * (1 - HINT_SHARE):
        return other
    first *= 1 + HINT_SHARE * one.weigh_load()
    second *= 1 + HINT_SHARE * other.weigh_load()
    return one if first <= second else other
