"""Tests of what sends cost of the retry budget."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from ..errors import CassiastairError
from ..targets.failures import BadAnswerFailure, ConnectFailure, RefusedFailure
from ..testing import in_virtual_time, run_in_virtual_time
from ..testing.forwarding_bench import ForwardingBench, make_single_route

UNREACHABLE = ConnectFailure("refused")
REFUSED = RefusedFailure("full", "shed", "")
SPOILED = BadAnswerFailure("garbled")
SEEDS = st.integers(0, 2**32)


class CostBench:
    """Bench with targets of `desk` whose outcomes are given in the order of the sends.

    Parameters
    ----------
    clock : ManualClock
        Virtual clock.
    outcomes : list
        Failure, or None for a reply, of each send.
    latencies : list of float
        Seconds until the outcome of each send that reaches a target.

    Attributes
    ----------
    arrived_count : int
        Number of sends that reached a target.
    """

    def __init__(self, clock, outcomes: list, latencies: list[float]):
        self._outcomes = outcomes
        self.bench = ForwardingBench(clock)
        self.bench.set_up([make_single_route(max_attempts=3)], replicas=4)
        self.arrived_count = 0
        for name in self.bench.registry.names():
            target = self.bench.transport.get(name)
            target.override = self._draw
            target.latency = lambda: latencies.pop(0) if latencies else 0.01

    def _draw(self):
        """Return the outcome of the next send."""
        outcome = self._outcomes.pop(0) if self._outcomes else None
        self.arrived_count += not isinstance(outcome, ConnectFailure)
        return outcome

    def run(self) -> None:
        """Forward a request, whether or not it is served."""
        try:
            self.bench.run("/one/x", 5.0)
        except CassiastairError:
            pass  # the costs are of interest

    def count_spent(self) -> int:
        """Return how many extra sends the budget has counted."""
        return self.bench.retry_budget.count_extra_sends("desk")


class TestSendCosts(TestCase):
    """Extra sends that the budget counts, by the outcomes of the sends."""

    def check(self, clock, outcomes: list, cost: int, latencies=()) -> None:
        """Forward a request with the given outcomes and compare its cost."""
        bench = CostBench(clock, list(outcomes), list(latencies))
        bench.run()
        assert bench.count_spent() == cost

    @in_virtual_time
    def test_an_answer_costs_nothing(self, clock):
        self.check(clock, [None], 0)

    @in_virtual_time
    def test_a_retry_costs_one_whether_or_not_the_first_send_ran(self, clock):
        self.check(clock, [SPOILED, None], 1)
        self.check(clock, [REFUSED, None], 1)
        self.check(clock, [REFUSED, REFUSED, None], 2)

    @in_virtual_time
    def test_sends_that_reach_no_target_cost_nothing(self, clock):
        self.check(clock, [UNREACHABLE, UNREACHABLE, None], 0)
        self.check(clock, [SPOILED, UNREACHABLE, None], 1)

    @in_virtual_time
    def test_a_hedge_that_reaches_no_target_is_taken_back(self, clock):
        self.check(clock, [None, UNREACHABLE], 0, latencies=[0.5])

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(SEEDS)
    def test_no_arrival_beyond_the_first_is_free(self, seed):
        rng = random.Random(seed)
        choices = (UNREACHABLE, REFUSED, SPOILED, None)
        outcomes = [rng.choice(choices) for _ in range(12)]
        latencies = [rng.choice((0.01, 0.2, 0.5)) for _ in range(12)]

        def play(clock):
            """Return the arrivals beyond the first and the extra sends counted."""
            bench = CostBench(clock, outcomes, latencies)
            bench.run()
            return max(0, bench.arrived_count - 1), bench.count_spent()

        extra, spent = run_in_virtual_time(play)
        assert spent == extra
