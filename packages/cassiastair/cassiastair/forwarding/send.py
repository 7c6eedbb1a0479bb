"""One send to one target, in a task of its own."""

from eventlet import hubs, spawn_n
from greenlet import greenlet

from ..targets.failures import (
    BadAnswerFailure,
    BrokenFailure,
    ConnectFailure,
    RefusedFailure,
    TargetFailure,
)
from .dependencies import ForwardingDependencies
from .request import CallerRequest
from .route_latencies import RouteLatency
from .target_stats import RoutedTargetStats
from .transport import TargetReply

LINGER_S = 0.35  # time for a send that nobody waits for, to keep its connection


class Send:
    """A request on its way to one target.

    Parameters
    ----------
    parts : ForwardingDependencies
        Collaborators.
    evidence : RoutedTargetStats
        Target that is asked.
    kind : RouteLatency
        Latencies of the kind of request.
    reason : str
        ``first``, ``hedge`` or ``retry``.
    """

    __slots__ = (
        "evidence",
        "reason",
        "started",
        "ended",
        "outcome",
        "_parts",
        "_kind",
        "_task",
    )

    def __init__(
        self,
        parts: ForwardingDependencies,
        evidence: RoutedTargetStats,
        kind: RouteLatency,
        reason: str,
    ):
        self.evidence = evidence
        self.reason = reason
        self.started = parts.clock.now()
        self.ended = False
        self.outcome: TargetReply | TargetFailure | None = None
        self._parts = parts
        self._kind = kind
        self._task: greenlet | None = None

    def start(self, request: CallerRequest, deadline: float, once: bool, tell) -> None:
        """Send; `tell` is called with this object when an outcome is there."""
        self.evidence.began(self, self.started)
        self._parts.send_counts.record_start(self.reason)
        self._task = spawn_n(self._run, request, deadline, once, tell)

    def _run(self, request: CallerRequest, deadline: float, once: bool, tell) -> None:
        """Speak with the target and learn from the outcome."""
        try:
            self.outcome = self._exchange(request, deadline, once)
        finally:
            self.ended = True
            self.evidence.ended(self)
        tell(self)

    def _exchange(self, request: CallerRequest, deadline: float, once: bool):
        """Return the reply or the failure."""
        target = self.evidence.target
        try:
            reply = self._parts.transport.send(target, request, deadline, once)
        except TargetFailure as failure:
            self._learn_failure(failure)
            self._parts.send_counts.record_end(type(failure).__name__)
            return failure
        except Exception as error:
            self._parts.decisions.warn(
                "internal failure", request.attempt_id, reason=repr(error), trace=True
            )
            return BrokenFailure(f"internal failure: {error!r}")
        now = self._parts.clock.now()
        if reply.succeeded:
            ratio = self._kind.observe(now - self.started)
            self.evidence.answered(ratio, now)
            self._parts.outliers.record_answer(target.name, ratio)
            self._parts.send_counts.record_end("answered")
        else:
            self._learn_waiting()
            self.evidence.failed(now)
            if now < deadline:
                self._parts.outliers.record_failure(target.name)
            self._parts.send_counts.record_end("failed_at_target")
        return reply

    def note_late(self) -> float:
        """Take note that the target has not answered so far; return the ratio.

        That is the time waited over the typical latency of the kind of request.
        """
        waited = self._parts.clock.now() - self.started
        ratio = waited / max(self._kind.typical, 1e-4)
        self._parts.outliers.record_wait(self.evidence.target.name, ratio)
        return ratio

    def _learn_waiting(self) -> None:
        """Take note that the target has not served the send in this time."""
        self.evidence.waited(self.note_late())

    def _learn_failure(self, failure: TargetFailure) -> None:
        """Stand back from a target that refuses or cannot be reached."""
        if isinstance(failure, (ConnectFailure, RefusedFailure, BrokenFailure)):
            self.evidence.failed(self._parts.clock.now())
        if isinstance(failure, (BadAnswerFailure, BrokenFailure)):
            self._parts.outliers.record_failure(self.evidence.target.name)

    def stop(self) -> None:
        """End the send now; its connection is closed."""
        if not self.ended:
            self._learn_waiting()
            self.evidence.failed(self._parts.clock.now())
            self._parts.send_counts.record_end("stopped")
            hubs.get_hub().schedule_call_global(0, self._task.throw)


def release(sends: list[Send]) -> None:
    """Let sends that nobody waits for end by themselves, and stop them after a while.

    A target that has begun costs the same work either way; a closed connection
    costs it a new one besides.
    """
    if sends:
        hubs.get_hub().schedule_call_global(LINGER_S, stop_all, sends)


def stop_all(sends: list[Send]) -> None:
    """Stop the sends that have not ended."""
    for send in sends:
        send.stop()
