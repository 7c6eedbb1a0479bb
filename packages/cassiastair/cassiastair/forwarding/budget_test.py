"""Tests of the shared budget, the times of answers, and the merge."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from ..clock import ManualClock
from ..testing.forwarding_bench import make_search_route
from .answer_deadlines import AnswerDeadlines
from .retry_budget import RetryBudget, RetryBudgetLimits
from .top_records import merge_top_records

BOUNDS = RetryBudgetLimits(0.2, 54.0, 10.0)


class TestRepeatBudget(TestCase):
    """Sums over all VMs, in every window."""

    def test_seven_vms_keep_within_the_bounds_in_every_window(self):
        for seed in range(6):
            self.play(random.Random(seed), restarts=False)

    @pytest.mark.proof(
        promise="extra load",
        failure="greedy VMs restart, uneven load",
    )
    def test_so_they_do_when_vms_restart(self):
        for seed in range(6):
            self.play(random.Random(seed), restarts=True)

    def play(self, source: random.Random, restarts: bool) -> None:
        """Let greedy VMs repeat whatever they may, under uneven changing load."""
        clock = ManualClock()
        vms = [RetryBudget(clock, BOUNDS, lambda: 7) for _ in range(7)]
        requests: list[float] = []
        repeats: list[float] = []
        rate = 40.0
        restarted_at = clock.now() + 12.0
        while clock.now() < 1040.0:
            clock.advance(source.expovariate(rate))
            if source.random() < 0.002:
                rate = source.choice((5.0, 40.0, 120.0))
            if restarts and clock.now() > restarted_at:
                restarted_at += 25.0
                vms = [RetryBudget(clock, BOUNDS, lambda: 7) for _ in range(7)]
            vm = vms[int(7 * source.random() ** 2)]
            vm.record_request("s")
            requests.append(clock.now())
            while vm.try_spend("s"):
                repeats.append(clock.now())
        for start in range(1000, 1030):
            extra = count(repeats, start, start + 10)
            served = max(
                count(requests, start - shift, start - shift + 10)
                for shift in (0, 5, 10)
            )
            assert extra <= 0.2 * served + 54

    def test_unused_allowance_does_not_add_up(self):
        clock = ManualClock()
        budget = RetryBudget(clock, BOUNDS, lambda: 7)
        for _ in range(1000):
            budget.record_request("s")
            clock.advance(1.0)
        spent = 0
        while budget.try_spend("s"):
            spent += 1
        assert spent <= 0.2 * 10 + 54 / 7

    def test_unused_services_are_forgotten_but_not_their_repeats(self):
        clock = ManualClock()
        budget = RetryBudget(clock, BOUNDS, lambda: 7)
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

    def test_services_are_counted_apart(self):
        clock = ManualClock()
        budget = RetryBudget(clock, BOUNDS, lambda: 7)
        fresh = 0
        while budget.try_spend("a"):
            fresh += 1
        assert fresh <= 0.2 * 54 / 7
        clock.advance(20.0)
        while budget.try_spend("a"):
            pass
        assert budget.try_spend("b")


def count(times: list[float], start: float, end: float) -> int:
    """Return how many times lie in a window."""
    return sum(1 for at in times if start <= at < end)


class TestAnswerTime(TestCase):
    """When a search stops waiting."""

    def setUp(self):
        super().setUp()
        self.times = AnswerDeadlines.plan(
            make_search_route(latency_objective=0.07), 100.0, 1.0
        )

    def test_not_before_the_objective(self):
        assert not self.times.should_answer(100.05, enough=True)

    def test_at_the_objective_with_enough(self):
        assert self.times.should_answer(self.times.objective, enough=True)
        assert not self.times.should_answer(self.times.objective, enough=False)

    def test_a_busy_event_loop_still_answers_within_the_objective(self):
        times = AnswerDeadlines.plan(
            make_search_route(90, latency_objective=0.07), 100.0, 1.0
        )
        assert times.should_answer(times.objective + 0.010, enough=True)
        assert times.should_answer(100.0699, enough=True)
        assert not times.should_answer(100.0701, enough=True)

    def test_the_way_from_and_to_the_caller_counts(self):
        near = AnswerDeadlines.plan(
            make_search_route(latency_objective=0.07), 100.0, 1.0, 0.002
        )
        far = AnswerDeadlines.plan(
            make_search_route(latency_objective=0.07), 100.0, 1.0, 0.013
        )
        assert near.objective - far.objective > 0.0109
        assert far.objective + 0.013 < 100.07

    def test_many_shards_take_longer_to_merge(self):
        few = AnswerDeadlines.plan(
            make_search_route(20, latency_objective=0.07), 100.0, 1.0
        )
        many = AnswerDeadlines.plan(
            make_search_route(90, latency_objective=0.07), 100.0, 1.0
        )
        assert few.objective - many.objective > 0.006

    def test_late_waits_for_all_then_takes_enough(self):
        assert not self.times.should_answer(100.1, enough=True)
        assert self.times.should_answer(100.14, enough=True)

    def test_deadline_is_the_callers_or_the_routes(self):
        route = make_search_route(timeout=0.5)
        assert AnswerDeadlines.plan(route, 0.0, 9.0).deadline < 0.5
        assert AnswerDeadlines.plan(route, 0.0, 0.1).deadline < 0.1
        assert AnswerDeadlines.plan(route, 0.0, None).deadline < 0.5


class TestMergeRecords(TestCase):
    """The greatest records, falling."""

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @given(st.lists(st.binary(max_size=100), max_size=6), st.integers(1, 8))
    def test_equals_the_plain_definition(self, bodies, count):
        records = []
        for body in bodies:
            while len(body) >= 16:
                records.append(body[:16])
                body = body[16:]
        expected = sorted(records, reverse=True)[:count]
        assert merge_top_records(bodies, count) == b"".join(expected)

    def test_equal_records_all_count(self):
        assert merge_top_records([b"a" * 32, b"a" * 16], 3) == b"a" * 48
