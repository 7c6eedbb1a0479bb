"""Tests of admission: early refusal, fairness, the bound's movement."""

from testtools import TestCase

from .admission import HIGHEST_LIMIT, LOWEST_LIMIT, AdaptiveAdmission
from .clock import ManualClock
from .errors import OverloadedError


def fill(admission: AdaptiveAdmission, index: str, weight: int, cost: int) -> int:
    """Enter queries until one is refused; return how many were admitted."""
    count = 0
    while True:
        try:
            admission.admit(index, weight, cost)
        except OverloadedError:
            return count
        count += 1


class TestAdaptiveAdmission(TestCase):
    """The bound on subrequests in flight."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.admission = AdaptiveAdmission(self.clock)

    def test_refuses_beyond_the_bound(self):
        assert fill(self.admission, "a", 1, 20) == int(self.admission.limit // 20)
        assert self.admission.in_flight <= self.admission.limit

    def test_a_query_larger_than_the_bound_runs_alone(self):
        self.admission.admit("a", 1, 100_000)
        self.assertRaises(OverloadedError, self.admission.admit, "a", 1, 1)

    def test_a_flood_of_one_index_leaves_room_for_another(self):
        self.admission.admit("b", 1, 1)
        fill(self.admission, "a", 1, 4)
        assert fill(self.admission, "b", 1, 1) >= self.admission.limit * 0.05

    def test_bound_follows_the_deadlines(self):
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
