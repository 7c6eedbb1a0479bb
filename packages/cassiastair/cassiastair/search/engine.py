"""Runs a search or lookup, from the choice of the snapshot to the answer."""

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

MAX_RESTARTS = 4  # scatters of one request after the first, at other snapshots
REFRESH_FROM_RESTART = 2  # first restart that fetches reports before it scatters
REFRESH_BUDGET = 0.05  # refreshes for a better snapshot, as a share of requests
REFRESH_TIME_SHARE = 0.25  # share of the remaining time for fetching reports
MAX_REFRESH_S = 1.0  # timeout of a report, however far away the deadline is
REFRESH_PAUSE_S = 0.02  # between refreshes while no snapshot is known


class SearchEngine:
    """Answers each request from one snapshot and states what the answer covers.

    Parameters
    ----------
    dependencies : SearchDependencies
        Objects that all searches share.
    """

    def __init__(self, dependencies: SearchDependencies):
        self._deps = dependencies
        self._planner = Planner(
            dependencies.catalogue,
            dependencies.registry,
            dependencies.held_versions,
            dependencies.tail_tolerance,
        )
        self._refresh_budget = ExtraLoadBudget(REFRESH_BUDGET)

    def run(self, request: SearchRequest) -> SearchAnswer:
        """Return the answer with the best coverage found before the deadline.

        The request starts again at another snapshot if targets have dropped the
        chosen one, at most `MAX_RESTARTS` times.

        Raises
        ------
        NotFoundError
            If the index or service is not in force.
        NoSnapshotError
            If no target is known to hold an acceptable version.
        """
        self._refresh_budget.deposit(1)
        best = None
        subrequests = 0
        for restart in range(MAX_RESTARTS + 1):
            if restart >= REFRESH_FROM_RESTART:
                self._refresh_reports(request)
            scatter = self._scatter(request, may_restart=restart < MAX_RESTARTS)
            subrequests += scatter.subrequests
            answer = self._make_answer(scatter, subrequests)
            if best is None or answer.coverage.share >= best.coverage.share:
                best = answer
            if self._is_past_deadline(request):
                break
            if not scatter.aborted and not self._finds_better_snapshot(request, answer):
                break
        return replace(best, subrequests=subrequests)

    def _finds_better_snapshot(
        self, request: SearchRequest, answer: SearchAnswer
    ) -> bool:
        """Refresh the held versions; return True if another snapshot is now best.

        Does nothing unless some shard is missing because no target holds the
        snapshot. While replicas lag, no snapshot covers everything and every answer
        would cause a refresh, so a budget bounds them.
        """
        reasons = {part.reason for part in answer.coverage.missing}
        if (
            MissingReason.NOT_HELD not in reasons
            or not self._refresh_budget.try_spend()
        ):
            return False
        self._refresh_reports(request)
        pinned = self._planner.pin(request)
        return pinned is not None and pinned.snapshot != answer.snapshot

    def _is_past_deadline(self, request: SearchRequest) -> bool:
        """Return True if the deadline of a request has passed."""
        return self._deps.clock.now() >= request.deadline

    def _scatter(self, request: SearchRequest, may_restart: bool) -> Scatter:
        """Choose a snapshot, run a scatter over all shards at it, and return it."""
        pinned = self._pin(request)
        if pinned is None:
            lowest = request.lowest_version
            name = request.index
            message = f"no reachable target of {name} holds a version >= {lowest}"
            raise NoSnapshotError(message)

        def should_restart(abandoned: Snapshot) -> bool:
            """Return True if the planner now prefers another snapshot."""
            if not may_restart:
                return False
            chosen = self._planner.pin(request)
            return chosen is not None and chosen.snapshot != abandoned

        scatter = Scatter(self._deps, request, pinned, should_restart)
        started_at = self._deps.clock.now()
        scatter.run()
        self._record_span(request, pinned.snapshot, started_at)
        return scatter

    def _pin(self, request: SearchRequest) -> PinnedPlan | None:
        """Return a plan at the best snapshot; None if no acceptable one is found.

        Fetches reports while no snapshot is known. A report may fail because other
        searches hold all connections at that moment, so fetching is repeated for
        `REFRESH_TIME_SHARE` of the remaining time.
        """
        now = self._deps.clock.now()
        give_up_at = now + REFRESH_TIME_SHARE * (request.deadline - now)
        pinned = self._planner.pin(request)
        while pinned is None and self._deps.clock.now() < give_up_at:
            self._refresh_reports(request)
            pinned = self._planner.pin(request)
            if pinned is None:
                eventlet.sleep(REFRESH_PAUSE_S)
        return pinned

    def _refresh_reports(self, request: SearchRequest) -> None:
        """Fetch the reports of all targets of a request, in parallel."""
        time_left = request.deadline - self._deps.clock.now()
        timeout = min(MAX_REFRESH_S, REFRESH_TIME_SHARE * time_left)
        candidates = {
            candidate.name: candidate
            for shard_plan in self._planner.get_plan(request).shards
            for candidate in shard_plan.candidates
        }
        threads = [
            eventlet.spawn(refresh_from_report, self._deps, stats, timeout)
            for stats in candidates.values()
        ]
        for thread in threads:
            thread.wait()

    def _make_answer(self, scatter: Scatter, subrequests: int) -> SearchAnswer:
        """Return the merged records of a scatter with their coverage."""
        merge = scatter.merge
        coverage = merge.count_coverage(scatter.missing_reasons())
        return SearchAnswer(merge.snapshot, coverage, merge.records, subrequests)

    def _record_span(
        self, request: SearchRequest, snapshot: Snapshot, started_at: float
    ) -> None:
        """Record the trace span of a scatter."""
        context = request.trace.child(self._deps.rng)
        attributes = (
            ("version", str(snapshot.version)),
            ("epoch", str(snapshot.epoch)),
        )
        duration = self._deps.clock.now() - started_at
        self._deps.tracer.record(
            Span(context, "scatter", started_at, duration, attributes)
        )


def refresh_from_report(
    dependencies: SearchDependencies, stats: TargetStats, timeout: float
) -> None:
    """Fetch a target's report and record it, or record the failure.

    Parameters
    ----------
    dependencies : SearchDependencies
        Provides the client and the observer.
    stats : TargetStats
        Statistics of the target.
    timeout : float
        Seconds after which the target counts as unreachable.
    """
    try:
        report = dependencies.client.fetch_report(stats.target, timeout)
    except TargetFailure as failure:
        dependencies.observer.record_failure(stats, failure)
        return
    dependencies.observer.record_report(stats, report)
