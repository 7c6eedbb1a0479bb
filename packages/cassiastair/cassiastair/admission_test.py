"""Tests of admission: early refusal, fairness between indexes, adaptive limit."""

from testtools import TestCase

from .admission import HIGHEST_LIMIT, LOWEST_LIMIT, AdaptiveAdmission
from .clock import ManualClock
from .errors import OverloadedError


def admit_until_refused(
    admission: AdaptiveAdmission, index: str, weight: int, cost: int
) -> int:
    """Admit queries until one is refused; return how many were admitted."""
    count = 0
    while True:
        try:
            admission.admit(index, weight, cost)
        except OverloadedError:
            return count
        count += 1


class TestAdaptiveAdmission(TestCase):
    """Limit of the subrequests in flight."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.admission = AdaptiveAdmission(self.clock)

    def test_queries_beyond_the_limit_are_refused(self):
        assert admit_until_refused(self.admission, "a", 1, 20) == int(
            self.admission.limit // 20
        )
        assert self.admission.in_flight <= self.admission.limit

    def test_query_larger_than_the_limit_runs_alone(self):
        self.admission.admit("a", 1, 100_000)
        self.assertRaises(OverloadedError, self.admission.admit, "a", 1, 1)

    def test_flood_of_one_index_leaves_capacity_for_another(self):
        self.admission.admit("b", 1, 1)
        admit_until_refused(self.admission, "a", 1, 4)
        assert (
            admit_until_refused(self.admission, "b", 1, 1)
            >= self.admission.limit * 0.05
        )

    def test_limit_follows_missed_and_met_deadlines(self):
        for _ in range(300):
            self.clock.advance(0.2)
            self.admission.admit("a", 1, 20)
            self.admission.release("a", 20, in_time=False)
        assert self.admission.limit == LOWEST_LIMIT
        for _ in range(200_000):
            cost = max(1, int(self.admission.limit * 0.6))
            self.admission.admit("a", 1, cost)
            self.admission.release("a", cost, in_time=True)
        assert self.admission.limit == HIGHEST_LIMIT
