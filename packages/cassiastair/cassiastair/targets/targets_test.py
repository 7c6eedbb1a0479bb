"""Tests of the choice of targets, concurrency limits and target statistics."""

import random

import eventlet
from testtools import TestCase

from ..clock import ManualClock
from ..testing import run_in_virtual_time
from ..testing.engine_bench import make_target
from .chooser import PowerOfTwoChooser, ReportedLoadChooser
from .concurrency_limiter import ConcurrencyLimiter
from .limit import AdaptiveLimit, FixedLimit
from .reachability import ReachabilityCounter
from .target_stats import PROBE_INTERVAL_S, TargetStats


def make_stats(clock, number: int = 0) -> TargetStats:
    """Return the statistics of a target that has not been used."""
    return TargetStats(
        make_target("s", number), clock, AdaptiveLimit(4, 100), ReachabilityCounter()
    )


class TestPowerOfTwoChooser(TestCase):
    """Choice by the latencies and failures that this VM measured."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.chooser = PowerOfTwoChooser(random.Random(1))
        self.fast, self.slow = (make_stats(self.clock, n) for n in range(2))
        for _ in range(20):
            self.fast.record_success(0.005)
            self.slow.record_success(0.050)

    def test_slow_target_is_avoided_and_probed(self):
        both = [self.fast, self.slow]
        assert {self.chooser.choose(both) for _ in range(50)} == {self.fast}
        self.clock.advance(PROBE_INTERVAL_S)
        assert self.chooser.find_probe(both) is self.slow
        assert self.chooser.find_probe(both) is None

    def test_only_target_is_chosen_even_if_failing(self):
        assert self.chooser.choose([self.slow]) is self.slow
        for _ in range(5):
            self.slow.record_connection_failure()
        assert self.chooser.choose([self.slow]) is self.slow

    def test_failing_target_is_avoided(self):
        for _ in range(2):
            self.fast.record_connection_failure()
        assert self.chooser.choose([self.fast, self.slow]) is self.slow

    def test_false_load_report_does_not_decide(self):
        self.fast.record_load(1000.0)
        self.slow.record_load(0.0)
        both = [self.fast, self.slow]
        assert self.chooser.choose(both) is self.fast
        assert ReportedLoadChooser(random.Random(1)).choose(both) is self.slow


class TestAdaptiveLimit(TestCase):
    """Limit that follows latencies and refusals."""

    def test_limit_grows_when_used_and_shrinks_when_shed(self):
        limit = AdaptiveLimit(2, 10)
        for _ in range(200):
            limit.record_success(limit.current, 1.0)
        assert limit.current == 10
        limit.record_shed()
        assert limit.current == 7
        for _ in range(50):
            limit.record_shed()
        assert limit.current == 1

    def test_limit_shrinks_when_the_target_queues(self):
        limit = AdaptiveLimit(8, 10)
        for _ in range(200):
            limit.record_success(limit.current, 4.0)
        assert limit.current == 1

    def test_unused_limit_returns_to_its_initial_value(self):
        limit = AdaptiveLimit(4, 10)
        for _ in range(100):
            limit.record_success(1, 1.0)
        assert limit.current == 4
        for _ in range(200):
            limit.record_success(limit.current, 1.0)
        for _ in range(100):
            limit.record_success(1, 1.0)
        assert limit.current == 4


class TestConcurrencyLimiter(TestCase):
    """Queue of requests above the limit."""

    def test_killed_tasks_release_their_slots(self):
        def run(clock):
            limiter = ConcurrencyLimiter(FixedLimit(2))
            rng = random.Random(4)

            def work():
                limiter.acquire()
                try:
                    assert limiter.in_progress <= 2
                    eventlet.sleep(rng.uniform(0.0, 0.1))
                finally:
                    limiter.release()

            tasks = []
            for _ in range(300):
                tasks.append(eventlet.spawn(work))
                eventlet.sleep(rng.uniform(0.0, 0.02))
                if rng.random() < 0.3:
                    rng.choice(tasks).kill()
            eventlet.sleep(60)
            assert (limiter.in_progress, limiter.queued) == (0, 0)

        run_in_virtual_time(run)
