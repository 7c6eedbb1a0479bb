"""Handlers of searches and of lookups of single records."""

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
from .bodies import parse_lookup_body, parse_search_body
from .reply import ApiReply, reply_json

REPLY_MARGIN_S = 0.002  # part of the deadline that is kept for sending the reply


class QueryHandlers:
    """Parses searches and lookups, admits them and runs them on the engine.

    Parameters
    ----------
    engine : SearchEngine
        Engine that answers requests.
    catalogue : Catalogue
        Objects in force.
    admission : Admission
        Policy that refuses queries which cannot be answered in time.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counters and histograms.
    is_refusing : callable
        Returns True if the daemon is stopping and accepts no new requests.
    """

    def __init__(
        self,
        engine: SearchEngine,
        catalogue: Catalogue,
        admission: Admission,
        clock: Clock,
        metrics: Metrics,
        is_refusing: Callable[[], bool],
    ):
        self._engine = engine
        self._catalogue = catalogue
        self._admission = admission
        self._clock = clock
        self._metrics = metrics
        self._is_refusing = is_refusing

    def search(self, raw: bytes, trace: TraceContext, received_at: float) -> ApiReply:
        """Run a search over all services of an index."""
        body = parse_search_body(raw)
        index = self._catalogue.indexes.get(body.index)
        services = self._catalogue.services_of(index) if index else []
        if not services:
            raise NotFoundError(f"no index {body.index!r} with services is in force")
        policies = [service.policy for service in services]
        deadline_ms = body.deadline_ms or min(p.deadline_ms for p in policies)
        lowest_coverage = body.lowest_coverage
        if lowest_coverage is None:
            lowest_coverage = max(policy.lowest_coverage for policy in policies)
        request = SearchRequest(
            index=body.index,
            query={"search": body.query},
            deadline=received_at + deadline_ms / 1000 - REPLY_MARGIN_S,
            trace=trace,
            lowest_version=body.lowest_version,
        )
        cost = sum(len(service.shards) for service in services)
        weight = max(policy.weight for policy in policies)
        answer = self._run(request, weight, cost, received_at)
        if answer.coverage.share < lowest_coverage:
            share = answer.coverage.share
            message = (
                f"covered {share:.6f}, the lowest accepted is {lowest_coverage:.6f}"
            )
            raise LowCoverageError(message)
        return reply_json(200, encode_answer(answer, trace))

    def lookup(self, raw: bytes, trace: TraceContext, received_at: float) -> ApiReply:
        """Run a lookup of the record with a key in one service."""
        body = parse_lookup_body(raw)
        service = find_service(self._catalogue, body.service)
        policy: Policy = service.policy
        deadline_ms = body.deadline_ms or policy.deadline_ms
        request = SearchRequest(
            index=service.index,
            query={"get": body.key},
            deadline=received_at + deadline_ms / 1000 - REPLY_MARGIN_S,
            trace=trace,
            lowest_version=body.lowest_version,
            key=body.key,
            service=service.name,
        )
        answer = self._run(request, policy.weight, 1, received_at)
        if answer.coverage.missing:
            reason = answer.coverage.missing[0].reason
            raise DeadlineError(f"the record's shard gave no answer: {reason}")
        return reply_json(200, encode_answer(answer, trace))

    def _run(
        self, request: SearchRequest, weight: int, cost: int, received_at: float
    ) -> SearchAnswer:
        """Admit a request, run it and record its metrics."""
        if self._is_refusing():
            raise StoppingError("the daemon is stopping")
        self._admission.admit(request.index, weight, cost)
        in_time = False
        try:
            answer = self._engine.run(request)
            in_time = self._clock.now() < request.deadline
        finally:
            self._admission.release(request.index, cost, in_time)
        duration = self._clock.now() - received_at
        self._metrics.record_query(request.index, duration, cost, answer)
        return answer


def find_service(catalogue: Catalogue, name: str) -> Service:
    """Return the service with a name.

    Raises
    ------
    NotFoundError
        If no service of that name is in force.
    """
    service = catalogue.services.get(name)
    if service is None:
        raise NotFoundError(f"no service {name!r} is in force")
    return service


def encode_answer(answer: SearchAnswer, trace: TraceContext) -> dict:
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
                    "service": missing.service,
                    "start": missing.key_range.start,
                    "end": missing.key_range.end,
                    "reason": missing.reason,
                }
                for missing in coverage.missing
            ],
        },
        "records": answer.records,
        "subrequests": answer.subrequests,
        "trace_id": trace.trace_id,
    }
