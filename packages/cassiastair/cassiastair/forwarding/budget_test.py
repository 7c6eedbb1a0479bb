"""Tests of the retry budget, the times of answers and the merging of records."""

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
