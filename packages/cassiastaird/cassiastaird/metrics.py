"""Metrics of the daemon in the Prometheus text format."""

from collections import Counter as Tally

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from cassiastair.search import SearchAnswer

LATENCY_BUCKETS = [0.001, 0.0025, 0.005, 0.01, 0.02, 0.05, 0.12, 0.25, 0.5, 1.0, 5.0]


class Metrics:
    """Counters, gauges and a latency histogram.

    Values that change with each subrequest are plain integers of the objects that
    count them; they are copied into gauges when the metrics page is rendered.
    """

    def __init__(self):
        self._registry = Registry()
        self._queries = self._counter("queries_total", "Answered queries.")
        self._subrequests = self._counter("subrequests_total", "Subrequests sent.")
        self._shards = self._counter("shards_total", "Shards asked for.")
        self._partial = self._counter("partial_answers_total", "Answers below 1.")
        self._writes = self._counter("writes_total", "Writes by outcome.")
        self._latency = Histogram(
            "cassiastaird_query_seconds",
            "Latency of answered queries.",
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._gauges: dict[str, Gauge] = {}
        self.gauge_readers: list = []
        self.totals: Tally = Tally()

    def _counter(self, name: str, doc: str) -> Counter:
        """Return a new counter, registered under the daemon's prefix."""
        return Counter(f"cassiastaird_{name}", doc, registry=self._registry)

    def record_query(
        self, index: str, duration: float, shards: int, answer: SearchAnswer
    ) -> None:
        """Record an answered query; the duration is in seconds."""
        labels = {"index": index}
        self._queries.inc(labels)
        self._shards.add(labels, shards)
        self._subrequests.add(labels, answer.subrequests)
        self._latency.observe(labels, duration)
        self.totals["queries"] += 1
        self.totals["shards"] += shards
        self.totals["subrequests"] += answer.subrequests
        if answer.coverage.missing:
            self._partial.inc(labels)

    def record_write(self, service: str, document: dict) -> None:
        """Count a write under the outcome in the document of its reply."""
        outcome = str(document.get("outcome", "unknown"))
        self._writes.inc({"service": service, "outcome": outcome})

    def add_gauge(self, name: str, doc: str, read) -> None:
        """Add a gauge; ``read`` returns its value whenever the page is rendered."""
        gauge = Gauge(f"cassiastaird_{name}", doc, registry=self._registry)
        self.gauge_readers.append((gauge, read))

    def render(self) -> bytes:
        """Return the metrics page with the current values of the gauges."""
        for gauge, read in self.gauge_readers:
            gauge.set({}, read())
        return render(self._registry, [])[0]
