"""Plans of searches: the shards to query and the targets that may answer.

Plans are derived from the configuration objects in force and cached.
"""

from dataclasses import dataclass, replace

from ..data import Index, KeyRange, Service, Snapshot
from ..errors import NotFoundError
from ..snapshots import HeldVersionsTable, choose_snapshot
from ..targets import TargetRegistry
from ..targets.target_stats import TargetStats
from ..tickets import Catalogue
from .request import SearchRequest
from .tail_tolerance import TailTolerance, TailTolerances


@dataclass(frozen=True, slots=True)
class ShardPlan:
    """One shard of a search with its candidate targets.

    Parameters
    ----------
    service : str
        Service of the shard.
    shard : KeyRange
        Keys of the shard.
    tail_tolerance : TailTolerance
        Hedge policy and retry budget of the service.
    candidates : tuple of TargetStats
        Targets of the shard that are not draining.
    """

    service: str
    shard: KeyRange
    tail_tolerance: TailTolerance
    candidates: tuple[TargetStats, ...]


@dataclass(frozen=True, slots=True)
class SearchPlan:
    """All shards of a search, for one version of the configuration.

    Parameters
    ----------
    index : Index
        Index that is searched.
    services : tuple of Service
        Services that are searched, with only the shards that the request needs.
    shards : tuple of ShardPlan
        Shards of these services, in the same order.
    """

    index: Index
    services: tuple[Service, ...]
    shards: tuple[ShardPlan, ...]


@dataclass(frozen=True, slots=True)
class PinnedPlan:
    """A plan together with the snapshot that it is pinned to.

    Parameters
    ----------
    plan : SearchPlan
        Shards and candidate targets.
    snapshot : Snapshot
        Snapshot that every shard must answer from.
    holders : tuple of tuple of TargetStats
        For each shard, the candidates that hold the snapshot or may hold it.
    """

    plan: SearchPlan
    snapshot: Snapshot
    holders: tuple[tuple[TargetStats, ...], ...]


class Planner:
    """Builds plans and pins them to snapshots.

    Plans of searches are cached until one of their inputs changes: the configuration,
    the draining targets, the held versions or the reachability of targets. Plans of
    lookups are built for each request.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration objects in force.
    registry : TargetRegistry
        Targets that may get new work, with their statistics.
    held_versions : HeldVersionsTable
        Last known data versions of each target.
    tail_tolerances : TailTolerances
        Hedge policy and retry budget of each service.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        registry: TargetRegistry,
        held_versions: HeldVersionsTable,
        tail_tolerances: TailTolerances,
    ):
        self._catalogue = catalogue
        self._registry = registry
        self._held_versions = held_versions
        self._tail_tolerances = tail_tolerances
        self._plans: dict[str, tuple[object, SearchPlan]] = {}
        self._pins: dict[tuple[str, int], tuple[object, PinnedPlan | None]] = {}

    def pin(self, request: SearchRequest) -> PinnedPlan | None:
        """Return the plan of a request at its best snapshot; None if there is none.

        Raises
        ------
        NotFoundError
            If the index or service is not in force.
        """
        plan = self.get_plan(request)
        if request.service is not None:
            return self._pin_plan(plan, request.lowest_version)
        key = (request.index, request.lowest_version)
        inputs = (
            plan,
            self._held_versions.generation,
            self._registry.reachability.generation,
        )
        cached = self._pins.get(key)
        if cached is not None and has_same_inputs(cached[0], inputs):
            return cached[1]
        if len(self._pins) > 4 * (1 + len(self._plans)):
            self._pins.clear()  # callers may ask for any number of lowest versions
        pinned = self._pin_plan(plan, request.lowest_version)
        self._pins[key] = (inputs, pinned)
        return pinned

    def get_plan(self, request: SearchRequest) -> SearchPlan:
        """Return the plan of a request, from the cache if its inputs are unchanged.

        Raises
        ------
        NotFoundError
            If the index or service is not in force.
        """
        if request.service is not None:
            return self._build_plan(request)
        inputs = self._registry.generations()
        cached = self._plans.get(request.index)
        if cached is not None and cached[0] == inputs:
            return cached[1]
        plan = self._build_plan(request)
        self._plans[request.index] = (inputs, plan)
        return plan

    def _build_plan(self, request: SearchRequest) -> SearchPlan:
        """Build the plan of a request from the objects in force."""
        index = self._catalogue.indexes.get(request.index)
        if index is None:
            raise NotFoundError(f"no index {request.index!r} is in force")
        services = self._select_services(request, index)
        shards = [
            ShardPlan(
                service.name,
                shard,
                self._tail_tolerances.get(service),
                tuple(self._registry.candidates(service.name, shard)),
            )
            for service in services
            for shard in service.shards
        ]
        return SearchPlan(index, tuple(services), tuple(shards))

    def _select_services(self, request: SearchRequest, index: Index) -> list[Service]:
        """Return the services of a request, with only the shards that it needs."""
        if request.service is None:
            return self._catalogue.services_of(index)
        service = self._catalogue.services.get(request.service)
        if service is None:
            raise NotFoundError(f"no service {request.service!r} is in force")
        return [replace(service, shards=request.select_shards(service))]

    def _pin_plan(self, plan: SearchPlan, lowest_version: int) -> PinnedPlan | None:
        """Pin a plan to the snapshot that covers most keys.

        Targets that are down do not count, unless all targets of a shard are down.
        """
        shards = []
        for shard_plan in plan.shards:
            usable = [
                c for c in shard_plan.candidates if not c.down
            ] or shard_plan.candidates
            held_spans = [
                span for c in usable for span in self._held_versions.get(c.name) or ()
            ]
            shards.append((shard_plan.shard.length, held_spans))
        snapshot = choose_snapshot(plan.index.epoch, shards, lowest_version)
        if snapshot is None:
            return None
        holders = tuple(
            tuple(
                c
                for c in shard_plan.candidates
                if self._held_versions.may_hold(c.name, snapshot)
            )
            for shard_plan in plan.shards
        )
        return PinnedPlan(plan, snapshot, holders)


def has_same_inputs(cached: tuple, current: tuple) -> bool:
    """Return True if a cached value is up to date; plans are compared by identity."""
    return cached[0] is current[0] and cached[1:] == current[1:]
