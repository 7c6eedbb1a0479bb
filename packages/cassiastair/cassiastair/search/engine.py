"""Searches and lookups from the choice of the snapshot to the answer."""

from dataclasses import replace

import eventlet

from ..data import MissingReason, Snapshot
from ..errors import NoSnapshotError
from ..hedging import ExtraLoadBudget
from ..targets.failures import TargetFailure
from ..targets.target_stats import TargetStats
from ..traces import Span
from .answer import SearchAnswer
from .dependencies import SearchDependencies
from .plan import PinnedPlan, Planner
from .request import SearchRequest
from .scatter import Scatter

MAX_RESTARTS = 4  # times that one query starts again at another snapshot
LEARN_FROM_RESTART = 2  # restart from which targets are asked what they hold first
LEARN_BUDGET = 0.05  # such rounds of questions as a share of the requests
LEARN_SHARE = 0.25  # share of the remaining time for asking what targets hold
LEARN_LIMIT_S = 1.0
LEARN_PAUSE_S = 0.02


class SearchEngine:
    """Answers each request from one snapshot, with the coverage that it proved.

    Parameters
    ----------
    parts : SearchDependencies
        Collaborators.
    """

    def __init__(self, parts: SearchDependencies):
        self._parts = parts
        self._planner = Planner(
            parts.catalogue, parts.registry, parts.held, parts.tail_tolerance
        )
        self._learning = ExtraLoadBudget(LEARN_BUDGET)

    def run(self, request: SearchRequest) -> SearchAnswer:
        """Answer a request, at its deadline at the latest.

        Raises
        ------
        NotFoundError
            If the index or service is not in force.
        NoSnapshotError
            If no target is known to hold an acceptable version.
        """
        self._learning.deposit(1)
        best = None
        subrequests = 0
        for restart in range(MAX_RESTARTS + 1):
            if restart >= LEARN_FROM_RESTART:
                self._learn(request)
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
        if MissingReason.NOT_HELD not in reasons or not self._learning.try_spend():
            return False
        self._learn(request)
        pinned = self._planner.pin(request)
        return pinned is not None and pinned.snapshot != answer.snapshot

    def _is_late(self, request: SearchRequest) -> bool:
        """Tell whether the deadline has come."""
        return self._parts.clock.now() >= request.deadline

    def _scatter(self, request: SearchRequest, may_restart: bool) -> Scatter:
        """Choose a snapshot and ask all shards for it."""
        pinned = self._pin(request)
        if pinned is None:
            floor = request.lowest_version
            name = request.index
            message = f"no reachable target of {name} holds a version >= {floor}"
            raise NoSnapshotError(message)

        def should_restart(failed: Snapshot) -> bool:
            """Tell whether another snapshot is a better choice by now."""
            if not may_restart:
                return False
            chosen = self._planner.pin(request)
            return chosen is not None and chosen.snapshot != failed

        scatter = Scatter(self._parts, request, pinned, should_restart)
        started = self._parts.clock.now()
        scatter.run()
        self._trace(request, pinned.snapshot, started)
        return scatter

    def _pin(self, request: SearchRequest) -> PinnedPlan | None:
        """Pin a plan; ask targets what they hold for as long as none is known.

        A question may fail because other searches hold all connections at that
        moment, so it is repeated for a share of the time that is left.
        """
        now = self._parts.clock.now()
        until = now + LEARN_SHARE * (request.deadline - now)
        pinned = self._planner.pin(request)
        while pinned is None and self._parts.clock.now() < until:
            self._learn(request)
            pinned = self._planner.pin(request)
            if pinned is None:
                eventlet.sleep(LEARN_PAUSE_S)
        return pinned

    def _learn(self, request: SearchRequest) -> None:
        """Ask all targets of the request what they hold."""
        left = request.deadline - self._parts.clock.now()
        limit = min(LEARN_LIMIT_S, LEARN_SHARE * left)
        candidates = {
            candidate.name: candidate
            for part in self._planner.get(request).shards
            for candidate in part.candidates
        }
        threads = [
            eventlet.spawn(refresh_from_report, self._parts, evidence, limit)
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
        context = request.trace.child(self._parts.rng)
        detail = (("version", str(snapshot.version)), ("epoch", str(snapshot.epoch)))
        duration = self._parts.clock.now() - started
        self._parts.tracer.record(Span(context, "scatter", started, duration, detail))


def refresh_from_report(
    parts: SearchDependencies, evidence: TargetStats, limit: float
) -> None:
    """Ask a target for its report and take note of it."""
    try:
        report = parts.client.fetch_report(evidence.target, limit)
    except TargetFailure as failure:
        parts.observer.record_failure(evidence, failure)
        return
    parts.observer.record_report(evidence, report)
