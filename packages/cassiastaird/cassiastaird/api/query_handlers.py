"""Handlers of searches and lookups."""

from collections.abc import Callable

from cassiastair.admission import Admission
from cassiastair.clock import Clock
from cassiastair.data import Policy, Service
from cassiastair.errors import (
    DeadlineError,
    LowCoverageError,
    NotFoundError,
    StoppingError,
)
from cassiastair.search import SearchAnswer, SearchEngine, SearchRequest
from cassiastair.tickets import Catalogue
from cassiastair.traces import TraceContext

from ..metrics import Metrics
from .bodies import read_lookup, read_search
from .reply import ApiReply, reply_json

REPLY_MARGIN_S = 0.002  # time kept for writing the answer


class QueryHandlers:
    """Runs searches and lookups through admission and the engine.

    Parameters
    ----------
    engine : SearchEngine
        Answers requests.
    catalogue : Catalogue
        Objects in force.
    admission : Admission
        Refuses early what cannot be answered in time.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counters and histograms.
    refuses : callable
        Tells whether the daemon takes no new work.
    """

    def __init__(
        self,
        engine: SearchEngine,
        catalogue: Catalogue,
        admission: Admission,
        clock: Clock,
        metrics: Metrics,
        refuses: Callable[[], bool],
    ):
        self._engine = engine
        self._catalogue = catalogue
        self._admission = admission
        self._clock = clock
        self._metrics = metrics
        self._refuses = refuses

    def search(self, raw: bytes, trace: TraceContext, started: float) -> ApiReply:
        """Answer a search."""
        body = read_search(raw)
        index = self._catalogue.indexes.get(body.index)
        services = self._catalogue.services_of(index) if index else []
        if not services:
            raise NotFoundError(f"no index {body.index!r} with services is in force")
        policies = [service.policy for service in services]
        deadline_ms = body.deadline_ms or min(p.deadline_ms for p in policies)
        lowest = body.lowest_coverage
        if lowest is None:
            lowest = max(policy.lowest_coverage for policy in policies)
        request = SearchRequest(
            index=body.index,
            query={"search": body.query},
            deadline=started + deadline_ms / 1000 - REPLY_MARGIN_S,
            trace=trace,
            lowest_version=body.lowest_version,
        )
        cost = sum(len(service.shards) for service in services)
        weight = max(policy.weight for policy in policies)
        answer = self._run(request, weight, cost, started)
        if answer.coverage.share < lowest:
            share = answer.coverage.share
            message = f"covered {share:.6f}, the lowest accepted is {lowest:.6f}"
            raise LowCoverageError(message)
        return reply_json(200, describe_answer(answer, trace))

    def lookup(self, raw: bytes, trace: TraceContext, started: float) -> ApiReply:
        """Answer a lookup of one record."""
        body = read_lookup(raw)
        service = find_service(self._catalogue, body.service)
        policy: Policy = service.policy
        deadline_ms = body.deadline_ms or policy.deadline_ms
        request = SearchRequest(
            index=service.index,
            query={"get": body.key},
            deadline=started + deadline_ms / 1000 - REPLY_MARGIN_S,
            trace=trace,
            lowest_version=body.lowest_version,
            key=body.key,
            service=service.name,
        )
        answer = self._run(request, policy.weight, 1, started)
        if answer.coverage.missing:
            reason = answer.coverage.missing[0].reason
            raise DeadlineError(f"the record's shard gave no answer: {reason}")
        return reply_json(200, describe_answer(answer, trace))

    def _run(
        self, request: SearchRequest, weight: int, cost: int, started: float
    ) -> SearchAnswer:
        """Run an admitted request."""
        if self._refuses():
            raise StoppingError("the daemon is stopping")
        self._admission.admit(request.index, weight, cost)
        in_time = False
        try:
            answer = self._engine.run(request)
            in_time = self._clock.now() < request.deadline
        finally:
            self._admission.release(request.index, cost, in_time)
        duration = self._clock.now() - started
        self._metrics.note_query(request.index, duration, cost, answer)
        return answer


def find_service(catalogue: Catalogue, name: str) -> Service:
    """Return a service in force.

    Raises
    ------
    NotFoundError
        If there is none of that name.
    """
    service = catalogue.services.get(name)
    if service is None:
        raise NotFoundError(f"no service {name!r} is in force")
    return service


def describe_answer(answer: SearchAnswer, trace: TraceContext) -> dict:
    """Return the JSON form of an answer."""
    coverage = answer.coverage
    return {
        "snapshot": {
            "version": answer.snapshot.version,
            "epoch": answer.snapshot.epoch,
        },
        "coverage": {
            "share": coverage.share,
            "covered_keys": coverage.covered_keys,
            "all_keys": coverage.all_keys,
            "missing": [
                {
                    "service": part.service,
                    "start": part.key_range.start,
                    "end": part.key_range.end,
                    "reason": part.reason,
                }
                for part in coverage.missing
            ],
        },
        "records": answer.records,
        "subrequests": answer.subrequests,
        "trace_id": trace.trace_id,
    }
