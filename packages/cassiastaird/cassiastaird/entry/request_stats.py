"""Counters and histograms of callers' requests, kept as plain numbers."""

from cassiastair.errors import CassiastairError
from cassiastair.forwarding import CallerAnswer, MergedAnswer
from cassiastair.routing import Route

LATENCY_BUCKETS_S = (0.01, 0.02, 0.035, 0.05, 0.07, 0.1, 0.15, 0.2, 0.4, 0.8, 2.0, 10.0)
COVERAGE_BUCKETS = (0.8, 0.9, 0.95, 0.999, 1.0)


class RequestStats:
    """Statistics of requests for the metrics page.

    Attributes
    ----------
    answers : dict of str to int
        Answered requests by route.
    errors : dict of str to int
        Requests that were not served, by error code.
    latency_buckets : dict of str to list of int
        Answers by route and latency, see `LATENCY_BUCKETS_S`.
    latency_sums : dict of str to float
        Sums of latencies in seconds, by route.
    coverage_buckets : list of int
        Merged answers by the share of shards that they cover, see `COVERAGE_BUCKETS`.
    """

    def __init__(self):
        self.answers: dict[str, int] = {}
        self.errors: dict[str, int] = {}
        self.latency_buckets: dict[str, list[int]] = {}
        self.latency_sums: dict[str, float] = {}
        self.coverage_buckets: list[int] = [0] * (len(COVERAGE_BUCKETS) + 1)

    def record_answer(
        self, route: Route, answer: CallerAnswer, duration: float
    ) -> None:
        """Count an answer and its latency in seconds."""
        name = route.name
        self.answers[name] = self.answers.get(name, 0) + 1
        buckets = self.latency_buckets.get(name)
        if buckets is None:
            buckets = self.latency_buckets[name] = [0] * (len(LATENCY_BUCKETS_S) + 1)
        buckets[find_bucket(LATENCY_BUCKETS_S, duration)] += 1
        self.latency_sums[name] = self.latency_sums.get(name, 0.0) + duration
        if isinstance(answer, MergedAnswer):
            total = len(answer.seals) + answer.missing
            share = len(answer.seals) / total
            self.coverage_buckets[find_bucket(COVERAGE_BUCKETS, share)] += 1

    def record_error(self, error: CassiastairError) -> None:
        """Count a request that was not served, by its error code."""
        self.errors[error.code] = self.errors.get(error.code, 0) + 1


def find_bucket(bounds: tuple[float, ...], value: float) -> int:
    """Return the index of the first bound that is not below a value.

    It is the number of bounds if all are below.
    """
    for position, bound in enumerate(bounds):
        if value <= bound:
            return position
    return len(bounds)
