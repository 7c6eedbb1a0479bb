"""Counts and latency histograms of a load run."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3


def make_latency_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass
class Measures:
    """Counts and histograms of one phase or of a whole run.

    Latencies start at the time at which a query was due to be sent. A system that
    delays the sending of queries therefore cannot hide this delay (coordinated
    omission).

    Attributes
    ----------
    seconds : float
        Length of the phase.
    sent : int
        Queries sent.
    in_time_count : int
        Queries answered within their deadline.
    full_coverage_count : int
        Queries answered with full coverage.
    coverage_sum : float
        Sum of the coverages of all answers.
    errors : Counter
        Refusals and failures by code.
    latency, refusal_latency : HdrHistogram
        Latencies of answers, and of refusals and failures, in microseconds.
    points : list of tuple of float
        Time since the start of the run in seconds, and latency in milliseconds, of
        each answer.
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
        """Number of queries that got an answer."""
        return self.latency.get_total_count()

    def record_answer(
        self, offset: float, latency: float, share: float, is_late: bool
    ) -> None:
        """Record an answer.

        Parameters
        ----------
        offset : float
            Seconds from the start of the run until the query was due.
        latency : float
            Seconds from then until the answer.
        share : float
            Coverage of the answer, 0 to 1.
        is_late : bool
            Whether the answer came after the deadline.
        """
        self.latency.record_value(max(1, int(latency * 1e6)))
        self.points.append((offset, latency * 1000))
        self.coverage_sum += share
        self.full_coverage_count += share == 1.0
        self.in_time_count += not is_late

    def record_error(self, code: str, latency: float) -> None:
        """Record a refusal or failure with its code and its latency in seconds."""
        self.errors[code] += 1
        self.refusal_latency.record_value(max(1, int(latency * 1e6)))

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile, 0 to 100, of the answers' latency in milliseconds."""
        return round(self.latency.get_value_at_percentile(percent) / 1000, 2)

    def to_dict(self) -> dict:
        """Return the JSON form of the measures."""
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
