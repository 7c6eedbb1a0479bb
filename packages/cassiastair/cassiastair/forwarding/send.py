"""Single sends of a request to a target, each in its own task."""

import math

from eventlet import hubs, spawn_n
from greenlet import greenlet

from ..errors import release_frames
from ..targets.failures import (
    BadAnswerFailure,
    BrokenFailure,
    ConnectFailure,
    ConnectionLimitFailure,
    RefusedFailure,
    TargetFailure,
)
from ..targets.notice import NO_NOTICE, TargetNotice
from .dependencies import ForwardingDependencies
from .request import CallerRequest
from .route_latencies import RouteLatency
from .target_stats import RoutedTargetStats
from .transport import TargetReply

ABANDONED_SEND_S = 0.35  # time for an abandoned send to end and keep its connection


class Send:
    """One send of a request to one target.

    Parameters
    ----------
    deps : ForwardingDependencies
        Collaborators.
    stats : RoutedTargetStats
        Target to send to, with its statistics.
    latency : RouteLatency
        Latency statistics of the route.
    reason : str
        ``first``, ``hedge`` or ``retry``.

    Attributes
    ----------
    started_at : float
        Time at which the send was created, in seconds.
    ended : bool
        Whether the send has ended.
    outcome : TargetReply or TargetFailure or None
        Reply or failure; None while there is neither, and after a reply was merged.
    is_abandoned : bool
        Whether nobody waits for the outcome any more.
    """

    __slots__ = (
        "stats",
        "reason",
        "started_at",
        "ended",
        "is_abandoned",
        "outcome",
        "_deps",
        "_latency",
        "_task",
    )

    def __init__(
        self,
        deps: ForwardingDependencies,
        stats: RoutedTargetStats,
        latency: RouteLatency,
        reason: str,
    ):
        self.stats = stats
        self.reason = reason
        self.started_at = deps.clock.now()
        self.ended = False
        self.is_abandoned = False
        self.outcome: TargetReply | TargetFailure | None = None
        self._deps = deps
        self._latency = latency
        self._task: greenlet | None = None

    def start(
        self, request: CallerRequest, deadline: float, at_most_once: bool, on_end
    ) -> None:
        """Start the send in a new task.

        Parameters
        ----------
        request : CallerRequest
            Request to send.
        deadline : float
            Time at which the target should abandon the request, in seconds.
        at_most_once : bool
            Whether the request must not run twice.
        on_end : callable
            Called with this object when it has an outcome.
        """
        self.stats.record_start(self, self.started_at)
        self._deps.limits.record_send(self.stats.target.name)
        self._deps.send_counts.record_start(self.reason)
        self._task = spawn_n(self._run, request, deadline, at_most_once, on_end)

    def _run(
        self, request: CallerRequest, deadline: float, at_most_once: bool, on_end
    ) -> None:
        """Run the send in its task and report the outcome."""
        try:
            outcome = self._exchange(request, deadline, at_most_once)
        finally:
            self.ended = True
            self.stats.record_end(self)
        if self.is_abandoned:
            return
        self.outcome = outcome
        on_end(self)

    def _exchange(self, request: CallerRequest, deadline: float, at_most_once: bool):
        """Send the request; return the reply or the failure and record it."""
        target = self.stats.target
        try:
            if self.stats.displaced:  # since it was chosen
                raise ConnectFailure("another process has the target's address")
            reply = self._deps.transport.send(target, request, deadline, at_most_once)
        except TargetFailure as failure:
            release_frames(failure)
            self._record_failure_notice(request, failure)
            self._record_failure(failure)
            self._deps.send_counts.record_end(type(failure).__name__)
            return failure
        except Exception as error:
            self._deps.decision_log.warn(
                "internal failure", request.attempt_id, reason=repr(error), trace=True
            )
            return BrokenFailure(f"internal failure: {error!r}")
        self.stats.in_doubt = False
        self._record_limit(request, reply.notice.rate_limit)
        self._record_notice(request, reply.notice)
        now = self._deps.clock.now()
        if reply.succeeded:
            ratio = self._latency.observe(now - self.started_at)
            self.stats.record_answer(ratio, now)
            self._deps.outliers.record_answer(target.name, ratio)
            self._deps.send_counts.record_end("answered")
        else:
            self._record_no_answer()
            self.stats.record_failed_reply(now)
            if now < deadline:
                self._deps.outliers.record_failure(target.name)
            self._deps.send_counts.record_end("failed_at_target")
        return reply

    def _record_failure_notice(
        self, request: CallerRequest, failure: TargetFailure
    ) -> None:
        """Record what the reply said, unless another target has the address now."""
        is_refusal = isinstance(failure, RefusedFailure)
        if is_refusal and failure.code == "moved":
            self._record_misdirected(request)
            return
        if is_refusal:
            self.stats.in_doubt = False
            self._record_limit(request, failure.notice.rate_limit)
        self._record_notice(request, failure.notice)

    def _record_misdirected(self, request: CallerRequest) -> None:
        """Record that another process has the target's address."""
        target = self.stats.target
        self._deps.send_counts.record_misdirected(target.service)
        if self._deps.registry.record_displaced(target):
            self._deps.decision_log.warn(
                "target displaced", request.attempt_id, target=target.name
            )

    def _record_limit(self, request: CallerRequest, rate: float | None) -> None:
        """Record the request rate that the target named; log an unreadable one."""
        target = self.stats.target
        if rate is not None and math.isnan(rate):
            self._deps.decision_log.warn(
                "limit unreadable", request.attempt_id, target=target.name
            )
        else:
            self._deps.limits.record_answer(target, rate, self.started_at)

    def _record_notice(self, request: CallerRequest, notice: TargetNotice) -> None:
        """Record that the target leaves, or wants no requests for a time."""
        if notice is NO_NOTICE:
            return
        deps, target = self._deps, self.stats.target
        if notice.leaving and deps.registry.record_leaving(target):
            deps.decision_log.warn(
                "target leaving", request.attempt_id, target=target.name
            )
        if notice.pause is None:
            return
        if math.isnan(notice.pause):
            deps.decision_log.warn(
                "pause unreadable", request.attempt_id, target=target.name
            )
            return
        now = deps.clock.now()
        until = notice.find_pause_end(now)
        if self.stats.paused_until <= now:
            deps.decision_log.warn(
                "target paused",
                request.attempt_id,
                target=target.name,
                seconds=round(until - now, 3),
            )
        deps.registry.record_pause(self.stats, until)
        deps.transport.pause(target, until)

    def record_late(self) -> float:
        """Record that the target has not answered so far.

        Returns
        -------
        float
            Time waited, relative to the mean latency of the route.
        """
        waited = self._deps.clock.now() - self.started_at
        ratio = waited / max(self._latency.mean, 1e-4)
        self._deps.outliers.record_wait(self.stats.target.name, ratio)
        return ratio

    def _record_no_answer(self) -> None:
        """Record the time waited so far as a lower bound of the target's latency."""
        self.stats.record_wait(self.record_late())

    def _record_failure(self, failure: TargetFailure) -> None:
        """Record a failure in the statistics that it concerns."""
        now = self._deps.clock.now()
        if isinstance(failure, (RefusedFailure, ConnectionLimitFailure)):
            self.stats.record_failed_reply(now)
        elif isinstance(failure, (ConnectFailure, BrokenFailure)):
            self.stats.record_failure(now)
        if isinstance(failure, ConnectFailure):
            self._deps.limits.record_unsent(self.stats.target.name)
        if isinstance(failure, (BadAnswerFailure, BrokenFailure, RefusedFailure)):
            self._deps.outliers.record_failure(self.stats.target.name)

    def stop(self) -> None:
        """Stop the send and close its connection, unless it has ended."""
        if not self.ended:
            self._record_no_answer()
            self.stats.record_failure(self._deps.clock.now())
            self._deps.send_counts.record_end("stopped")
            hubs.get_hub().schedule_call_global(0, self._task.throw)


def stop_later(sends: list[Send]) -> None:
    """Give abandoned sends some time to end and then stop those that have not.

    The target does the work of a request that it has begun in any case. Closing the
    connection at once would only add the cost of opening a new one.
    """
    for send in sends:
        send.is_abandoned = True
    if sends:
        hubs.get_hub().schedule_call_global(ABANDONED_SEND_S, stop_all, sends)


def stop_all(sends: list[Send]) -> None:
    """Stop those of the sends that have not ended."""
    for send in sends:
        send.stop()
