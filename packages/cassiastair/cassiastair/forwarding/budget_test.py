"""Tests of the retry budget, the times of answers and the merging of records."""

import bisect
import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from ..clock import ManualClock
from ..testing.forwarding_bench import make_search_route
from .answer_deadlines import AnswerDeadlines
from .retry_budget import RetryBudget, RetryBudgetLimits
from .top_records import TopRecords

LIMITS = RetryBudgetLimits(0.2, 54.0, 10.0)
RESTART_INTERVAL_S = 5.0  # between restarts of single VMs


class TestRetryBudget(TestCase):
    """Extra sends of all VMs together, in every window."""

    def test_seven_vms_keep_within_the_limits_in_every_window(self):
        for seed in range(6):
            self.play(random.Random(seed), restarts=False)

    @pytest.mark.proof(
        promise="extra load",
        failure="greedy VMs restart, uneven load",
    )
    def test_vms_that_restart_keep_within_the_limits_in_every_window(self):
        for seed in range(6):
            self.play(random.Random(seed), restarts=True)

    def play(self, rng: random.Random, restarts: bool) -> None:
        """Let each VM send all extra sends that it may, under uneven changing load."""
        clock = ManualClock()
        vms = [RetryBudget(clock, LIMITS, lambda: 7) for _ in range(7)]
        requests: list[float] = []
        extra_sends: list[float] = []
        rate = 40.0
        restarted_at = clock.now() + 12.0
        while clock.now() < 1040.0:
            clock.advance(rng.expovariate(rate))
            if rng.random() < 0.002:
                rate = rng.choice((5.0, 40.0, 120.0))
            if restarts and clock.now() > restarted_at:
                restarted_at += 25.0
                vms = [RetryBudget(clock, LIMITS, lambda: 7) for _ in range(7)]
            vm = vms[int(7 * rng.random() ** 2)]
            vm.record_request("s")
            requests.append(clock.now())
            while vm.try_spend("s"):
                extra_sends.append(clock.now())
        for start in range(1000, 1030):
            spent = count(extra_sends, start, start + 10)
            received = max(
                count(requests, start - shift, start - shift + 10)
                for shift in (0, 5, 10)
            )
            assert spent <= 0.2 * received + 54

    def test_unused_allowance_does_not_accumulate(self):
        clock = ManualClock()
        budget = RetryBudget(clock, LIMITS, lambda: 7)
        for _ in range(1000):
            budget.record_request("s")
            clock.advance(1.0)
        spent = 0
        while budget.try_spend("s"):
            spent += 1
        assert spent <= 0.2 * 10 + 54 / 7

    def test_services_are_removed_only_without_extra_sends(self):
        clock = ManualClock()
        budget = RetryBudget(clock, LIMITS, lambda: 7)
        clock.advance(20.0)
        spent = 0
        while budget.try_spend("a"):
            spent += 1
        budget.record_request("b")
        budget.retain_only(set())
        assert spent and not budget.try_spend("a")
        clock.advance(30.0)
        budget.retain_only(set())
        assert budget.try_spend("a")

    def test_each_service_has_its_own_budget(self):
        clock = ManualClock()
        budget = RetryBudget(clock, LIMITS, lambda: 7)
        fresh = 0
        while budget.try_spend("a"):
            fresh += 1
        assert fresh <= 0.2 * 54 / 7
        clock.advance(20.0)
        while budget.try_spend("a"):
            pass
        assert budget.try_spend("b")


class TestWholeLimit(TestCase):
    """Hedges and retries of all VMs together, for random loads and failures."""

    @pytest.mark.proof(
        promise="extra load",
        failure="routes: greedy hedges and retries, VMs restart one by one",
    )
    @settings(max_examples=60, derandomize=True, database=None, deadline=None)
    @given(st.integers(0, 2**32), st.sampled_from((7, 30)), st.booleans())
    def test_no_window_has_more_extra_sends_than_allowed(self, seed, vms, restarts):
        fleet = GreedyFleet(random.Random(seed), vms)
        fleet.play(restarts)
        assert fleet.find_highest_use() <= 1.0


class GreedyFleet:
    """VMs that send all hedges and retries that their budgets allow.

    Parameters
    ----------
    rng : random.Random
        Source of loads, failures and worths.
    vm_count : int
        Number of VMs.
    """

    def __init__(self, rng: random.Random, vm_count: int):
        self._rng = rng
        self._clock = ManualClock()
        self._vm_count = vm_count
        self._requests: list[float] = []
        self._extra_sends: list[float] = []

    def _start_vm(self) -> RetryBudget:
        """Return the budget of a VM that has just started."""
        return RetryBudget(self._clock, LIMITS, lambda: self._vm_count)

    def play(self, restarts: bool) -> None:
        """Serve for 60 s under a load and a share of failures that change."""
        rng = self._rng
        vms = [self._start_vm() for _ in range(self._vm_count)]
        restart_at = self._clock.now() + (RESTART_INTERVAL_S if restarts else math.inf)
        end = self._clock.now() + 60.0
        rate, failing = 40.0, 0.1
        skew = rng.choice((1, 2, 4))
        while self._clock.now() < end:
            self._clock.advance(rng.expovariate(rate))
            if rng.random() < 0.5 / rate:
                rate = rng.choice((5.0, 40.0, 120.0))
                failing = rng.choice((0.0, 0.02, 0.3, 1.0))
            if self._clock.now() > restart_at:
                restart_at += RESTART_INTERVAL_S
                vms[rng.randrange(self._vm_count)] = self._start_vm()
            budget = vms[int(self._vm_count * rng.random() ** skew)]
            budget.record_request("s")
            self._requests.append(self._clock.now())
            if rng.random() < failing:
                self._spend(budget)

    def _spend(self, budget: RetryBudget) -> None:
        """Send hedges and retries while the budget allows them; some never arrive."""
        now = self._clock.now()
        budget.record_failure("s")
        for _ in range(100):
            is_hedge = self._rng.random() < 0.5
            if is_hedge:
                is_allowed = budget.try_spend_hedge("s", self._rng.random())
            else:
                is_allowed = budget.try_spend("s")
            if not is_allowed:
                return
            if self._rng.random() < 0.1:
                budget.take_back("s", is_hedge, now)
            else:
                self._extra_sends.append(now)

    def find_highest_use(self) -> float:
        """Return the largest used share of the whole limit in any window."""
        window = LIMITS.window
        uses = [0.0]
        for end in self._extra_sends:
            for start in (end - window, end):  # it is the last or the first in it
                uses.append(self._find_use(start))
        return max(uses)

    def _find_use(self, start: float) -> float:
        """Return the used share of the limit in the window that starts at a time."""
        window = LIMITS.window
        requests = max(
            self._count(self._requests, start - shift)
            for shift in (0.0, window / 2, window)
        )
        limit = LIMITS.ratio * requests + LIMITS.slack
        return self._count(self._extra_sends, start) / limit

    def _count(self, times: list[float], start: float) -> int:
        """Return how many of the times, in order, lie in the window from a start."""
        first = bisect.bisect_left(times, start)
        return bisect.bisect_right(times, start + LIMITS.window) - first


class TestReserve(TestCase):
    """Room that hedges leave to retries."""

    def make_budget(self, failing_share: float) -> RetryBudget:
        """Return a budget after two windows with 10 requests a second."""
        clock = ManualClock()
        budget = RetryBudget(clock, LIMITS, lambda: 7)
        for number in range(200):
            clock.advance(0.1)
            budget.record_request("s")
            if number % 100 < 100 * failing_share:
                budget.record_failure("s")
        return budget

    def spend_hedges(self, budget: RetryBudget, worth: float = 1.0) -> int:
        """Spend all hedges of a worth that are allowed; return their number."""
        spent = 0
        while budget.try_spend_hedge("s", worth):
            spent += 1
        return spent

    def spend_retries(self, budget: RetryBudget) -> int:
        """Spend all retries that are allowed; return their number."""
        spent = 0
        while budget.try_spend("s"):
            spent += 1
        return spent

    def test_room_for_retries_follows_the_observed_failures(self):
        left = []
        for failing_share in (0.0, 0.03, 0.1):
            budget = self.make_budget(failing_share)
            self.spend_hedges(budget)
            left.append(self.spend_retries(budget))
        assert left[0] < left[1] < left[2]
        assert left[0] <= 2 and left[2] >= 10

    def test_hedges_of_less_worth_leave_room_to_those_of_more(self):
        budget = self.make_budget(0.0)
        assert budget.try_spend_hedge("s", 1.0)
        cheap = self.spend_hedges(budget, 0.25)
        assert 0 < cheap < 10
        assert self.spend_hedges(budget, 1.0) > 5

    def test_hedges_of_equal_worth_use_all_room(self):
        allowed = self.spend_retries(self.make_budget(0.0))
        budget = self.make_budget(0.0)
        hedges = self.spend_hedges(budget, 0.01)
        assert hedges >= allowed - 2
        assert hedges + self.spend_retries(budget) == allowed

    def test_what_is_taken_back_may_be_spent_again(self):
        clock = ManualClock()
        clock.advance(1000.0)
        budget = RetryBudget(clock, LIMITS, lambda: 7)
        clock.advance(20.0)
        spent = self.spend_retries(budget)
        budget.take_back("s", False, clock.now())
        assert budget.count_extra_sends("s") == spent - 1
        assert self.spend_retries(budget) == 1


def count(times: list[float], start: float, end: float) -> int:
    """Return how many of the times lie in a window."""
    return sum(1 for at in times if start <= at < end)


class TestAnswerDeadlines(TestCase):
    """Times at which a search stops waiting."""

    def setUp(self):
        super().setUp()
        self.deadlines = AnswerDeadlines.plan(
            make_search_route(latency_objective=0.07), 100.0, 1.0
        )

    def test_no_answer_with_outstanding_parts_before_the_objective(self):
        assert not self.deadlines.should_answer(100.05, enough=True)

    def test_answer_at_the_objective_if_enough_parts_are_in(self):
        assert self.deadlines.should_answer(self.deadlines.objective_at, enough=True)
        assert not self.deadlines.should_answer(
            self.deadlines.objective_at, enough=False
        )

    def test_a_delayed_event_loop_still_answers_within_the_objective(self):
        deadlines = AnswerDeadlines.plan(
            make_search_route(90, latency_objective=0.07), 100.0, 1.0
        )
        assert deadlines.should_answer(deadlines.objective_at + 0.010, enough=True)
        assert deadlines.should_answer(100.0699, enough=True)
        assert not deadlines.should_answer(100.0701, enough=True)

    def test_the_round_trip_to_the_caller_is_deducted(self):
        near = AnswerDeadlines.plan(
            make_search_route(latency_objective=0.07), 100.0, 1.0, 0.002
        )
        far = AnswerDeadlines.plan(
            make_search_route(latency_objective=0.07), 100.0, 1.0, 0.013
        )
        assert near.objective_at - far.objective_at > 0.0109
        assert far.objective_at + 0.013 < 100.07

    def test_the_margin_grows_with_the_number_of_shards(self):
        few = AnswerDeadlines.plan(
            make_search_route(20, latency_objective=0.07), 100.0, 1.0
        )
        many = AnswerDeadlines.plan(
            make_search_route(90, latency_objective=0.07), 100.0, 1.0
        )
        assert few.objective_at - many.objective_at > 0.006

    def test_a_late_search_waits_for_all_parts_up_to_the_late_limit(self):
        assert not self.deadlines.should_answer(100.1, enough=True)
        assert self.deadlines.should_answer(100.14, enough=True)

    def test_deadline_precedes_the_timeouts_of_caller_and_route(self):
        route = make_search_route(timeout=0.5)
        assert AnswerDeadlines.plan(route, 0.0, 9.0).deadline < 0.5
        assert AnswerDeadlines.plan(route, 0.0, 0.1).deadline < 0.1
        assert AnswerDeadlines.plan(route, 0.0, None).deadline < 0.5


class TestTopRecords(TestCase):
    """The greatest records in descending order."""

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @given(st.lists(st.binary(max_size=100), max_size=6), st.integers(1, 8))
    def test_result_equals_sorting_all_records(self, bodies, count):
        records = []
        for body in bodies:
            while len(body) >= 16:
                records.append(body[:16])
                body = body[16:]
        expected = sorted(records, reverse=True)[:count]
        assert self.merge(bodies, count) == b"".join(expected)

    def test_records_of_a_large_body_are_all_considered(self):
        rng = random.Random(1)
        records = [rng.randbytes(16) for _ in range(3000)]
        expected = sorted(records, reverse=True)[:20]
        assert self.merge([b"".join(records)], 20) == b"".join(expected)

    def test_equal_records_are_all_kept(self):
        assert self.merge([b"a" * 32, b"a" * 16], 3) == b"a" * 48

    def merge(self, bodies: list[bytes], count: int) -> bytes:
        """Return the greatest records of parts that arrive in the given order."""
        records = TopRecords(count)
        for body in bodies:
            records.add(body)
        return records.join()
