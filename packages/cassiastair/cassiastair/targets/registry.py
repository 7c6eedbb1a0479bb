"""Statistics of all targets, and which targets may get new work."""

import math
from collections.abc import Sequence

from ..clock import Clock
from ..data import KeyRange, Target
from ..membership.draining import DrainingTargets
from ..tickets.catalogue import Catalogue
from .limit import AdaptiveLimit
from .reachability import ReachabilityCounter
from .target_stats import TargetStats


class TargetRegistry:
    """Statistics by target, created when a target is first used.

    Also lists, for each shard, the targets that may get new work: those in force that
    are not draining.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration objects in force.
    draining_targets : DrainingTargets
        Targets that get no new work because they are draining.
    clock : Clock
        Monotonic clock.
    vm_count : int
        Initial number of VMs that share the connections of the targets.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        draining_targets: DrainingTargets,
        clock: Clock,
        vm_count: int,
    ):
        self._catalogue = catalogue
        self._draining_targets = draining_targets
        self._clock = clock
        self.vm_count = max(1, vm_count)
        self.reachability = ReachabilityCounter()
        self._stats: dict[str, TargetStats] = {}
        self._candidates: dict[tuple[str, KeyRange], list[TargetStats]] = {}
        self._cached_generations = (-1, -1)

    def connection_share(self, target: Target) -> int:
        """Return the number of connections that this VM may have to a target."""
        return max(1, target.connection_limit // self.vm_count)

    def set_vm_count(self, count: int) -> None:
        """Change the number of VMs that share the targets, and their limits with it."""
        if count == self.vm_count:
            return
        self.vm_count = max(1, count)
        for stats in self._stats.values():
            stats.limiter.limit.set_ceiling(self.connection_share(stats.target))

    def get(self, target: Target) -> TargetStats:
        """Return the statistics of a target; a new address starts new statistics."""
        tracked = self._stats.get(target.name)
        if tracked is not None and tracked.target is target:
            return tracked
        if tracked is not None and has_same_address(tracked.target, target):
            tracked.target = target
            return tracked
        share = self.connection_share(target)
        start = math.ceil(2 * target.slots / self.vm_count)
        limit = AdaptiveLimit(start, share)
        stats = TargetStats(target, self._clock, limit, self.reachability)
        self._stats[target.name] = stats
        return stats

    def list_tracked(self) -> list[TargetStats]:
        """Return the statistics of all targets that were used and are in force.

        The statistics of targets that are no longer in force are removed.
        """
        targets = self._catalogue.targets
        for name in [name for name in self._stats if name not in targets]:
            del self._stats[name]
        return list(self._stats.values())

    def generations(self) -> tuple[int, int]:
        """Return the generations of the inputs of `candidates`, as a cache key."""
        return (self._catalogue.generation, self._draining_targets.generation)

    def candidates(self, service: str, shard: KeyRange) -> list[TargetStats]:
        """Return the statistics of a shard's targets that may get new work."""
        generations = self.generations()
        if generations != self._cached_generations:
            self._candidates.clear()
            self._cached_generations = generations
        key = (service, shard)
        if key not in self._candidates:
            self._candidates[key] = self._find_candidates(service, shard)
        return self._candidates[key]

    def _find_candidates(self, service: str, shard: KeyRange) -> list[TargetStats]:
        """Select a shard's targets that are not draining."""
        return [
            self.get(target)
            for target in self._catalogue.targets_of(service)
            if target.serves(shard) and not self._is_draining(target)
        ]

    def _is_draining(self, target: Target) -> bool:
        """Return True if any source says that a target is draining."""
        return target.draining or self._draining_targets.is_draining(target.name)


def find_unpaused(
    candidates: Sequence[TargetStats], now: float
) -> Sequence[TargetStats]:
    """Return the candidates that take requests now, as far as they have said."""
    if all(candidate.paused_until <= now for candidate in candidates):
        return candidates
    return [c for c in candidates if c.paused_until <= now]


def has_same_address(one: Target, other: Target) -> bool:
    """Return True if two states of a target have the same host and port."""
    return (one.host, one.port) == (other.host, other.port)
