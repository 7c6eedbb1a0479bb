"""Dispatch of a non-idempotent request: one attempt, unless proved not to have run."""

import random
from dataclasses import dataclass

import eventlet

from ..clock import Clock
from ..data import Attempt, KeyRange, Outcome, Service, Snapshot
from ..errors import (
    CassiastairError,
    NotFreshError,
    WriteNotRunError,
    WriteUnknownError,
)
from ..pauses import PauseDetector
from ..search.observer import TargetObserver
from ..targets import TargetChooser, TargetClient, TargetRegistry
from ..targets.failures import TargetFailure
from ..targets.target_stats import TargetStats
from ..traces import Span, TraceContext, Tracer
from .result import RequestResult

NO_SNAPSHOT = Snapshot(0, 0)  # a write is not bound to a version


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """A non-idempotent request.

    Parameters
    ----------
    request_id : str
        Id under which it runs at most once.
    service : Service
        Service that it changes.
    key : int
        Key of the record.
    body : dict
        Passed on to the target unread.
    deadline : float
        Monotonic time in seconds at which the outcome is due.
    trace : TraceContext
        Span of the request.
    """

    request_id: str
    service: Service
    key: int
    body: dict
    deadline: float
    trace: TraceContext


@dataclass(frozen=True, slots=True)
class Writer:
    """Sends a request to one target; to another only after proof of "not run".

    Parameters
    ----------
    registry : TargetRegistry
        Targets and their evidence.
    client : TargetClient
        Sends the request.
    chooser : TargetChooser
        Chooses among the targets.
    observer : TargetObserver
        Learns from failures.
    pauses : PauseDetector
        Looked at just before each dispatch.
    tracer : Tracer
        Takes finished spans.
    clock : Clock
        Source of time.
    rng : random.Random
        Random number generator.
    """

    registry: TargetRegistry
    client: TargetClient
    chooser: TargetChooser
    observer: TargetObserver
    pauses: PauseDetector
    tracer: Tracer
    clock: Clock
    rng: random.Random

    def run(self, request: WriteRequest) -> RequestResult:
        """Run a request and return its record; raises nothing."""
        try:
            result = self._dispatch(request)
        except CassiastairError as error:
            return RequestResult(Outcome(error.outcome), error.to_dict(), error.status)
        except Exception as error:
            unknown = WriteUnknownError(f"internal failure: {error!r}")
            return RequestResult(Outcome.UNKNOWN, unknown.to_dict(), unknown.status)
        return RequestResult(Outcome.DONE, result, 200)

    def _dispatch(self, request: WriteRequest) -> dict:
        """Try targets until one may have run the request."""
        shard = find_shard(request.service, request.key)
        tried: set[str] = set()
        last = "no target may get new work"
        while self.clock.now() < request.deadline:
            candidates = self.registry.candidates(request.service.name, shard)
            untried = [c for c in candidates if c.target.name not in tried]
            if not untried:
                break
            chosen = self.chooser.choose(untried)
            tried.add(chosen.target.name)
            try:
                return self._send(request, shard, chosen)
            except TargetFailure as failure:
                self.observer.record_failure(chosen, failure)
                last = f"target {chosen.target.name}: {failure.message}"
                if not failure.proves_not_run:
                    raise WriteUnknownError(last) from failure
        raise WriteNotRunError(last)

    def _send(
        self, request: WriteRequest, shard: KeyRange, chosen: TargetStats
    ) -> dict:
        """Send the request to one target, when it has a place free."""
        self._enter(chosen, request.deadline)
        try:
            return self._hand_over(request, shard, chosen)
        finally:
            chosen.limiter.release()

    def _enter(self, chosen: TargetStats, deadline: float) -> None:
        """Wait for a place at a target, until the deadline."""
        with eventlet.Timeout(deadline - self.clock.now(), False):
            chosen.limiter.acquire()
            return
        raise WriteNotRunError(f"no free place at target {chosen.target.name}")

    def _hand_over(self, request: WriteRequest, shard: KeyRange, chosen) -> dict:
        """Check that beliefs are fresh, then hand the request to the client.

        The client turns the end of the time into a typed failure that tells
        whether any byte was handed over.
        """
        if self.pauses.check():
            raise NotFreshError("the process was paused and has not caught up")
        trace = request.trace.child(self.rng)
        attempt = Attempt(
            attempt_id=trace.span_id,
            service=request.service.name,
            snapshot=NO_SNAPSHOT,
            key_range=shard,
            query={"key": request.key, "body": request.body},
            deadline=request.deadline,
            traceparent=trace.traceparent,
        )
        started = self.clock.now()
        result = "failed"
        try:
            answer = self.client.write(chosen.target, attempt, request.request_id)
            result = "ok"
            return answer
        finally:
            attributes = (("target", chosen.target.name), ("result", result))
            duration = self.clock.now() - started
            self.tracer.record(Span(trace, "write", started, duration, attributes))


def find_shard(service: Service, key: int) -> KeyRange:
    """Return the shard of a key; the shards cover every key."""
    return next(shard for shard in service.shards if shard.contains(key))
