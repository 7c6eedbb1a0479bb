"""Tests of the target registry, the chooser, the prober and readiness."""

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
from .probe_result import ProbeResult
from .prober import TargetProber
from .readiness import RouteReadiness
from .target_chooser import RoutedTargetChooser
from .target_registry import DISPLACED_MEMORY_S, RoutedTargetRegistry
from .target_stats import RoutedTargetStats


class TestRoutedTargetRegistry(TestCase):
    """Records of targets that are added, drain, are removed, and return."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.removed = []
        self.change_age = 0.0
        self.registry = RoutedTargetRegistry(
            self.clock, DRAIN_S, self.removed.append, lambda: self.change_age
        )

    def names(self, service: str = "s") -> list[str]:
        """Return the names of the targets that may get a request."""
        return [e.target.name for e in self.registry.candidates(service)]

    def test_a_draining_target_gets_nothing_while_a_live_one_remains(self):
        self.registry.update(make_target("a", "s"))
        self.registry.update(make_target("b", "s"))
        self.registry.update(make_target("a", "s", draining=True))
        assert self.names() == ["b"]
        self.registry.remove("b")
        assert sorted(self.names()) == ["a", "b"]

    @pytest.mark.proof(
        promise="leaving targets",
        failure="routes: the entry is gone without a word",
    )
    def test_fallback_to_a_removed_target_ends_within_the_drain_limit(self):
        self.registry.update(make_target("a", "s"))
        self.registry.remove("a")
        assert self.names() == ["a"]
        self.clock.advance(DRAIN_S - 0.7)
        assert self.names() == []
        self.registry.remove_expired()
        assert [target.name for target in self.removed] == ["a"]

    @pytest.mark.proof(
        promise="leaving targets",
        failure="routes: the VM hears late that a target leaves",
    )
    def test_fallback_to_a_target_whose_drain_was_heard_late_ends_in_time(self):
        # The time was counted from when the VM heard, not from the platform's word.
        for name in ("a", "b"):
            self.registry.update(make_target(name, "s"))
        self.change_age = 1.9
        self.registry.update(make_target("a", "s", draining=True))
        self.registry.remove("b")
        self.clock.advance(DRAIN_S - self.change_age - 0.7)
        assert self.names() == []
        self.registry.update(make_target("c", "t"))
        self.change_age = float("inf")
        self.registry.remove("c")
        assert self.names("t") == []

    def test_a_record_that_returns_keeps_its_statistics(self):
        self.registry.update(make_target("a", "s"))
        self.registry.find("a").latency_ratio = 5.0
        self.registry.remove("a")
        self.clock.advance(1.0)
        self.registry.update(make_target("a", "s"))
        assert self.registry.find("a").latency_ratio == 5.0

    def test_a_new_process_of_the_same_name_gets_new_statistics(self):
        self.registry.update(make_target("a", "s"))
        self.registry.find("a").record_unreachable(self.clock.now())
        self.registry.update(make_target("a", "s", started_ms=2))
        assert not self.registry.find("a").unreachable
        assert len(self.removed) == 1

    def test_a_target_that_changes_its_service_is_moved(self):
        self.registry.update(make_target("a", "s"))
        self.registry.update(make_target("a", "t"))
        assert self.names("s") == []
        assert self.names("t") == ["a"]


class TestRoutedTargetChooser(TestCase):
    """Weights by expected wait; stalled and failed targets are avoided."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.outliers = OutlierDetector(self.clock)
        self.without_connection: set[str] = set()
        self.chooser = RoutedTargetChooser(
            random.Random(1),
            "dc0",
            self.outliers,
            lambda target: target.name not in self.without_connection,
        )
        self.targets = [RoutedTargetStats(make_target(n, "s")) for n in "abc"]

    def choose(self, count: int = 600, now: float = 100.0) -> dict[str, int]:
        """Return how often each target was chosen."""
        counts = dict.fromkeys("abc", 0)
        for _ in range(count):
            counts[self.chooser.choose(self.targets, now, 0.1).target.name] += 1
        return counts

    def test_a_target_that_peers_report_failing_gets_few_sends(self):
        self.outliers.merge_reports([], [["a", 0.9, 0.1]])
        assert 0 < self.choose()["a"] < 60

    def test_reports_of_peers_are_ignored_between_two_targets(self):
        self.targets.pop()
        self.outliers.merge_reports([], [["a", 0.9, 0.1]])
        assert min(self.choose()[name] for name in "ab") > 200

    def test_a_target_without_a_kept_connection_gets_few_sends(self):
        self.without_connection.add("a")
        assert 0 < self.choose()["a"] < 60
        self.outliers.merge_reports([], [["b", 0.9, 0.1], ["c", 0.9, 0.1]])
        assert self.choose()["a"] > 150

    def test_equal_targets_share_the_sends(self):
        assert min(self.choose().values()) > 150

    def test_a_faster_target_gets_more_but_not_all_sends(self):
        self.targets[0].latency_ratio = 0.5
        counts = self.choose()
        assert counts["a"] > 2 * counts["b"] > 0

    def test_a_stalled_target_is_avoided(self):
        self.targets[0].record_start("send", 99.0)
        assert self.choose()["a"] == 0

    def test_a_failed_target_is_avoided_during_its_backoff(self):
        self.targets[0].record_failure(100.0)
        assert self.choose()["a"] == 0
        assert self.choose(now=101.0)["a"] > 0

    def test_an_unreachable_target_is_chosen_only_if_no_other_remains(self):
        for target in self.targets[:2]:
            target.record_unreachable(100.0)
        assert self.choose(now=200.0)["c"] == 600
        self.targets[2].record_unreachable(100.0)
        assert sum(self.choose(count=5).values()) == 5


class TestDisplacedTargets(TestCase):
    """Targets at whose address another process has answered."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.retired = []
        self.registry = RoutedTargetRegistry(
            self.clock, DRAIN_S, self.retired.append, lambda: 0.0
        )
        self.target = make_target("a", "s")
        self.registry.update(self.target)

    def displace(self) -> bool:
        """Record that another process has answered."""
        return self.registry.record_displaced(self.target)

    def names(self) -> list[str]:
        """Return the names of the targets that may get a request."""
        return [stats.target.name for stats in self.registry.candidates("s")]

    def test_it_gets_nothing_and_its_connections_are_closed(self):
        assert self.displace()
        assert not self.displace()
        assert self.names() == []
        assert self.retired == [self.target]
        assert self.registry.count_displaced() == 1

    def test_a_further_record_of_the_same_process_changes_nothing(self):
        self.displace()
        self.registry.update(make_target("a", "s", warm_up=1.0))
        assert self.names() == []

    def test_its_removal_makes_it_no_fallback(self):
        self.displace()
        self.registry.remove("a")
        assert self.names() == []
        assert self.registry.count_displaced() == 0

    def test_a_draining_target_is_no_fallback_any_more(self):
        self.registry.update(make_target("a", "s", draining=True))
        assert self.names() == ["a"]
        assert self.displace()
        assert self.names() == []
        assert [target.name for target in self.retired] == ["a"]

    def test_another_process_or_a_new_record_of_the_name_is_used(self):
        self.displace()
        self.registry.update(make_target("a", "s", started_ms=2))
        assert self.names() == ["a"]
        assert self.registry.count_displaced() == 0
        assert not self.displace()  # the earlier process is meant
        self.registry.update(make_target("a", "s", started_ms=2, draining=True))
        assert not self.displace()
        self.registry.update(make_target("a", "s", started_ms=2))
        self.target = make_target("a", "s", started_ms=2)
        self.displace()
        self.registry.remove("a")
        self.registry.update(self.target)
        assert self.names() == ["a"]

    def test_it_is_tried_again_after_a_time(self):
        self.displace()
        self.clock.advance(DISPLACED_MEMORY_S - 0.1)
        self.registry.remove_expired()
        assert self.names() == []
        self.clock.advance(0.1)
        self.registry.remove_expired()
        assert self.names() == ["a"]

    def test_one_that_drains_meanwhile_is_not_tried_again(self):
        self.displace()
        self.registry.update(make_target("a", "s", draining=True))
        self.clock.advance(DISPLACED_MEMORY_S)
        self.registry.remove_expired()
        assert self.names() == []


class TestTargetProber(TestCase):
    """Probes of stalled and unreachable targets."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.registry = RoutedTargetRegistry(
            self.clock, DRAIN_S, lambda target: None, lambda: 0.0
        )
        self.reachable = False
        self.is_displaced = False
        self.identified = False
        self.probes = 0
        self.asked: list[bool] = []
        self.displaced: list[str] = []
        self.prober = TargetProber(
            self.registry,
            self.probe,
            lambda target: self.displaced.append(target.name),
            lambda f, *a: f(*a),
            lambda s: None,
            self.clock,
        )
        self.registry.update(make_target("a", "s"))

    def probe(self, target, asks_identity: bool) -> ProbeResult:
        """Count a probe and return its result."""
        self.probes += 1
        self.asked.append(asks_identity)
        if self.is_displaced:
            return ProbeResult.DISPLACED
        if not self.reachable:
            return ProbeResult.UNREACHABLE
        return ProbeResult.IDENTIFIED if self.identified else ProbeResult.CONNECTED

    def test_a_healthy_target_is_not_probed(self):
        self.prober.probe_due()
        assert self.probes == 0

    def test_a_stalled_target_is_unreachable_until_a_probe_succeeds(self):
        stats = self.registry.find("a")
        stats.record_start("send", self.clock.now())
        self.clock.advance(0.45)
        self.prober.probe_due()
        assert stats.unreachable
        stats.record_end("send")
        self.prober.probe_due()
        assert self.probes == 1
        self.clock.advance(0.5)
        self.reachable = True
        self.prober.probe_due()
        assert not stats.unreachable

    def test_a_slow_target_that_accepts_connections_stays_in_backoff(self):
        stats = self.registry.find("a")
        stats.record_failure(self.clock.now())
        stats.record_failure(self.clock.now())
        self.reachable = True
        self.prober.probe_due()
        assert self.probes == 1
        assert stats.backoff_until > self.clock.now()

    def test_only_a_target_that_was_out_of_reach_is_asked_who_it_is(self):
        stats = self.registry.find("a")
        stats.record_start("send", self.clock.now())
        for _ in range(3):
            self.clock.advance(0.51)
            self.prober.probe_due()
        assert self.asked == [False, True, True]

    def test_a_target_that_wants_no_requests_for_a_time_is_not_asked(self):
        stats = self.registry.find("a")
        stats.record_unreachable(self.clock.now())
        self.registry.record_pause(stats, self.clock.now() + 0.6)
        for _ in range(2):
            self.prober.probe_due()
            self.clock.advance(0.61)
        assert self.asked == [False, True]

    def test_only_a_target_that_has_said_who_it_is_gets_many_requests_at_once(self):
        stats = self.registry.find("a")
        for self.identified in (False, True):
            self.reachable = False
            stats.record_unreachable(self.clock.now())
            self.clock.advance(0.51)
            self.reachable = True
            self.prober.probe_due()
            assert not stats.unreachable
            assert stats.in_doubt is not self.identified

    @pytest.mark.proof(
        promise="extra load",
        failure="routes: a target ends unseen and its address gets another owner",
    )
    def test_a_target_is_not_back_when_another_process_answers(self):
        stats = self.registry.find("a")
        stats.record_unreachable(self.clock.now())
        self.is_displaced = True
        self.prober.probe_due()
        assert self.displaced == ["a"]
        assert stats.unreachable

    def test_a_target_that_answers_is_no_longer_probed(self):
        stats = self.registry.find("a")
        stats.record_unreachable(self.clock.now())
        stats.record_answer(1.0, self.clock.now())
        self.clock.advance(9.0)
        self.prober.probe_due()
        assert self.probes == 0


class TestRouteReadiness(TestCase):
    """Readiness of a VM that cannot reach some of its targets."""

    def test_ready_while_half_of_the_routes_can_be_served(self):
        clock = ManualClock()
        bench = ForwardingBench(clock)
        readiness = RouteReadiness(bench.table, bench.registry)
        assert not readiness.is_ready()
        bench.set_up([make_search_route(4, 0.75), make_single_route()])
        assert readiness.is_ready()
        for shard in range(2):
            for replica in range(2):
                bench.registry.find(f"s{shard}.{replica}").record_unreachable(
                    clock.now()
                )
        assert readiness.is_ready()
        for replica in range(2):
            bench.registry.find(f"desk.{replica}").record_unreachable(clock.now())
        assert not readiness.is_ready()

    def test_routes_without_targets_are_not_counted(self):
        bench = ForwardingBench(ManualClock())
        bench.set_up([make_search_route(4, 0.75)])
        idle = [make_single_route(name=f"r{n}", prefix=f"/{n}/") for n in range(5)]
        bench.set_up([make_search_route(4, 0.75), *idle], replicas=0, version=2)
        assert RouteReadiness(bench.table, bench.registry).is_ready()
