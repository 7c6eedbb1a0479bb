"""Writer, which sends a non-idempotent request to a target.

A request is sent to a further target only if it provably did not run before.
"""

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
from ..targets.failures import NotSentFailure, TargetFailure
from ..targets.registry import find_unpaused
from ..targets.target_stats import TargetStats
from ..traces import Span, TraceContext, Tracer
from .result import RequestResult

NO_SNAPSHOT = Snapshot(0, 0)  # a write does not read from a snapshot


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """A non-idempotent request.

    Parameters
    ----------
    request_id : str
        Id under which the request runs at most once.
    service : Service
        Service whose records the request changes.
    key : int
        Key of the record to change.
    body : dict
        Content of the request, passed on to the target unchanged.
    deadline : float
        Monotonic time in seconds by which the caller needs a reply.
    trace : TraceContext
        Trace context of the request's span.
    """

    request_id: str
    service: Service
    key: int
    body: dict
    deadline: float
    trace: TraceContext


@dataclass(frozen=True, slots=True)
class Writer:
    """Sends a request to one target, and to another only if it provably did not run.

    Parameters
    ----------
    registry : TargetRegistry
        Targets in force and their statistics.
    client : TargetClient
        Client through which requests are sent.
    chooser : TargetChooser
        Policy that chooses a target among the candidates.
    observer : TargetObserver
        Receiver of the failures of targets.
    pauses : PauseDetector
        Detector of process pauses, checked just before each attempt.
    tracer : Tracer
        Receiver of finished spans.
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
        """Run a request and return its result, which also represents errors."""
        try:
            result = self._dispatch(request)
        except CassiastairError as error:
            return RequestResult(Outcome(error.outcome), error.to_dict(), error.status)
        except Exception as error:
            unknown = WriteUnknownError(f"internal failure: {error!r}")
            return RequestResult(Outcome.UNKNOWN, unknown.to_dict(), unknown.status)
        return RequestResult(Outcome.DONE, result, 200)

    def _dispatch(self, request: WriteRequest) -> dict:
        """Try targets until one may have run the request; return its result."""
        shard = find_shard(request.service, request.key)
        tried: set[str] = set()
        last_failure = "no target accepts new requests"
        while self.clock.now() < request.deadline:
            candidates = self.registry.candidates(request.service.name, shard)
            unpaused = find_unpaused(candidates, self.clock.now())
            untried = [c for c in unpaused if c.target.name not in tried]
            if not untried:
                break
            chosen = self.chooser.choose(untried)
            tried.add(chosen.target.name)
            try:
                return self._send(request, shard, chosen)
            except TargetFailure as failure:
                self.observer.record_notice(chosen, failure)
                self.observer.record_failure(chosen, failure)
                last_failure = f"target {chosen.target.name}: {failure.message}"
                if not failure.proves_not_run:
                    raise WriteUnknownError(last_failure) from failure
        raise WriteNotRunError(last_failure)

    def _send(
        self, request: WriteRequest, shard: KeyRange, chosen: TargetStats
    ) -> dict:
        """Send the request to one target as soon as the target has a free slot."""
        self._acquire_slot(chosen, request.deadline)
        try:
            if chosen.paused_until > self.clock.now():
                raise NotSentFailure("it wants no requests now")
            return self._send_attempt(request, shard, chosen)
        finally:
            chosen.limiter.release()

    def _acquire_slot(self, chosen: TargetStats, deadline: float) -> None:
        """Wait for a free slot of a target, at most until the deadline."""
        with eventlet.Timeout(deadline - self.clock.now(), False):
            chosen.limiter.acquire()
            return
        raise WriteNotRunError(f"no free slot at target {chosen.target.name}")

    def _send_attempt(self, request: WriteRequest, shard: KeyRange, chosen) -> dict:
        """Make one attempt, unless the process was paused just before.

        After a pause, the state of this VM may be out of date. If the deadline
        passes, the client raises a failure that says whether any byte was sent.
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
        started_at = self.clock.now()
        result = "failed"
        try:
            answer = self.client.write(chosen.target, attempt, request.request_id)
            result = "ok"
            return answer
        finally:
            attributes = (("target", chosen.target.name), ("result", result))
            duration = self.clock.now() - started_at
            self.tracer.record(Span(trace, "write", started_at, duration, attributes))


def find_shard(service: Service, key: int) -> KeyRange:
    """Return the shard that contains a key; the shards cover all keys."""
    return next(shard for shard in service.shards if shard.contains(key))
