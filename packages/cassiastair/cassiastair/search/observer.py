"""Learning from what targets say in answers, refusals and reports."""

from collections.abc import Callable

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
    """Turns answers and failures into evidence; one place for all requests.

    Parameters
    ----------
    held : HeldVersionsTable
        Versions that targets hold.
    leaving : LeavingTargets
        Targets that are leaving.
    broadcast_drain_mark : callable
        Called with each new `LeavingMark`.
    """

    def __init__(
        self,
        held: HeldVersionsTable,
        leaving: DrainingTargets,
        broadcast_drain_mark: Callable[[DrainMark], None] = lambda mark: None,
    ):
        self._held = held
        self._leaving = leaving
        self._tell_peers = broadcast_drain_mark

    def record_answer(
        self, evidence: TargetStats, answer: ShardAnswer, latency: float
    ) -> None:
        """Learn from an answer."""
        evidence.record_success(latency)
        evidence.incarnation = answer.incarnation
        if answer.load is not None:
            evidence.record_load(answer.load)
        self._held.record(evidence.target.name, answer.held_versions)
        self._leaving.record_serving(evidence.target.name, answer.incarnation)

    def record_failure(self, evidence: TargetStats, failure: TargetFailure) -> None:
        """Learn from a failure."""
        if isinstance(failure, NotHeldFailure):
            self._held.record(evidence.target.name, failure.held)
        elif isinstance(failure, RefusedFailure):
            self._refused(evidence, failure)
        elif isinstance(failure, (ConnectFailure, BrokenFailure, BadAnswerFailure)):
            evidence.record_connection_failure()

    def _refused(self, evidence: TargetStats, failure: RefusedFailure) -> None:
        """Learn from a refusal."""
        if failure.code == "shed":
            evidence.limiter.limit.record_shed()
        elif failure.code == "draining":
            self.record_draining(evidence.target.name, failure.incarnation)

    def record_draining(self, target: str, incarnation: str) -> None:
        """Take a target's word that it leaves, and pass it on if it is new."""
        mark = DrainMark(target, incarnation)
        if self._leaving.add_mark(mark):
            self._tell_peers(mark)

    def record_report(self, evidence: TargetStats, report: TargetReport) -> None:
        """Learn from a report."""
        evidence.record_load(report.load)
        self._held.record(evidence.target.name, report.held)
        if not report.serving:
            self.record_draining(evidence.target.name, report.incarnation)
            return
        self._leaving.record_serving(evidence.target.name, report.incarnation)
        evidence.record_recovery()
