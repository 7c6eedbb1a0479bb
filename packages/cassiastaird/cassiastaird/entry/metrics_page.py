"""The metrics page in the Prometheus format, made when it is asked for."""

import resource
from collections.abc import Callable, Mapping

from .request_counts import LATENCY_BUCKETS_S, SHARE_BUCKETS, RequestCounts

PREFIX = "cassiastair_"
BYTES_PER_UNIT = 1024  # unit of the peak memory that the system reports


class MetricsPage:
    """Collects readings and renders them.

    What is counted on the path of each request is kept as plain numbers by the
    parts themselves. The library is loaded with the first page, since no VM needs
    it before.

    Parameters
    ----------
    requests : RequestCounts
        Counters and latencies of requests.
    """

    def __init__(self, requests: RequestCounts):
        self._requests = requests
        self._gauges: list[tuple[str, str, Callable[[], float]]] = []
        self._tables: list[tuple[str, str, str, Mapping[str, int]]] = []
        self.add_table("answers_total", "Answers.", "route", requests.answers)
        self.add_table("refusals_total", "Errors.", "code", requests.errors)
        self.add_gauge("peak_memory_bytes", "Peak memory.", read_peak_memory)

    def add_gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Add a value that is read when the page is."""
        self._gauges.append((name, doc, read))

    def add_table(
        self, name: str, doc: str, label: str, values: Mapping[str, int]
    ) -> None:
        """Add counters that differ in one label."""
        self._tables.append((name, doc, label, values))

    def render(self) -> bytes:
        """Return the page."""
        from aioprometheus import Counter, Gauge, Registry, render

        registry = Registry()
        for name, doc, read in self._gauges:
            Gauge(PREFIX + name, doc, registry=registry).set({}, read())
        for name, doc, label, values in self._tables:
            counter = Counter(PREFIX + name, doc, registry=registry)
            for key, value in values.items():
                counter.set({label: key}, value)
        page = render(registry, [])[0].decode()
        return (page + self._write_histograms()).encode()

    def _write_histograms(self) -> str:
        """Return the histograms, whose buckets are counted as they are."""
        lines = [f"# TYPE {PREFIX}request_seconds histogram"]
        for route, buckets in self._requests.latencies.items():
            total = self._requests.latency_sums[route]
            lines += write_histogram(
                "request_seconds", f'route="{route}"', LATENCY_BUCKETS_S, buckets, total
            )
        lines.append(f"# TYPE {PREFIX}covered_share histogram")
        shares = self._requests.shares
        lines += write_histogram("covered_share", "", SHARE_BUCKETS, shares, None)
        return "\n".join(lines) + "\n"


def write_histogram(
    name: str, labels: str, bounds, buckets: list[int], total: float | None
) -> list[str]:
    """Return the lines of one histogram."""
    lines = []
    count = 0
    comma = "," if labels else ""
    for bound, added in zip((*bounds, "+Inf"), buckets, strict=True):
        count += added
        lines.append(f'{PREFIX}{name}_bucket{{{labels}{comma}le="{bound}"}} {count}')
    lines.append(f"{PREFIX}{name}_count{{{labels}}} {count}")
    if total is not None:
        lines.append(f"{PREFIX}{name}_sum{{{labels}}} {total:.6f}")
    return lines


def read_peak_memory() -> float:
    """Return the peak memory of the process in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_UNIT
