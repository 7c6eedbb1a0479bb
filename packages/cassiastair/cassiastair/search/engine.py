"""Searches and lookups from the choice of the snapshot to the answer."""

from dataclasses import replace

import eventlet

from ..data import Index, Reason, Service, Snapshot
from ..errors import NoSnapshotError, NotFoundError
from ..snapshots import choose_snapshot
from ..tail import Budget
from ..targets.evidence import Evidence
from ..targets.failures import TargetFailure
from ..traces import Span
from .answer import SearchAnswer
from .parts import SearchParts
from .request import SearchRequest
from .scatter import Scatter

MAX_RESTARTS = 4  # times that one query starts again at another snapshot
LEARN_FROM_RESTART = 2  # restart from which targets are asked what they hold first
LEARN_BUDGET = 0.05  # such rounds of questions as a share of the requests
LEARN_SHARE = 0.25  # share of the remaining time for asking what targets hold
LEARN_LIMIT_S = 1.0


class SearchEngine:
    """Answers each request from one snapshot, with the coverage that it proved.

    Parameters
    ----------
    parts : SearchParts
        Collaborators.
    """

    def __init__(self, parts: SearchParts):
        self._parts = parts
        self._learning = Budget(LEARN_BUDGET)

    def run(self, request: SearchRequest) -> SearchAnswer:
        """Answer a request, at its deadline at the latest.

        Raises
        ------
        NotFoundError
            If the index or service is not in force.
        NoSnapshotError
            If no target is known to hold an acceptable version.
        """
        self._learning.earn(1)
        best = None
        subrequests = 0
        for restart in range(MAX_RESTARTS + 1):
            if restart >= LEARN_FROM_RESTART:
                self._learn(request, self._plan(request)[1])
            scatter = self._scatter(request, may_restart=restart < MAX_RESTARTS)
            subrequests += scatter.subrequests
            answer = self._make_answer(scatter, subrequests)
            if best is None or answer.coverage.share >= best.coverage.share:
                best = answer
            if self._is_late(request):
                break
            if not scatter.aborted and not self._finds_better(request, answer):
                break
        return replace(best, subrequests=subrequests)

    def _finds_better(self, request: SearchRequest, answer: SearchAnswer) -> bool:
        """Ask targets what they hold, if that may show a snapshot that covers more.

        Where replicas lag for long no snapshot covers everything, so the question
        is bounded by a budget.
        """
        reasons = {part.reason for part in answer.coverage.missing}
        if Reason.NOT_HELD not in reasons or not self._learning.spend():
            return False
        index, services = self._plan(request)
        self._learn(request, services)
        chosen = self._choose(request, index, services)
        return chosen is not None and chosen != answer.snapshot

    def _is_late(self, request: SearchRequest) -> bool:
        """Tell whether the deadline has come."""
        return self._parts.clock.now() >= request.deadline

    def _scatter(self, request: SearchRequest, may_restart: bool) -> Scatter:
        """Choose a snapshot and ask all shards for it."""
        index, services = self._plan(request)
        snapshot = self._choose(request, index, services)
        if snapshot is None:
            self._learn(request, services)
            snapshot = self._choose(request, index, services)
        if snapshot is None:
            floor = request.lowest_version
            message = f"no reachable target of {index.name} holds a version >= {floor}"
            raise NoSnapshotError(message)

        def should_restart(failed: Snapshot) -> bool:
            """Tell whether another snapshot is a better choice by now."""
            if not may_restart:
                return False
            chosen = self._choose(request, *self._plan(request))
            return chosen is not None and chosen != failed

        scatter = Scatter(self._parts, request, snapshot, services, should_restart)
        started = self._parts.clock.now()
        scatter.run()
        self._trace(request, snapshot, started)
        return scatter

    def _plan(self, request: SearchRequest) -> tuple[Index, list[Service]]:
        """Return the index and its services, cut to the shards that are needed."""
        catalogue = self._parts.catalogue
        index = catalogue.indexes.get(request.index)
        if index is None:
            raise NotFoundError(f"no index {request.index!r} is in force")
        if request.service is None:
            services = catalogue.members(index)
        else:
            services = [catalogue.services[request.service]]
        if request.key is not None:
            services = [replace(s, shards=request.select_shards(s)) for s in services]
        return index, services

    def _choose(
        self, request: SearchRequest, index: Index, services: list[Service]
    ) -> Snapshot | None:
        """Choose the snapshot from what usable targets are known to hold."""
        shards = []
        for service in services:
            for shard in service.shards:
                usable = self._find_usable(service.name, shard)
                held = [span for name in usable for span in self._spans(name)]
                shards.append((shard.length, held))
        return choose_snapshot(index.epoch, shards, request.lowest_version)

    def _spans(self, target: str) -> tuple:
        """Return what a target is known to hold."""
        return self._parts.held.get(target) or ()

    def _find_usable(self, service: str, shard) -> list[str]:
        """Return the targets of a shard, the reachable ones if there are any."""
        candidates = self._parts.fleet.candidates(service, shard)
        up = [candidate for candidate in candidates if not candidate.down]
        return [candidate.target.name for candidate in up or candidates]

    def _learn(self, request: SearchRequest, services: list[Service]) -> None:
        """Ask all targets of the request what they hold."""
        left = request.deadline - self._parts.clock.now()
        limit = min(LEARN_LIMIT_S, LEARN_SHARE * left)
        candidates = {
            candidate.target.name: candidate
            for service in services
            for shard in service.shards
            for candidate in self._parts.fleet.candidates(service.name, shard)
        }
        threads = [
            eventlet.spawn(learn_from_report, self._parts, evidence, limit)
            for evidence in candidates.values()
        ]
        for thread in threads:
            thread.wait()

    def _make_answer(self, scatter: Scatter, subrequests: int) -> SearchAnswer:
        """Return the answer that a scatter has proved."""
        merge = scatter.merge
        coverage = merge.count_coverage(scatter.reasons())
        return SearchAnswer(merge.snapshot, coverage, merge.records, subrequests)

    def _trace(
        self, request: SearchRequest, snapshot: Snapshot, started: float
    ) -> None:
        """Record the span of a scatter."""
        context = request.trace.child(self._parts.source)
        detail = (("version", str(snapshot.version)), ("epoch", str(snapshot.epoch)))
        duration = self._parts.clock.now() - started
        self._parts.tracer.record(Span(context, "scatter", started, duration, detail))


def learn_from_report(parts: SearchParts, evidence: Evidence, limit: float) -> None:
    """Ask a target for its report and take note of it."""
    try:
        report = parts.client.report(evidence.target, limit)
    except TargetFailure as failure:
        parts.observer.failed(evidence, failure)
        return
    parts.observer.reported(evidence, report)
