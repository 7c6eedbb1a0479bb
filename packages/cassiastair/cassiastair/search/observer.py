"""Updates of the shared target statistics from answers, failures and reports."""

from collections.abc import Callable

from ..clock import Clock
from ..data import ShardAnswer
from ..membership.draining import DrainingTargets, DrainMark
from ..snapshots import HeldVersionsTable
from ..targets.failures import (
    BadAnswerFailure,
    BrokenFailure,
    ConnectFailure,
    NotHeldFailure,
    RefusedFailure,
    TargetFailure,
)
from ..targets.report import TargetReport
from ..targets.target_stats import TargetStats


class TargetObserver:
    """Records what answers, failures and reports say about their target.

    All searches, writes and checks of targets share one observer.

    Parameters
    ----------
    held_versions : HeldVersionsTable
        Last known data versions of each target.
    draining_targets : DrainingTargets
        Targets that get no new work because they are draining.
    clock : Clock
        Source of time.
    broadcast_drain_mark : callable
        Called with each new `DrainMark`, to send it to the peers.
    log_event : callable
        Called with the name and the fields of an event that belongs in the log.
    """

    def __init__(
        self,
        held_versions: HeldVersionsTable,
        draining_targets: DrainingTargets,
        clock: Clock,
        broadcast_drain_mark: Callable[[DrainMark], None] = lambda mark: None,
        log_event: Callable[..., None] = lambda event, **fields: None,
    ):
        self._held_versions = held_versions
        self._draining_targets = draining_targets
        self._clock = clock
        self._broadcast_drain_mark = broadcast_drain_mark
        self._log_event = log_event

    def record_answer(
        self, stats: TargetStats, answer: ShardAnswer, latency: float
    ) -> None:
        """Record the latency, load, held versions and run of a target that answered.

        Parameters
        ----------
        stats : TargetStats
            Statistics of the target.
        answer : ShardAnswer
            Its answer.
        latency : float
            Seconds from sending to the answer, without the wait in this VM's queue.
        """
        stats.record_success(latency)
        stats.incarnation = answer.incarnation
        stats.record_incarnation(answer.incarnation)
        if answer.load is not None:
            stats.record_load(answer.load)
        self._held_versions.record(stats.target.name, answer.held_versions)
        self._draining_targets.record_serving(stats.target.name, answer.incarnation)

    def record_failure(self, stats: TargetStats, failure: TargetFailure) -> None:
        """Record what a failed subrequest proves about its target.

        Failures of other kinds, such as refusals because a deadline expired, change
        nothing.
        """
        if isinstance(failure, NotHeldFailure):
            self._held_versions.record(stats.target.name, failure.held_versions)
        elif isinstance(failure, RefusedFailure):
            if failure.code == "shed":
                stats.limiter.limit.record_shed()
        elif isinstance(failure, (ConnectFailure, BrokenFailure, BadAnswerFailure)):
            stats.record_connection_failure()

    def record_notice(self, stats: TargetStats, failure: TargetFailure) -> None:
        """Record what a refusal says of its target, also one that comes late."""
        if not isinstance(failure, RefusedFailure):
            return
        if failure.notice.leaving:
            self.record_draining(stats.target.name, failure.incarnation)
        if failure.notice.pause is not None:
            self._record_pause(stats, failure)

    def _record_pause(self, stats: TargetStats, failure: RefusedFailure) -> None:
        """Record that a target wants no requests for a time; log the start."""
        now = self._clock.now()
        until = failure.notice.find_pause_end(now)
        if until is None:
            self._log_event("pause unreadable", target=stats.name)
            return
        if stats.paused_until <= now:
            seconds = round(until - now, 3)
            self._log_event("target paused", target=stats.name, seconds=seconds)
        stats.record_pause(until, failure.incarnation)

    def record_draining(self, target: str, incarnation: str) -> None:
        """Mark a run of a target as draining; broadcast the mark if it is new."""
        mark = DrainMark(target, incarnation)
        if self._draining_targets.add_mark(mark):
            self._broadcast_drain_mark(mark)

    def record_report(self, stats: TargetStats, report: TargetReport) -> None:
        """Record the load, the versions and the state that a target reports.

        A report of a target that serves also proves that the target is reachable.
        """
        stats.record_load(report.load)
        stats.record_incarnation(report.incarnation)
        self._held_versions.record(stats.target.name, report.held_versions)
        if not report.serving:
            self.record_draining(stats.target.name, report.incarnation)
            return
        self._draining_targets.record_serving(stats.target.name, report.incarnation)
        stats.record_recovery()
