"""Counters and latencies of requests, kept as plain numbers."""

from cassiastair.errors import CassiastairError
from cassiastair.forwarding import CallerAnswer, MergedAnswer
from cassiastair.routing import Route

LATENCY_BUCKETS_S = (0.01, 0.02, 0.035, 0.05, 0.07, 0.1, 0.15, 0.2, 0.4, 0.8, 2.0, 10.0)
SHARE_BUCKETS = (0.8, 0.9, 0.95, 0.999, 1.0)


class RequestCounts:
    """What the metrics page shows of requests."""

    def __init__(self):
        self.answers: dict[str, int] = {}
        self.errors: dict[str, int] = {}
        self.latencies: dict[str, list[int]] = {}
        self.latency_sums: dict[str, float] = {}
        self.shares: list[int] = [0] * (len(SHARE_BUCKETS) + 1)

    def note_answer(self, route: Route, answer: CallerAnswer, duration: float) -> None:
        """Count an answer."""
        name = route.name
        self.answers[name] = self.answers.get(name, 0) + 1
        buckets = self.latencies.get(name)
        if buckets is None:
            buckets = self.latencies[name] = [0] * (len(LATENCY_BUCKETS_S) + 1)
        buckets[find_bucket(LATENCY_BUCKETS_S, duration)] += 1
        self.latency_sums[name] = self.latency_sums.get(name, 0.0) + duration
        if isinstance(answer, MergedAnswer):
            total = len(answer.seals) + answer.missing
            share = len(answer.seals) / total
            self.shares[find_bucket(SHARE_BUCKETS, share)] += 1

    def note_error(self, error: CassiastairError) -> None:
        """Count a request that was not served."""
        self.errors[error.code] = self.errors.get(error.code, 0) + 1


def find_bucket(bounds: tuple[float, ...], value: float) -> int:
    """Return the position of the first bound that is not below a value."""
    for position, bound in enumerate(bounds):
        if value <= bound:
            return position
    return len(bounds)
