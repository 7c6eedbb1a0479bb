"""What a run has shown."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3


def make_latency_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass
class Measures:
    """Counts and histograms of one phase or run.

    Latencies are counted from the time at which a query was due to be sent, so a
    slow system cannot hide its delays by slowing the arrivals.
    """

    seconds: float = 0.0
    sent: int = 0
    in_time_count: int = 0
    full_coverage_count: int = 0
    coverage_sum: float = 0.0
    errors: Counter = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=make_latency_histogram)
    refusal_latency: HdrHistogram = field(default_factory=make_latency_histogram)
    points: list[tuple[float, float]] = field(default_factory=list)

    @property
    def answered(self) -> int:
        """Queries that got an answer."""
        return self.latency.get_total_count()

    def record_answer(
        self, offset: float, latency: float, share: float, is_late: bool
    ) -> None:
        """Count an answer."""
        self.latency.record_value(max(1, int(latency * 1e6)))
        self.points.append((offset, latency * 1000))
        self.coverage_sum += share
        self.full_coverage_count += share == 1.0
        self.in_time_count += not is_late

    def record_error(self, code: str, latency: float) -> None:
        """Count a refusal or failure."""
        self.errors[code] += 1
        self.refusal_latency.record_value(max(1, int(latency * 1e6)))

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the answers' latency in milliseconds."""
        return round(self.latency.get_value_at_percentile(percent) / 1000, 2)

    def to_dict(self) -> dict:
        """Return the measures as plain values."""
        answered = max(1, self.answered)
        return {
            "seconds": round(self.seconds, 1),
            "sent": self.sent,
            "answered": self.answered,
            "answered_in_time_per_s": round(
                self.in_time_count / max(self.seconds, 0.1), 1
            ),
            "p50_ms": self.percentile_ms(50),
            "p95_ms": self.percentile_ms(95),
            "p99_ms": self.percentile_ms(99),
            "p99.9_ms": self.percentile_ms(99.9),
            "coverage": round(self.coverage_sum / answered, 6),
            "full_coverage_share": round(self.full_coverage_count / answered, 6),
            "errors": dict(self.errors),
            "refusal_p99_ms": round(
                self.refusal_latency.get_value_at_percentile(99) / 1000, 2
            ),
        }
