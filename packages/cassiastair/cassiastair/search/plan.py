"""What a search has to ask: derived from the objects in force and cached."""

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
    """One shard of a search with the targets that may get its work.

    Parameters
    ----------
    service : str
        Service of the shard.
    shard : KeyRange
        Its keys.
    tail : TailTolerance
        Tail mechanisms of the service.
    candidates : tuple of TargetStats
        Targets of the shard that are not leaving.
    """

    service: str
    shard: KeyRange
    tail: TailTolerance
    candidates: tuple[TargetStats, ...]


@dataclass(frozen=True, slots=True)
class SearchPlan:
    """All shards of a search under one state of the configuration.

    Parameters
    ----------
    index : Index
        Index that is searched.
    services : tuple of Service
        Services, cut to the shards that are needed.
    shards : tuple of ShardPlan
        Their shards.
    """

    index: Index
    services: tuple[Service, ...]
    shards: tuple[ShardPlan, ...]


@dataclass(frozen=True, slots=True)
class PinnedPlan:
    """A plan with the snapshot that a search has chosen.

    Parameters
    ----------
    plan : SearchPlan
        What to ask.
    snapshot : Snapshot
        Snapshot to answer from.
    holders : tuple of tuple of TargetStats
        For each shard the candidates that may hold the snapshot.
    """

    plan: SearchPlan
    snapshot: Snapshot
    holders: tuple[tuple[TargetStats, ...], ...]


class Planner:
    """Makes plans and pins them, anew only when something that they use changes.

    Parameters
    ----------
    catalogue : Catalogue
        Objects in force.
    fleet : TargetRegistry
        Targets that may get new work.
    held : HeldVersionsTable
        Versions that targets hold.
    tails : TailTolerances
        Tail mechanisms of the services.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        fleet: TargetRegistry,
        held: HeldVersionsTable,
        tails: TailTolerances,
    ):
        self._catalogue = catalogue
        self._fleet = fleet
        self._held = held
        self._tails = tails
        self._plans: dict[str, tuple[object, SearchPlan]] = {}
        self._pins: dict[tuple[str, int], tuple[object, PinnedPlan | None]] = {}

    def pin(self, request: SearchRequest) -> PinnedPlan | None:
        """Return the plan of a request at the best snapshot; None if there is none.

        Raises
        ------
        NotFoundError
            If the index or service is not in force.
        """
        plan = self.get(request)
        if request.service is not None:
            return self._pin(plan, request.lowest_version)
        key = (request.index, request.lowest_version)
        state = (plan, self._held.generation, self._fleet.health.generation)
        known = self._pins.get(key)
        if known is not None and is_same(known[0], state):
            return known[1]
        if len(self._pins) > 4 * (1 + len(self._plans)):
            self._pins.clear()  # callers' lowest versions differ without end
        pinned = self._pin(plan, request.lowest_version)
        self._pins[key] = (state, pinned)
        return pinned

    def get(self, request: SearchRequest) -> SearchPlan:
        """Return the plan of a request.

        Raises
        ------
        NotFoundError
            If the index or service is not in force.
        """
        if request.service is not None:
            return self._make(request)
        state = self._fleet.state()
        known = self._plans.get(request.index)
        if known is not None and known[0] == state:
            return known[1]
        plan = self._make(request)
        self._plans[request.index] = (state, plan)
        return plan

    def _make(self, request: SearchRequest) -> SearchPlan:
        """Make the plan of a request."""
        index = self._catalogue.indexes.get(request.index)
        if index is None:
            raise NotFoundError(f"no index {request.index!r} is in force")
        services = self._select_services(request, index)
        shards = [
            ShardPlan(
                service.name,
                shard,
                self._tails.get(service),
                tuple(self._fleet.candidates(service.name, shard)),
            )
            for service in services
            for shard in service.shards
        ]
        return SearchPlan(index, tuple(services), tuple(shards))

    def _select_services(self, request: SearchRequest, index: Index) -> list[Service]:
        """Return the services of a request, cut to the shards that it needs."""
        if request.service is None:
            return self._catalogue.services_of(index)
        service = self._catalogue.services.get(request.service)
        if service is None:
            raise NotFoundError(f"no service {request.service!r} is in force")
        return [replace(service, shards=request.select_shards(service))]

    def _pin(self, plan: SearchPlan, lowest_version: int) -> PinnedPlan | None:
        """Choose the snapshot of a plan from what usable targets hold."""
        shards = []
        for part in plan.shards:
            usable = [c for c in part.candidates if not c.down] or part.candidates
            held = [span for c in usable for span in self._held.get(c.name) or ()]
            shards.append((part.shard.length, held))
        snapshot = choose_snapshot(plan.index.epoch, shards, lowest_version)
        if snapshot is None:
            return None
        holders = tuple(
            tuple(c for c in part.candidates if self._held.may_hold(c.name, snapshot))
            for part in plan.shards
        )
        return PinnedPlan(plan, snapshot, holders)


def is_same(known: tuple, state: tuple) -> bool:
    """Tell whether a cached value still stands; plans are compared by identity."""
    return known[0] is state[0] and known[1:] == state[1:]
