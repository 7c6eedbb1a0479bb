"""Counters and histograms in the Prometheus format."""

from collections import Counter as Tally

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from cassiastair.search import SearchAnswer

LATENCY_BUCKETS = [0.001, 0.0025, 0.005, 0.01, 0.02, 0.05, 0.12, 0.25, 0.5, 1.0, 5.0]


class Metrics:
    """The daemon's metrics.

    What is counted on the path of each subrequest is kept as plain integers by the
    parts themselves, and copied here when the page is read.
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
        self.readings: list = []
        self.totals: Tally = Tally()

    def _counter(self, name: str, doc: str) -> Counter:
        """Return a new counter."""
        return Counter(f"cassiastaird_{name}", doc, registry=self._registry)

    def record_query(
        self, index: str, duration: float, shards: int, answer: SearchAnswer
    ) -> None:
        """Count an answered query."""
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
        """Count a write by its outcome."""
        outcome = str(document.get("outcome", "unknown"))
        self._writes.inc({"service": service, "outcome": outcome})

    def add_reading(self, name: str, doc: str, read) -> None:
        """Add a gauge that is read when the page is."""
        gauge = Gauge(f"cassiastaird_{name}", doc, registry=self._registry)
        self.readings.append((gauge, read))

    def render(self) -> bytes:
        """Return the page."""
        for gauge, read in self.readings:
            gauge.set({}, read())
        return render(self._registry, [])[0]
