"""WSGI application, which dispatches each request to the handler of its path."""

import random

from cassiastair.clock import Clock
from cassiastair.errors import (
    CassiastairError,
    MalformedRequestError,
    NotFoundError,
    TooLargeError,
)
from cassiastair.traces import Span, TraceContext, Tracer, parse_traceparent
from loguru import logger

from ..drain import Drain
from .phase import Phase
from .protocol import CONNECTION_KEY, PROTOCOL_KEY
from .query_handlers import QueryHandlers
from .reply import ApiReply, reply_json
from .status_handlers import StatusHandlers
from .write_handlers import WriteHandlers


class Api:
    """WSGI application of the daemon.

    Parameters
    ----------
    queries : QueryHandlers
        Handlers of searches and lookups.
    writes : WriteHandlers
        Handlers of non-idempotent requests and of their ids.
    status_handlers : StatusHandlers
        Handlers of the read-only pages for operators.
    drain : Drain
        Counter of the requests in progress. While the daemon drains, each reply closes
        its connection.
    tracer : Tracer
        Receiver of finished spans.
    clock : Clock
        Source of time.
    rng : random.Random
        Random number generator for trace ids.
    max_body_bytes : int
        Size of the largest accepted body.
    """

    def __init__(
        self,
        queries: QueryHandlers,
        writes: WriteHandlers,
        status_handlers: StatusHandlers,
        drain: Drain,
        tracer: Tracer,
        clock: Clock,
        rng: random.Random,
        max_body_bytes: int,
    ):
        self._drain = drain
        self._tracer = tracer
        self._clock = clock
        self._rng = rng
        self._max_body_bytes = max_body_bytes
        self._status_handlers = status_handlers
        self._post_handlers = {
            "/v1/search": queries.search,
            "/v1/lookup": queries.lookup,
            "/v1/write": writes.write,
            "/v1/ids": writes.issue,
        }
        self._get_handlers = {
            "/live": status_handlers.live,
            "/ready": status_handlers.ready,
            "/metrics": status_handlers.metrics,
            "/status": status_handlers.status,
            "/v1/state": status_handlers.state,
        }

    def __call__(self, environ: dict, start_response) -> list[bytes]:
        """Handle one request and return the body of its reply."""
        trace = parse_traceparent(environ.get("HTTP_TRACEPARENT"), self._rng)
        connection = environ[CONNECTION_KEY]
        received_at = self._clock.now()
        reply, error_code = self._handle(environ, trace, received_at)
        if is_body_unread(environ["wsgi.input"]):
            environ[PROTOCOL_KEY].refuse_body()
        connection.release_request()
        if not connection.reserve_answer(len(reply.body)):
            logger.warning("answer dropped, memory is full", size=len(reply.body))
            connection.shut_down()
            reply = ApiReply(reply.status, b"")
        if self._drain.draining:
            environ[PROTOCOL_KEY].close_connection = True
        self._record_request(environ, trace, received_at, reply, error_code)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
            ("X-Trace-Id", trace.trace_id),
        ]
        start_response(reply.status_line, headers)
        return [reply.body]

    def _handle(self, environ: dict, trace: TraceContext, received_at: float):
        """Return the reply and its error code, which is empty on success."""
        try:
            return self._dispatch(environ, trace, received_at), ""
        except CassiastairError as error:
            document = {"error": error.to_dict(), "trace_id": trace.trace_id}
            return reply_json(error.status, document), error.code
        except Exception as error:
            logger.exception("internal failure", trace_id=trace.trace_id)
            failure = CassiastairError(f"internal failure: {type(error).__name__}")
            document = {"error": failure.to_dict(), "trace_id": trace.trace_id}
            return reply_json(500, document), failure.code

    def _dispatch(
        self, environ: dict, trace: TraceContext, received_at: float
    ) -> ApiReply:
        """Call the handler of the path; raise `NotFoundError` if there is none."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if method == "POST" and path in self._post_handlers:
            body = self._read_body(environ)
            with self._drain.track_request():
                return self._post_handlers[path](body, trace, received_at)
        if method == "GET" and path in self._get_handlers:
            return self._get_handlers[path]()
        if method == "GET" and path.startswith("/v1/traces/"):
            return self._status_handlers.trace(path.removeprefix("/v1/traces/"))
        if method == "GET" and path.startswith("/v1/targets/"):
            return self._status_handlers.target(path.removeprefix("/v1/targets/"))
        raise NotFoundError(f"no such path: {method} {path[:80]}")

    def _read_body(self, environ: dict) -> bytes:
        """Return the body; raise an error if its length is missing or too large."""
        length = environ.get("CONTENT_LENGTH") or ""
        if not length.isdigit():
            raise MalformedRequestError("the Content-Length header is missing")
        if int(length) > self._max_body_bytes:
            message = (
                f"the body has {length} bytes, the limit is {self._max_body_bytes}"
            )
            raise TooLargeError(message)
        connection = environ[CONNECTION_KEY]
        connection.reserve_body(int(length))
        body = environ["wsgi.input"].read(int(length))
        connection.enter(Phase.WORKING)
        if len(body) != int(length):
            raise MalformedRequestError("the body ended early")
        return body

    def _record_request(
        self, environ, trace: TraceContext, received_at, reply, error_code: str
    ) -> None:
        """Record the span of a POST request; log the request if it failed."""
        path = environ["PATH_INFO"]
        if path not in self._post_handlers:
            return
        duration = self._clock.now() - received_at
        attributes = (
            ("path", path),
            ("status", str(reply.status)),
            ("error", error_code),
        )
        self._tracer.record(Span(trace, "request", received_at, duration, attributes))
        if error_code:
            logger.info(
                "request failed",
                path=path,
                code=error_code,
                status=reply.status,
                trace_id=trace.trace_id,
                duration_ms=round(duration * 1000, 2),
            )


def is_body_unread(body) -> bool:
    """Return True if a body, or a part of it, was not read.

    Parameters
    ----------
    body : eventlet.wsgi.Input
        Body of a request.
    """
    return body.chunked_input or body.position < (body.content_length or 0)
