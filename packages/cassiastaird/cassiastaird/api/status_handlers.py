"""Handlers of the read-only pages for operators."""

from collections.abc import Callable

from cassiastair.errors import NotFoundError
from cassiastair.tickets import StateMap, encode_state

from ..metrics import Metrics
from ..status import Status
from ..trace_store import TraceStore, encode_spans
from .reply import ApiReply, reply_json


class StatusHandlers:
    """Serves health checks, metrics, the configuration in force and traces.

    Parameters
    ----------
    status : Status
        Description of the daemon and its targets.
    state : StateMap
        Objects in force with the tickets that set them.
    traces : TraceStore
        Most recent spans.
    metrics : Metrics
        Counters and histograms.
    is_ready : callable
        Returns True if the load balancer should send requests to this VM.
    """

    def __init__(
        self,
        status: Status,
        state: StateMap,
        traces: TraceStore,
        metrics: Metrics,
        is_ready: Callable[[], bool],
    ):
        self._status = status
        self._state = state
        self._traces = traces
        self._metrics = metrics
        self._is_ready = is_ready

    def live(self) -> ApiReply:
        """Return status 200, since the process runs."""
        return reply_json(200, {"live": True})

    def ready(self) -> ApiReply:
        """Return status 200 if the load balancer should send requests, else 503."""
        ready = self._is_ready()
        return reply_json(200 if ready else 503, {"ready": ready})

    def metrics(self) -> ApiReply:
        """Return the metrics in the Prometheus text format."""
        return ApiReply(200, self._metrics.render(), "text/plain; version=0.0.4")

    def status(self) -> ApiReply:
        """Return the state of the daemon."""
        return reply_json(200, self._status.describe())

    def state(self) -> ApiReply:
        """Return each object in force with the number of its ticket."""
        objects = [
            {
                "object": str(entry.key),
                "ticket": entry.number,
                "state": encode_state(entry.state),
            }
            for entry in self._state.entries.values()
        ]
        return reply_json(200, {"objects": sorted(objects, key=lambda o: o["object"])})

    def trace(self, trace_id: str) -> ApiReply:
        """Return the spans of a trace; raise `NotFoundError` if none are stored."""
        spans = self._traces.find(trace_id)
        if not spans:
            raise NotFoundError(f"no spans of trace {trace_id[:40]!r} are kept here")
        return reply_json(200, {"trace_id": trace_id, "spans": encode_spans(spans)})

    def target(self, name: str) -> ApiReply:
        """Return what this VM knows about a target."""
        return reply_json(200, self._status.describe_target(name))
