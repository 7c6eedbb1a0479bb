"""The evidence of all targets, and which of them may get new work."""

import math

from ..clock import Clock
from ..data import KeyRange, Target
from ..membership.draining import DrainingTargets
from ..tickets.catalogue import Catalogue
from .health import Health
from .limit import AdaptiveLimit
from .target_stats import TargetStats


class TargetRegistry:
    """Evidence by target, made when a target is first used.

    Parameters
    ----------
    catalogue : Catalogue
        Targets in force.
    leaving : LeavingTargets
        Targets that get no new work.
    clock : Clock
        Source of time.
    vm_count : int
        VMs that share the targets' connections, at least.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        leaving: DrainingTargets,
        clock: Clock,
        vm_count: int,
    ):
        self._catalogue = catalogue
        self._leaving = leaving
        self._clock = clock
        self.vm_count = max(1, vm_count)
        self.health = Health()
        self._evidence: dict[str, TargetStats] = {}
        self._candidates: dict[tuple[str, KeyRange], list[TargetStats]] = {}
        self._cached_for = (-1, -1)

    def connection_share(self, target: Target) -> int:
        """Return the connections that this VM may hold to a target."""
        return max(1, target.connection_limit // self.vm_count)

    def set_vm_count(self, count: int) -> None:
        """Take note of how many VMs share the targets."""
        if count == self.vm_count:
            return
        self.vm_count = max(1, count)
        for evidence in self._evidence.values():
            evidence.limiter.limit.set_ceiling(self.connection_share(evidence.target))

    def get(self, target: Target) -> TargetStats:
        """Return the evidence of a target, new if its address changed."""
        known = self._evidence.get(target.name)
        if known is not None and known.target is target:
            return known
        if known is not None and has_same_address(known.target, target):
            known.target = target
            return known
        share = self.connection_share(target)
        start = math.ceil(2 * target.slots / self.vm_count)
        limit = AdaptiveLimit(start, share)
        evidence = TargetStats(target, self._clock, limit, self.health)
        self._evidence[target.name] = evidence
        return evidence

    def list_tracked(self) -> list[TargetStats]:
        """Return the evidence of all targets used so far that are in force."""
        targets = self._catalogue.targets
        for name in [name for name in self._evidence if name not in targets]:
            del self._evidence[name]
        return list(self._evidence.values())

    def state(self) -> tuple[int, int]:
        """Return numbers that change whenever the candidates of a shard may."""
        return (self._catalogue.generation, self._leaving.generation)

    def candidates(self, service: str, shard: KeyRange) -> list[TargetStats]:
        """Return the targets of a shard that may get new work."""
        state = self.state()
        if state != self._cached_for:
            self._candidates.clear()
            self._cached_for = state
        key = (service, shard)
        if key not in self._candidates:
            self._candidates[key] = self._find_candidates(service, shard)
        return self._candidates[key]

    def _find_candidates(self, service: str, shard: KeyRange) -> list[TargetStats]:
        """Look up the targets of a shard that may get new work."""
        return [
            self.get(target)
            for target in self._catalogue.targets_of(service)
            if target.serves(shard) and not self._is_leaving(target)
        ]

    def _is_leaving(self, target: Target) -> bool:
        """Tell whether any source says that a target is leaving."""
        return target.draining or self._leaving.is_draining(target.name)


def has_same_address(one: Target, other: Target) -> bool:
    """Tell whether two states of a target name the same address."""
    return (one.host, one.port) == (other.host, other.port)
