"""Tests of the target book, the choice, the prober, and reach."""

import random

import pytest
from testtools import TestCase

from ..clock import ManualClock
from ..testing.forwarding_bench import (
    DRAIN_S,
    ForwardingBench,
    make_search_route,
    make_single_route,
    make_target,
)
from .outlier_detector import OutlierDetector
from .prober import TargetProber
from .readiness import RouteReadiness
from .target_chooser import RoutedTargetChooser
from .target_registry import RoutedTargetRegistry
from .target_stats import RoutedTargetStats


class TestTargetBook(TestCase):
    """Targets that come, drain, vanish, and return."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.forgotten = []
        self.book = RoutedTargetRegistry(self.clock, DRAIN_S, self.forgotten.append)

    def names(self, service: str = "s") -> list[str]:
        """Return the targets that may be asked."""
        return [e.target.name for e in self.book.candidates(service)]

    def test_a_leaver_gets_nothing_while_another_remains(self):
        self.book.update(make_target("a", "s"))
        self.book.update(make_target("b", "s"))
        self.book.update(make_target("a", "s", draining=True))
        assert self.names() == ["b"]
        self.book.remove("b")
        assert sorted(self.names()) == ["a", "b"]

    @pytest.mark.proof(
        promise="leaving targets",
        failure="routes: the entry is gone without a word",
    )
    def test_the_last_resort_ends_within_the_drain_bound(self):
        self.book.update(make_target("a", "s"))
        self.book.remove("a")
        assert self.names() == ["a"]
        self.clock.advance(DRAIN_S - 0.7)
        assert self.names() == []
        self.book.remove_expired()
        assert [target.name for target in self.forgotten] == ["a"]

    def test_an_entry_that_returns_keeps_its_evidence(self):
        self.book.update(make_target("a", "s"))
        self.book.find("a").slowness = 5.0
        self.book.remove("a")
        self.clock.advance(1.0)
        self.book.update(make_target("a", "s"))
        assert self.book.find("a").slowness == 5.0

    def test_another_run_under_the_name_starts_anew(self):
        self.book.update(make_target("a", "s"))
        self.book.find("a").lost(self.clock.now())
        self.book.update(make_target("a", "s", started_ms=2))
        assert not self.book.find("a").unreachable
        assert len(self.forgotten) == 1

    def test_a_target_that_changes_its_service(self):
        self.book.update(make_target("a", "s"))
        self.book.update(make_target("a", "t"))
        assert self.names("s") == []
        assert self.names("t") == ["a"]


class TestRoutedChooser(TestCase):
    """Odds by expected wait; stalled and failed targets stand back."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.troubled = OutlierDetector(self.clock)
        self.chooser = RoutedTargetChooser(random.Random(1), "dc0", self.troubled)
        self.targets = [RoutedTargetStats(make_target(n, "s")) for n in "abc"]

    def choose(self, count: int = 600, now: float = 100.0) -> dict[str, int]:
        """Return how often each target is chosen."""
        counts = dict.fromkeys("abc", 0)
        for _ in range(count):
            counts[self.chooser.choose(self.targets, now, 0.1).target.name] += 1
        return counts

    def test_a_target_that_several_saw_fail_gets_little(self):
        self.troubled.merge_reports([], [["a", 0.9, 0.1]])
        assert 0 < self.choose()["a"] < 60

    def test_of_two_targets_neither_gets_all_on_the_word_of_peers(self):
        self.targets.pop()
        self.troubled.merge_reports([], [["a", 0.9, 0.1]])
        assert min(self.choose()[name] for name in "ab") > 200

    def test_equal_targets_share(self):
        assert min(self.choose().values()) > 150

    def test_the_faster_gets_more_but_not_all(self):
        self.targets[0].slowness = 0.5
        counts = self.choose()
        assert counts["a"] > 2 * counts["b"] > 0

    def test_a_stalled_target_stands_back(self):
        self.targets[0].began("send", 99.0)
        assert self.choose()["a"] == 0

    def test_a_failed_target_stands_back_for_a_while(self):
        self.targets[0].failed(100.0)
        assert self.choose()["a"] == 0
        assert self.choose(now=101.0)["a"] > 0

    def test_an_unreachable_target_is_the_last(self):
        for target in self.targets[:2]:
            target.lost(100.0)
        assert self.choose(now=200.0)["c"] == 600
        self.targets[2].lost(100.0)
        assert sum(self.choose(count=5).values()) == 5


class TestTargetProber(TestCase):
    """Silent targets are tried beside callers' requests."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.book = RoutedTargetRegistry(self.clock, DRAIN_S, lambda target: None)
        self.reachable = False
        self.tries = 0
        self.prober = TargetProber(
            self.book, self.probe, lambda f, *a: f(*a), lambda s: None, self.clock
        )
        self.book.update(make_target("a", "s"))

    def probe(self, target) -> bool:
        """Count a try."""
        self.tries += 1
        return self.reachable

    def test_a_sound_target_is_not_tried(self):
        self.prober.probe_due()
        assert self.tries == 0

    def test_a_silent_target_is_found_out_and_found_again(self):
        evidence = self.book.find("a")
        evidence.began("send", self.clock.now())
        self.clock.advance(0.45)
        self.prober.probe_due()
        assert evidence.unreachable
        evidence.ended("send")
        self.prober.probe_due()
        assert self.tries == 1
        self.clock.advance(0.5)
        self.reachable = True
        self.prober.probe_due()
        assert not evidence.unreachable

    def test_a_slow_target_in_reach_goes_on_standing_back(self):
        evidence = self.book.find("a")
        evidence.failed(self.clock.now())
        evidence.failed(self.clock.now())
        self.reachable = True
        self.prober.probe_due()
        assert self.tries == 1
        assert evidence.avoid_until > self.clock.now()

    def test_an_answer_ends_the_suspicion(self):
        evidence = self.book.find("a")
        evidence.lost(self.clock.now())
        evidence.answered(1.0, self.clock.now())
        self.clock.advance(9.0)
        self.prober.probe_due()
        assert self.tries == 0


class TestReach(TestCase):
    """Readiness of a VM that is cut off from its targets."""

    def test_half_of_the_routes(self):
        clock = ManualClock()
        bench = ForwardingBench(clock)
        reach = RouteReadiness(bench.table, bench.book)
        assert not reach.is_ready()
        bench.set_up([make_search_route(4, 0.75), make_single_route()])
        assert reach.is_ready()
        for shard in range(2):
            for replica in range(2):
                bench.book.find(f"s{shard}.{replica}").lost(clock.now())
        assert reach.is_ready()
        for replica in range(2):
            bench.book.find(f"desk.{replica}").lost(clock.now())
        assert not reach.is_ready()

    def test_services_without_targets_say_nothing(self):
        bench = ForwardingBench(ManualClock())
        bench.set_up([make_search_route(4, 0.75)])
        idle = [make_single_route(name=f"r{n}", prefix=f"/{n}/") for n in range(5)]
        bench.set_up([make_search_route(4, 0.75), *idle], replicas=0, version=2)
        assert RouteReadiness(bench.table, bench.book).is_ready()
