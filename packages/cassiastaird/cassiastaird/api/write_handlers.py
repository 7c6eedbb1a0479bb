"""Handlers of non-idempotent requests and their ids."""

import random
from collections.abc import Callable

from cassiastair.at_most_once import RequestIdIssuer
from cassiastair.at_most_once.issuer import parse_issued_id
from cassiastair.at_most_once.writer import Writer, WriteRequest
from cassiastair.clock import Clock
from cassiastair.data import RequestId
from cassiastair.errors import CassiastairError, IssuerGoneError, StoppingError
from cassiastair.peers import Call, PeerLink
from cassiastair.tickets import Catalogue
from cassiastair.traces import TraceContext, parse_traceparent

from ..metrics import Metrics
from ..peers.call_forwarder import CallForwarder
from .bodies import WriteBody, read_id_count, read_write
from .query_handlers import find_service
from .reply import ApiReply, reply_json

REACH_LIMIT_S = 1.0  # time for opening a link to the issuer
FORWARD_MARGIN_S = 0.05  # time that a forwarder waits beyond the issuer's deadline


class WriteHandlers:
    """Issues ids and runs requests under them, here or at the issuer.

    Parameters
    ----------
    issuer : RequestIdIssuer
        Runs each id at most once.
    writer : Writer
        Sends a request to a target.
    catalogue : Catalogue
        Objects in force.
    reach : callable
        Returns a link to a VM, within some seconds, or None.
    clock : Clock
        Source of time.
    source : random.Random
        Source of the trace ids.
    metrics : Metrics
        Counters.
    refuses : callable
        Tells whether the daemon takes no new work.
    """

    def __init__(
        self,
        issuer: RequestIdIssuer,
        writer: Writer,
        catalogue: Catalogue,
        reach: Callable[[str, float], PeerLink | None],
        clock: Clock,
        source: random.Random,
        metrics: Metrics,
        refuses: Callable[[], bool],
    ):
        self._issuer = issuer
        self._writer = writer
        self._catalogue = catalogue
        self._reach = reach
        self._clock = clock
        self._source = source
        self._metrics = metrics
        self._refuses = refuses
        self.forwarder = CallForwarder(self.run_call)

    def issue(self, raw: bytes, trace: TraceContext, started: float) -> ApiReply:
        """Issue ids for non-idempotent requests."""
        count = read_id_count(raw)
        if self._refuses():
            raise StoppingError("the daemon is stopping")
        ids = [str(self._issuer.issue()) for _ in range(count)]
        return reply_json(200, {"ids": ids})

    def write(self, raw: bytes, trace: TraceContext, started: float) -> ApiReply:
        """Run a non-idempotent request, or forward it to its issuer."""
        body = read_write(raw)
        service = find_service(self._catalogue, body.service)
        deadline_ms = body.deadline_ms or service.policy.deadline_ms
        deadline = started + deadline_ms / 1000
        request_id = self._find_id(body)
        if self._issuer.owns(request_id):
            status, document = self._run(body, request_id, raw, deadline, trace)
        else:
            status, document = self._forward(request_id, raw, deadline, trace)
        self._metrics.note_write(body.service, document)
        return reply_json(status, {**document, "trace_id": trace.trace_id})

    def _find_id(self, body: WriteBody) -> RequestId:
        """Return the caller's id; a new one if the caller gave none."""
        if body.request_id is not None:
            return parse_issued_id(body.request_id)
        if self._refuses():
            raise StoppingError("the daemon is stopping")
        return self._issuer.issue()

    def _run(
        self,
        body: WriteBody,
        request_id: RequestId,
        raw: bytes,
        deadline: float,
        trace: TraceContext,
    ) -> tuple[int, dict]:
        """Run a request under an id of this VM."""
        request = WriteRequest(
            request_id=str(request_id),
            service=find_service(self._catalogue, body.service),
            key=body.key,
            body=body.body,
            deadline=deadline,
            trace=trace,
        )
        identity = f"{body.service}\n{body.key}\n".encode() + repr(body.body).encode()
        record = self._issuer.run_once(
            request_id, identity, lambda: self._writer.run(request)
        )
        document = {"request_id": str(request_id), "outcome": record.outcome}
        document["result" if record.status == 200 else "error"] = record.result
        return record.status, document

    def _forward(
        self, request_id: RequestId, raw: bytes, deadline: float, trace: TraceContext
    ) -> tuple[int, dict]:
        """Forward a request to the VM that issued its id."""
        left = deadline - self._clock.now()
        link = self._reach(request_id.vm, min(left, REACH_LIMIT_S))
        if link is None or link.vm.incarnation != request_id.incarnation:
            message = f"VM {request_id.vm} that issued the id is not linked"
            raise IssuerGoneError(message)
        left = deadline - self._clock.now()
        reply = self.forwarder.call(
            link, raw, left + FORWARD_MARGIN_S, trace.traceparent
        )
        return reply.status, reply.body

    def run_call(self, call: Call) -> tuple[int, dict]:
        """Run a request that a peer forwarded."""
        trace = parse_traceparent(call.trace, self._source)
        deadline = self._clock.now() + call.time_left - FORWARD_MARGIN_S
        try:
            body = read_write(call.body)
            request_id = parse_issued_id(body.request_id or "")
            if not self._issuer.owns(request_id):
                raise IssuerGoneError("the id was issued by an earlier incarnation")
            return self._run(body, request_id, call.body, deadline, trace)
        except CassiastairError as error:
            return error.status, {"error": error.to_dict(), "outcome": error.outcome}
