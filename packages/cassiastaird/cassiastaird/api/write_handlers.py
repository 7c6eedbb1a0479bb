"""Handlers of non-idempotent requests and of their ids."""

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
from .bodies import WriteBody, parse_id_count, parse_write_body
from .query_handlers import find_service
from .reply import ApiReply, reply_json

LINK_TIMEOUT_S = 1.0  # time for opening a link to the issuing VM
FORWARD_MARGIN_S = 0.05  # time that the forwarding VM waits beyond the deadline


class WriteHandlers:
    """Issues request ids and runs each request on the VM that issued its id.

    Parameters
    ----------
    issuer : RequestIdIssuer
        Issuer of this VM, which runs the request of each id at most once.
    writer : Writer
        Writer that sends a request to a target.
    catalogue : Catalogue
        Objects in force.
    get_or_open_link : callable
        Called with the name of a VM and a timeout in seconds; returns a link to the
        VM, or None if there is none within the timeout.
    clock : Clock
        Source of time.
    rng : random.Random
        Random number generator for trace ids.
    metrics : Metrics
        Counters of writes by outcome.
    is_refusing : callable
        Returns True if the daemon is stopping and accepts no new requests.
    """

    def __init__(
        self,
        issuer: RequestIdIssuer,
        writer: Writer,
        catalogue: Catalogue,
        get_or_open_link: Callable[[str, float], PeerLink | None],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        is_refusing: Callable[[], bool],
    ):
        self._issuer = issuer
        self._writer = writer
        self._catalogue = catalogue
        self._get_or_open_link = get_or_open_link
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._is_refusing = is_refusing
        self.forwarder = CallForwarder(self.run_forwarded)

    def issue(self, raw: bytes, trace: TraceContext, received_at: float) -> ApiReply:
        """Issue the requested number of ids for non-idempotent requests."""
        count = parse_id_count(raw)
        if self._is_refusing():
            raise StoppingError("the daemon is stopping")
        ids = [str(self._issuer.issue()) for _ in range(count)]
        return reply_json(200, {"ids": ids})

    def write(self, raw: bytes, trace: TraceContext, received_at: float) -> ApiReply:
        """Run a non-idempotent request, or forward it to the VM that issued its id."""
        body = parse_write_body(raw)
        service = find_service(self._catalogue, body.service)
        deadline_ms = body.deadline_ms or service.policy.deadline_ms
        deadline = received_at + deadline_ms / 1000
        request_id = self._get_or_issue_id(body)
        if self._issuer.has_issued(request_id):
            status, document = self._run_locally(body, request_id, raw, deadline, trace)
        else:
            status, document = self._forward(request_id, raw, deadline, trace)
        self._metrics.record_write(body.service, document)
        return reply_json(status, {**document, "trace_id": trace.trace_id})

    def _get_or_issue_id(self, body: WriteBody) -> RequestId:
        """Return the id that the caller sent, or issue one."""
        if body.request_id is not None:
            return parse_issued_id(body.request_id)
        if self._is_refusing():
            raise StoppingError("the daemon is stopping")
        return self._issuer.issue()

    def _run_locally(
        self,
        body: WriteBody,
        request_id: RequestId,
        raw: bytes,
        deadline: float,
        trace: TraceContext,
    ) -> tuple[int, dict]:
        """Run a request under an id of this VM; return status and body of the reply."""
        request = WriteRequest(
            request_id=str(request_id),
            service=find_service(self._catalogue, body.service),
            key=body.key,
            body=body.body,
            deadline=deadline,
            trace=trace,
        )
        identity = f"{body.service}\n{body.key}\n".encode() + repr(body.body).encode()
        result = self._issuer.run_once(
            request_id, identity, lambda: self._writer.run(request)
        )
        document = {"request_id": str(request_id), "outcome": result.outcome}
        document["result" if result.status == 200 else "error"] = result.result
        return result.status, document

    def _forward(
        self, request_id: RequestId, raw: bytes, deadline: float, trace: TraceContext
    ) -> tuple[int, dict]:
        """Forward a request to the VM that issued its id and return the reply."""
        time_left = deadline - self._clock.now()
        link = self._get_or_open_link(request_id.vm, min(time_left, LINK_TIMEOUT_S))
        if link is None or link.vm.incarnation != request_id.incarnation:
            message = f"VM {request_id.vm} that issued the id is not linked"
            raise IssuerGoneError(message)
        time_left = deadline - self._clock.now()
        reply = self.forwarder.call(
            link, raw, time_left + FORWARD_MARGIN_S, trace.traceparent
        )
        return reply.status, reply.body

    def run_forwarded(self, call: Call) -> tuple[int, dict]:
        """Run a request that a peer forwarded; return status and body of the reply."""
        trace = parse_traceparent(call.trace, self._rng)
        deadline = self._clock.now() + call.time_left - FORWARD_MARGIN_S
        try:
            body = parse_write_body(call.body)
            request_id = parse_issued_id(body.request_id or "")
            if not self._issuer.has_issued(request_id):
                raise IssuerGoneError("the id was issued by an earlier incarnation")
            return self._run_locally(body, request_id, call.body, deadline, trace)
        except CassiastairError as error:
            return error.status, {"error": error.to_dict(), "outcome": error.outcome}
