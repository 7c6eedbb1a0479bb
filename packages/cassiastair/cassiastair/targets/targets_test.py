"""Tests of choice, limits, gates and evidence of targets."""

import random

import eventlet
from testtools import TestCase

from ..clock import ManualClock
from ..testing import run_in_virtual_time
from ..testing.engine_bench import make_target
from .chooser import PowerOfTwoChooser, ReportedLoadChooser
from .concurrency_limiter import ConcurrencyLimiter
from .health import Health
from .limit import AdaptiveLimit, FixedLimit
from .target_stats import PROBE_INTERVAL_S, TargetStats


def make_evidence(clock, number: int = 0) -> TargetStats:
    """Return evidence of a target that was never asked."""
    return TargetStats(make_target("s", number), clock, AdaptiveLimit(4, 100), Health())


class TestEvidenceChooser(TestCase):
    """Choice by own evidence."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.chooser = PowerOfTwoChooser(random.Random(1))
        self.fast, self.troubled = (make_evidence(self.clock, n) for n in range(2))
        for _ in range(20):
            self.fast.record_success(0.005)
            self.troubled.record_success(0.050)

    def test_slow_target_stands_back_and_is_probed(self):
        both = [self.fast, self.troubled]
        assert {self.chooser.choose(both) for _ in range(50)} == {self.fast}
        self.clock.advance(PROBE_INTERVAL_S)
        assert self.chooser.find_probe(both) is self.troubled
        assert self.chooser.find_probe(both) is None

    def test_last_target_is_never_left_out(self):
        assert self.chooser.choose([self.troubled]) is self.troubled
        for _ in range(5):
            self.troubled.record_connection_failure()
        assert self.chooser.choose([self.troubled]) is self.troubled

    def test_failing_target_stands_back(self):
        for _ in range(2):
            self.fast.record_connection_failure()
        assert self.chooser.choose([self.fast, self.troubled]) is self.troubled

    def test_a_lying_report_changes_little(self):
        self.fast.record_load(1000.0)
        self.troubled.record_load(0.0)
        both = [self.fast, self.troubled]
        assert self.chooser.choose(both) is self.fast
        assert ReportedLoadChooser(random.Random(1)).choose(both) is self.troubled


class TestAdaptiveLimit(TestCase):
    """Limits learned from answers and refusals."""

    def test_grows_when_used_and_falls_when_refused(self):
        limit = AdaptiveLimit(2, 10)
        for _ in range(200):
            limit.record_success(limit.current, 1.0)
        assert limit.current == 10
        limit.record_shed()
        assert limit.current == 7
        for _ in range(50):
            limit.record_shed()
        assert limit.current == 1

    def test_falls_when_the_target_queues(self):
        limit = AdaptiveLimit(8, 10)
        for _ in range(200):
            limit.record_success(limit.current, 4.0)
        assert limit.current == 1

    def test_goes_back_to_its_start_when_unused(self):
        limit = AdaptiveLimit(4, 10)
        for _ in range(100):
            limit.record_success(1, 1.0)
        assert limit.current == 4
        for _ in range(200):
            limit.record_success(limit.current, 1.0)
        for _ in range(100):
            limit.record_success(1, 1.0)
        assert limit.current == 4


class TestGate(TestCase):
    """The queue in front of a target."""

    def test_killed_tasks_give_their_places_back(self):
        def run(clock):
            gate = ConcurrencyLimiter(FixedLimit(2))
            source = random.Random(4)

            def work():
                gate.acquire()
                try:
                    assert gate.in_progress <= 2
                    eventlet.sleep(source.uniform(0.0, 0.1))
                finally:
                    gate.release()

            tasks = []
            for _ in range(300):
                tasks.append(eventlet.spawn(work))
                eventlet.sleep(source.uniform(0.0, 0.02))
                if source.random() < 0.3:
                    source.choice(tasks).kill()
            eventlet.sleep(60)
            assert (gate.in_progress, gate.queued) == (0, 0)

        run_in_virtual_time(run)
