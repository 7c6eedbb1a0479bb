"""Tests of searches: one snapshot, true coverage, own answers, deadlines."""

import random
from dataclasses import replace
from unittest import mock

import eventlet
import pytest
from testtools import TestCase

from ..data import HeldVersions, Index, KeyRange, MissingReason, Service, Snapshot
from ..errors import NoSnapshotError, NotFoundError
from ..hedging import NoHedge
from ..snapshots import AnswerMerge
from ..targets import TargetFailure
from ..testing import find_expected, in_virtual_time, run_in_virtual_time
from ..testing.engine_bench import EngineBench, cut_shards, make_target
from .scatter import Scatter


def check_records(answer, services: int, shards: int = 1) -> None:
    """Compare an answer record by record with the oracle of its snapshot."""
    missing = {(part.service, part.key_range) for part in answer.coverage.missing}
    expected = []
    for number in range(services):
        for shard in cut_shards(shards):
            if (f"s{number}", shard) not in missing:
                version = answer.snapshot.version
                expected += find_expected(f"s{number}", shard, version)
    assert sorted(answer.records) == sorted(expected)


def proof(promise: str, failure: str):
    """Mark a test as the proof of a promise under a failure."""
    return pytest.mark.proof(promise=promise, failure=failure)


class TestSnapshot(TestCase):
    """Every answer comes from one snapshot."""

    @in_virtual_time
    def test_newest_version_that_all_hold(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=3, replicas=2)
        bench.client.get("s1.0").held = (HeldVersions(1, 2, 5),)
        bench.client.get("s1.1").held = (HeldVersions(1, 1, 2),)
        answer = bench.search()
        assert answer.snapshot == Snapshot(3, 1)
        assert answer.coverage.share == 1.0
        check_records(answer, 3)

    @proof("one snapshot", "versions move on while queries run")
    def test_versions_move_on_while_queries_run(self):
        """Each version is held for three times the longest answer: nothing is lost."""
        shares, versions = run_in_virtual_time(lambda c: search_on_the_move(c, 0.010))
        assert set(shares) == {1.0}
        assert len(versions) > 20

    def test_versions_move_on_faster_than_answers_come(self):
        """Each version is held for about one answer: coverage may fall, truly."""
        _, versions = run_in_virtual_time(lambda c: search_on_the_move(c, 0.002))
        assert len(versions) > 20

    @proof("one snapshot", "a target answers with another version than asked")
    @in_virtual_time
    def test_foreign_version_is_refused(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=2, replicas=1)
        bench.client.get("s1.0").spoil = lambda a: replace(
            a, snapshot=Snapshot(a.snapshot.version - 1, a.snapshot.epoch)
        )
        answer = bench.search()
        assert answer.coverage.share == 0.5
        assert answer.coverage.missing[0].reason is MissingReason.BAD_ANSWER
        check_records(answer, 2)

    @in_virtual_time
    def test_protection_off_mixes_versions(self, clock):
        """Without the two checks the same fault does mix versions."""
        bench = EngineBench(clock)
        bench.set_up(services=2, replicas=1)
        bench.client.get("s1.0").spoil = lambda a: replace(
            a,
            snapshot=Snapshot(a.snapshot.version - 1, 1),
            records=find_expected("s1", a.key_range, a.snapshot.version - 1),
        )
        with (
            mock.patch.object(Scatter, "_is_own", lambda *_: True),
            mock.patch.object(AnswerMerge, "add", add_anything),
        ):
            answer = bench.search()
        versions = {record[2].partition("@")[2] for record in answer.records}
        assert len(versions) == 2

    @proof("one snapshot", "shards are split while queries run")
    @in_virtual_time
    def test_split_while_a_query_runs(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=2, replicas=2)
        for name in ("s0.0", "s0.1", "s1.0", "s1.1"):
            bench.client.get(name).latency = lambda: 0.05
        bench.search()
        eventlet.spawn_after(0.02, split_service, bench)
        answer = bench.search()
        assert answer.snapshot.epoch == 2
        assert answer.coverage.share == 1.0
        check_split(answer)

    @proof("one snapshot", "a shard is handed over between targets")
    @in_virtual_time
    def test_hand_over_while_queries_run(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2, shards=2)
        bench.search()
        left, right = cut_shards(2)
        service = Service("s0", "idx", (left, right), bench.policy("s0"))
        moved = [
            make_target("s0", 0, ranges=(left,)),
            make_target("s0", 1, ranges=(right,)),
        ]
        bench.apply(2, Index("idx", 2, ("s0",)), service, *moved)
        both = (HeldVersions(1, 1, 3), HeldVersions(2, 1, 3))
        bench.client.get("s0.0").held = both
        bench.client.get("s0.1").held = both
        answer = bench.search()
        assert answer.snapshot.epoch == 2
        assert answer.coverage.share == 1.0
        check_records(answer, 1, 2)

    @in_virtual_time
    def test_lowest_version(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=1)
        assert bench.search(lowest_version=3).snapshot.version == 3
        self.assertRaises(NoSnapshotError, bench.search, lowest_version=4)

    @in_virtual_time
    def test_first_search_waits_for_what_targets_hold(self, clock):
        """Found when a VM was replaced under load: its first searches failed."""
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2)
        answers = bench.client.fetch_report
        failures = iter(range(4))

        def report(target, timeout):
            if next(failures, None) is not None:
                raise TargetFailure("all connections are in use")
            return answers(target, timeout)

        with mock.patch.object(bench.client, "fetch_report", report):
            assert bench.search().coverage.share == 1.0

    @in_virtual_time
    def test_unknown_index(self, clock):
        bench = EngineBench(clock)
        self.assertRaises(NotFoundError, bench.search)


def add_anything(merge: AnswerMerge, answer) -> bool:
    """Merge an answer without any check."""
    merge._parts[answer.service][answer.key_range] = answer.records
    return True


def search_on_the_move(clock, pace: float) -> tuple[list[float], set[int]]:
    """Search while versions move; return the shares covered and the versions."""
    bench = EngineBench(clock)
    bench.set_up(services=6, replicas=2, shards=2)
    source = random.Random(3)
    for service in range(6):
        for number in range(2):
            target = bench.client.get(f"s{service}.{number}")
            target.latency = lambda: source.uniform(0.001, 0.02)
    eventlet.spawn_n(move_versions, bench, source, pace)
    shares = []
    versions = set()
    for _ in range(200):
        started = clock.now()
        answer = bench.search()
        assert clock.now() - started <= 1.0
        check_records(answer, 6, 2)
        shares.append(answer.coverage.share)
        versions.add(answer.snapshot.version)
    return shares, versions


def move_versions(bench: EngineBench, source: random.Random, pace: float) -> None:
    """Publish versions target by target, each holding three of them."""
    for version in range(4, 10_000):
        for fake in list(bench.client.targets.values()):
            fake.held = (HeldVersions(1, version - 2, version),)
            eventlet.sleep(source.uniform(0.0, pace))


def split_service(bench: EngineBench) -> None:
    """Split a service's only shard; targets then hold the new epoch only."""
    service = replace(bench.state.catalogue.services["s0"], shards=cut_shards(2))
    bench.apply(2, Index("idx", 2, ("s0", "s1")), service)
    for fake in bench.client.targets.values():
        fake.held = (HeldVersions(2, 1, 3),)


def check_split(answer) -> None:
    """Compare the answer after the split with the oracle."""
    version = answer.snapshot.version
    expected = []
    for shard in cut_shards(2):
        expected += find_expected("s0", shard, version)
    expected += find_expected("s1", cut_shards(1)[0], version)
    assert sorted(answer.records) == sorted(expected)


class TestCoverage(TestCase):
    """Every answer states truly which part of the data it covers."""

    @proof("true coverage", "replicas are lost")
    @in_virtual_time
    def test_lost_replica_costs_nothing(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=10, replicas=2)
        bench.search()
        for number in range(10):
            bench.client.get(f"s{number}.{number % 2}").fault = "connect"
        for _ in range(5):
            answer = bench.search()
            assert answer.coverage.share == 1.0
            check_records(answer, 10)

    @proof("true coverage", "a whole service is lost")
    @in_virtual_time
    def test_lost_service_is_named(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=4, replicas=2)
        bench.search()
        for name in ("s2.0", "s2.1"):
            bench.client.get(name).fault = "connect"
        answer = bench.search()
        assert answer.coverage.share == 0.75
        [missing] = answer.coverage.missing
        assert (missing.service, missing.reason) == ("s2", MissingReason.UNREACHABLE)
        check_records(answer, 4)

    @proof("true coverage", "an answer claims a wider range than asked")
    @in_virtual_time
    def test_wide_and_overlapping_ranges_are_refused(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=1, shards=2)
        bench.client.get("s0.0").spoil = lambda a: replace(
            a, key_range=KeyRange(0, 2**32)
        )
        answer = bench.search()
        assert answer.coverage.share == 0.0
        assert answer.records == []

    @proof("true coverage", "answers come after the deadline")
    @in_virtual_time
    def test_late_answers_do_not_count(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=4, replicas=1)
        bench.client.get("s3.0").latency = lambda: 0.5
        started = clock.now()
        answer = bench.search(deadline_s=0.1)
        assert clock.now() - started < 0.11
        assert answer.coverage.share == 0.75
        assert answer.coverage.missing[0].reason is MissingReason.DEADLINE
        eventlet.sleep(1)
        check_records(answer, 4)

    @proof("true coverage", "random faults at once, two and more at a time")
    @in_virtual_time
    def test_random_faults_against_the_oracle(self, clock):
        partial = 0
        for seed in range(150):
            answer = search_with_faults(clock, random.Random(seed))
            check_records(answer, 5, 2)
            partial += answer.coverage.share < 1.0
        assert 10 < partial < 150  # the faults do bite, and not always

    def test_share_is_one_only_when_whole(self):
        merge = AnswerMerge(Snapshot(1, 1), [])
        assert merge.count_coverage({}).share == 1.0


FAULTS = ("",) * 12 + ("connect", "broken", "silent", "shed", "draining")


def search_with_faults(clock, source: random.Random):
    """Search while every target has a random fault, latency and version span."""
    bench = EngineBench(clock)
    bench.set_up(services=5, replicas=2, shards=2)
    for service in range(5):
        for number in range(2):
            fake = bench.client.get(f"s{service}.{number}")
            fake.fault = source.choice(FAULTS)
            latency = source.choice((0.002, 0.02, 0.3))
            fake.latency = lambda latency=latency: latency
            high = source.randint(3, 5)
            fake.held = (HeldVersions(1, high - 2, high),)
            if source.random() < 0.1:
                fake.spoil = lambda a: replace(a, service="s0", key_range=a.key_range)
    started = clock.now()
    try:
        return bench.search(deadline_s=0.2)
    finally:
        assert clock.now() - started < 0.45  # deadline and the time for learning


class TestOwnAnswer(TestCase):
    """Each caller gets the answer to its own request."""

    @proof("own answer", "answers of two requests are crossed")
    @in_virtual_time
    def test_crossed_answers_are_refused(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=2, replicas=2)
        bench.search()
        kept = []

        def cross(answer):
            kept.append(answer)
            return kept[0]

        bench.client.get("s1.0").spoil = cross
        bench.client.get("s1.1").fault = "connect"
        bench.search()
        answer = bench.search()
        assert [part.service for part in answer.coverage.missing] == ["s1"]


class TestTail(TestCase):
    """Stragglers are hedged within a budget."""

    @in_virtual_time
    def test_hedge_answers_for_a_straggler(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2)
        for _ in range(100):
            bench.search()
        slow_once(bench)
        started = clock.now()
        answer = bench.search()
        assert answer.coverage.share == 1.0
        assert clock.now() - started < 0.05

    @in_virtual_time
    def test_without_hedge_the_straggler_sets_the_latency(self, clock):
        bench = EngineBench(clock, make_hedge=lambda policy: NoHedge())
        bench.set_up(services=1, replicas=2)
        for _ in range(100):
            bench.search()
        slow_once(bench)
        started = clock.now()
        bench.search()
        assert clock.now() - started >= 0.5

    @in_virtual_time
    def test_hedges_stay_within_the_budget(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=10, replicas=2, hedge_budget=0.05)
        source = random.Random(5)
        for service in range(10):
            for number in range(2):
                fake = bench.client.get(f"s{service}.{number}")
                fake.latency = lambda: 0.3 if source.random() < 0.3 else 0.005
        sent = sum(bench.search().subrequests for _ in range(300))
        extra = sent / 3000 - 1.0
        assert 0.0 < extra <= 0.05 + 10 * 20 / 3000  # share, and each one's burst

    @in_virtual_time
    def test_loser_is_cancelled(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2)
        for _ in range(100):
            bench.search()
        slow_once(bench)
        bench.search()
        eventlet.sleep(0.3)
        fakes = bench.client.targets.values()
        assert sum(fake.cancelled for fake in fakes) == 1
        assert sum(fake.in_progress for fake in fakes) == 0

    @in_virtual_time
    def test_limit_of_a_target_holds(self, clock):
        bench = EngineBench(clock, vm_count=7)
        bench.set_up(services=1, replicas=0, shards=1)
        bench.apply(2, make_target("s0", 0, slots=2, connection_limit=25))
        threads = [eventlet.spawn(bench.search, 5.0) for _ in range(60)]
        answers = [thread.wait() for thread in threads]
        assert all(answer.coverage.share == 1.0 for answer in answers)
        assert bench.client.get("s0.0").highest_in_progress <= 25 // 7


def slow_once(bench: EngineBench) -> None:
    """Make the next answer late, whichever target gives it."""
    latencies = iter([0.5])
    for fake in bench.client.targets.values():
        fake.latency = lambda: next(latencies, 0.005)


class TestLeaving(TestCase):
    """A target that is leaving gets no new work."""

    @proof("leaving targets", "the target says so itself, its report lies")
    @in_virtual_time
    def test_draining_answer_is_sticky(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2)
        bench.search()
        fake = bench.client.get("s0.0")
        fake.fault = "draining"
        while not bench.leaving.is_draining("s0.0"):
            bench.search()
        fake.fault = ""
        asked = fake.asked
        for _ in range(100):
            assert bench.search().coverage.share == 1.0
        assert fake.asked == asked

    @proof("leaving targets", "only a ticket says so")
    @in_virtual_time
    def test_ticket_says_so(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2)
        bench.search()
        bench.apply(2, make_target("s0", 1, draining=True))
        asked = bench.client.get("s0.1").asked
        for _ in range(50):
            bench.search()
        assert bench.client.get("s0.1").asked == asked

    @proof("leaving targets", "only the platform's lagging list says so")
    @in_virtual_time
    def test_list_says_so(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2)
        bench.search()
        bench.leaving.replace_list(1, ["s0.1"])
        asked = bench.client.get("s0.1").asked
        for _ in range(50):
            bench.search()
        assert bench.client.get("s0.1").asked == asked
