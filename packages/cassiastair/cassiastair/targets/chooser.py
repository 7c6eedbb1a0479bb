"""Choice among the targets that can answer for a shard."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from .evidence import Evidence


class TargetChooser(ABC):
    """Chooses one of several targets."""

    @abstractmethod
    def choose(self, candidates: Sequence[Evidence]) -> Evidence:
        """Return the target to ask; there is at least one candidate."""

    def find_probe(self, candidates: Sequence[Evidence]) -> Evidence | None:
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

    def choose(self, candidates: Sequence[Evidence]) -> Evidence:
        """Return any candidate."""
        return self._source.choice(candidates)


class ReportChooser(TargetChooser):
    """Baseline: the target that reports the lowest load.

    Parameters
    ----------
    source : random.Random
        Source of random numbers, to break ties.
    """

    def __init__(self, source: random.Random):
        self._source = source

    def choose(self, candidates: Sequence[Evidence]) -> Evidence:
        """Return the candidate with the lowest reported load."""
        return min(candidates, key=lambda c: (c.reported_load, self._source.random()))


class EvidenceChooser(TargetChooser):
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

    def choose(self, candidates: Sequence[Evidence]) -> Evidence:
        """Return the better of two healthy candidates."""
        if len(candidates) == 1:
            return candidates[0]
        healthy = self._keep_healthy(candidates)
        if len(healthy) > 2:
            healthy = self._source.sample(healthy, 2)
        return min(healthy, key=Evidence.score)

    def _keep_healthy(self, candidates: Sequence[Evidence]) -> Sequence[Evidence]:
        """Leave out failing and slow candidates while others remain."""
        up = [candidate for candidate in candidates if not candidate.down]
        if not up:
            return candidates
        fastest = self._find_fastest(up)
        return [c for c in up if not c.is_slow_beside(fastest)] or up

    @staticmethod
    def _find_fastest(candidates: Sequence[Evidence]) -> float:
        """Return the lowest known latency; infinite if none is known."""
        known = [c.latency for c in candidates if c.latency is not None]
        return min(known, default=float("inf"))

    def find_probe(self, candidates: Sequence[Evidence]) -> Evidence | None:
        """Return a slow target whose probe is due."""
        if len(candidates) < 2:
            return None
        up = [candidate for candidate in candidates if not candidate.down]
        fastest = self._find_fastest(up)
        for candidate in up:
            if candidate.is_slow_beside(fastest) and candidate.take_probe():
                return candidate
        return None
