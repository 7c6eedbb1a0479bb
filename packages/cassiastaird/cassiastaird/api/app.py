"""The WSGI application: reads a request, calls a handler, writes its reply."""

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
from .query_handlers import QueryHandlers
from .reply import ApiReply, reply_json
from .status_handlers import StatusHandlers
from .write_handlers import WriteHandlers


class Api:
    """WSGI application of the daemon.

    Parameters
    ----------
    queries : QueryHandlers
        Searches and lookups.
    writes : WriteHandlers
        Non-idempotent requests and their ids.
    status : StatusHandlers
        Operators' read-only pages.
    drain : Drain
        Counts the requests in progress.
    tracer : Tracer
        Takes finished spans.
    clock : Clock
        Source of time.
    source : random.Random
        Source of the trace ids.
    max_body : int
        Largest body in bytes.
    """

    def __init__(
        self,
        queries: QueryHandlers,
        writes: WriteHandlers,
        status: StatusHandlers,
        drain: Drain,
        tracer: Tracer,
        clock: Clock,
        source: random.Random,
        max_body: int,
    ):
        self._drain = drain
        self._tracer = tracer
        self._clock = clock
        self._source = source
        self._max_body = max_body
        self._status = status
        self._posts = {
            "/v1/search": queries.search,
            "/v1/lookup": queries.lookup,
            "/v1/write": writes.write,
            "/v1/ids": writes.issue,
        }
        self._gets = {
            "/live": status.live,
            "/ready": status.ready,
            "/metrics": status.metrics,
            "/status": status.status,
            "/v1/state": status.state,
        }

    def __call__(self, environ: dict, start_response) -> list[bytes]:
        """Answer one request."""
        trace = parse_traceparent(environ.get("HTTP_TRACEPARENT"), self._source)
        started = self._clock.now()
        reply, error = self._answer(environ, trace, started)
        if self._drain.draining:
            environ["cassiastaird.protocol"].close_connection = True
        self._note(environ, trace, started, reply, error)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
            ("X-Trace-Id", trace.trace_id),
        ]
        start_response(reply.status_line, headers)
        return [reply.body]

    def _answer(self, environ: dict, trace: TraceContext, started: float):
        """Return the reply and the code of its error."""
        try:
            return self._route(environ, trace, started), ""
        except CassiastairError as error:
            document = {"error": error.to_dict(), "trace_id": trace.trace_id}
            return reply_json(error.status, document), error.code
        except Exception as error:
            logger.exception("internal failure", trace_id=trace.trace_id)
            failure = CassiastairError(f"internal failure: {type(error).__name__}")
            document = {"error": failure.to_dict(), "trace_id": trace.trace_id}
            return reply_json(500, document), failure.code

    def _route(self, environ: dict, trace: TraceContext, started: float) -> ApiReply:
        """Call the handler of the path."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if method == "POST" and path in self._posts:
            body = self._read_body(environ)
            with self._drain.track_request():
                return self._posts[path](body, trace, started)
        if method == "GET" and path in self._gets:
            return self._gets[path]()
        if method == "GET" and path.startswith("/v1/traces/"):
            return self._status.trace(path.removeprefix("/v1/traces/"))
        if method == "GET" and path.startswith("/v1/targets/"):
            return self._status.target(path.removeprefix("/v1/targets/"))
        raise NotFoundError(f"no such path: {method} {path[:80]}")

    def _read_body(self, environ: dict) -> bytes:
        """Read a body of known and acceptable length."""
        length = environ.get("CONTENT_LENGTH") or ""
        if not length.isdigit():
            raise MalformedRequestError("the Content-Length header is missing")
        if int(length) > self._max_body:
            environ["cassiastaird.protocol"].close_connection = True
            message = f"the body has {length} bytes, the limit is {self._max_body}"
            raise TooLargeError(message)
        body = environ["wsgi.input"].read(int(length))
        if len(body) != int(length):
            raise MalformedRequestError("the body ended early")
        return body

    def _note(self, environ, trace: TraceContext, started, reply, error: str) -> None:
        """Record the span and, for failures, a log line."""
        path = environ["PATH_INFO"]
        if path not in self._posts:
            return
        duration = self._clock.now() - started
        detail = (("path", path), ("status", str(reply.status)), ("error", error))
        self._tracer.record(Span(trace, "request", started, duration, detail))
        if error:
            logger.info(
                "request failed",
                path=path,
                code=error,
                status=reply.status,
                trace_id=trace.trace_id,
                duration_ms=round(duration * 1000, 2),
            )
