"""Metrics page in the Prometheus text format, rendered on request."""

import resource
from collections.abc import Callable, Mapping

from .request_stats import COVERAGE_BUCKETS, LATENCY_BUCKETS_S, RequestStats

PREFIX = "cassiastair_"
MAXRSS_UNIT_BYTES = 1024  # ru_maxrss is in KiB on Linux


class MetricsPage:
    """Registers metrics and renders them.

    Components keep what they count for each request as plain numbers, which are
    read when the page is rendered. The Prometheus library is imported for the first
    page, since no VM needs it earlier.

    Parameters
    ----------
    stats : RequestStats
        Counters and histograms of requests.
    """

    def __init__(self, stats: RequestStats):
        self._stats = stats
        self._gauges: list[tuple[str, str, Callable[[], float]]] = []
        self._counters: list[tuple[str, str, tuple[str, ...], Mapping]] = []
        self.add_counters("answers_total", "Answers.", "route", stats.answers)
        self.add_counters("refusals_total", "Errors.", "code", stats.errors)
        self.add_gauge("peak_memory_bytes", "Peak memory.", read_peak_memory)

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read whenever the page is rendered."""
        self._gauges.append((name, help_text, read))

    def add_counters(
        self, name: str, help_text: str, label: str, values: Mapping[str, int]
    ) -> None:
        """Add a counter with one label, whose values are the keys of a mapping."""
        self._counters.append((name, help_text, (label,), values))

    def add_counters_by(
        self,
        name: str,
        help_text: str,
        labels: tuple[str, ...],
        values: Mapping[tuple[str, ...], int],
    ) -> None:
        """Add a counter with several labels; the keys of a mapping are their values."""
        self._counters.append((name, help_text, labels, values))

    def render(self) -> bytes:
        """Return the page in the Prometheus text format."""
        from aioprometheus import Counter, Gauge, Registry, render

        registry = Registry()
        for name, help_text, read in self._gauges:
            value = read()
            number = int(value) if isinstance(value, bool) else value
            Gauge(PREFIX + name, help_text, registry=registry).set({}, number)
        for name, help_text, labels, values in self._counters:
            counter = Counter(PREFIX + name, help_text, registry=registry)
            for key, value in values.items():
                keys = key if isinstance(key, tuple) else (key,)
                counter.set(dict(zip(labels, keys, strict=True)), value)
        page = render(registry, [])[0].decode()
        return (page + self._render_histograms()).encode()

    def _render_histograms(self) -> str:
        """Return the histograms, which are written directly from their counts."""
        lines = [f"# TYPE {PREFIX}request_seconds histogram"]
        for route, buckets in self._stats.latency_buckets.items():
            total = self._stats.latency_sums[route]
            lines += render_histogram(
                "request_seconds", f'route="{route}"', LATENCY_BUCKETS_S, buckets, total
            )
        lines.append(f"# TYPE {PREFIX}covered_share histogram")
        coverage_buckets = self._stats.coverage_buckets
        lines += render_histogram(
            "covered_share", "", COVERAGE_BUCKETS, coverage_buckets, None
        )
        return "\n".join(lines) + "\n"


def render_histogram(
    name: str, labels: str, bounds, buckets: list[int], total: float | None
) -> list[str]:
    """Return the lines of one histogram, given its non-cumulative counts."""
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
    """Return the peak resident memory of the process in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * MAXRSS_UNIT_BYTES
