"""Tests of the search engine: one snapshot, correct coverage, deadlines, hedging."""

import gc
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
from ..testing import in_virtual_time, list_expected_records, run_in_virtual_time
from ..testing.engine_bench import EngineBench, cut_shards, make_target
from .scatter import Scatter


def check_records(answer, services: int, shards: int = 1) -> None:
    """Compare an answer record by record with the expected data of its snapshot."""
    missing = {(part.service, part.key_range) for part in answer.coverage.missing}
    expected = []
    for number in range(services):
        for shard in cut_shards(shards):
            if (f"s{number}", shard) not in missing:
                version = answer.snapshot.version
                expected += list_expected_records(f"s{number}", shard, version)
    assert sorted(answer.records) == sorted(expected)


def proof(promise: str, failure: str):
    """Mark a test that shows that a guarantee holds under a failure."""
    return pytest.mark.proof(promise=promise, failure=failure)


class TestSnapshot(TestCase):
    """Every answer comes from one snapshot."""

    @in_virtual_time
    def test_newest_common_version_is_chosen(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=3, replicas=2)
        bench.client.get("s1.0").held = (HeldVersions(1, 2, 5),)
        bench.client.get("s1.1").held = (HeldVersions(1, 1, 2),)
        answer = bench.search()
        assert answer.snapshot == Snapshot(3, 1)
        assert answer.coverage.share == 1.0
        check_records(answer, 3)

    @proof("one snapshot", "versions move on while queries run")
    def test_slowly_advancing_versions_keep_full_coverage(self):
        """Targets hold each version for three times as long as the slowest answer."""
        shares, versions = run_in_virtual_time(
            lambda c: search_while_versions_advance(c, 0.010)
        )
        assert set(shares) == {1.0}
        assert len(versions) > 20

    def test_fast_advancing_versions_keep_answers_consistent(self):
        """Targets hold each version for about one answer, so coverage may fall."""
        _, versions = run_in_virtual_time(
            lambda c: search_while_versions_advance(c, 0.002)
        )
        assert len(versions) > 20

    @proof("one snapshot", "a target answers with another version than asked")
    @in_virtual_time
    def test_foreign_version_is_refused(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=2, replicas=1)
        bench.client.get("s1.0").alter_answer = lambda a: replace(
            a, snapshot=Snapshot(a.snapshot.version - 1, a.snapshot.epoch)
        )
        answer = bench.search()
        assert answer.coverage.share == 0.5
        assert answer.coverage.missing[0].reason is MissingReason.BAD_ANSWER
        check_records(answer, 2)

    @in_virtual_time
    def test_versions_mix_without_the_checks(self, clock):
        """Without the two checks, a wrong version reaches the caller."""
        bench = EngineBench(clock)
        bench.set_up(services=2, replicas=1)
        bench.client.get("s1.0").alter_answer = lambda a: replace(
            a,
            snapshot=Snapshot(a.snapshot.version - 1, 1),
            records=list_expected_records("s1", a.key_range, a.snapshot.version - 1),
        )
        with (
            mock.patch.object(Scatter, "_matches_attempt", lambda *_: True),
            mock.patch.object(AnswerMerge, "add", add_unchecked),
        ):
            answer = bench.search()
        versions = {record[2].partition("@")[2] for record in answer.records}
        assert len(versions) == 2

    @proof("one snapshot", "shards are split while queries run")
    @in_virtual_time
    def test_shard_split_restarts_a_running_query(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=2, replicas=2)
        for name in ("s0.0", "s0.1", "s1.0", "s1.1"):
            bench.client.get(name).latency = lambda: 0.05
        bench.search()
        eventlet.spawn_after(0.02, split_service, bench)
        answer = bench.search()
        assert answer.snapshot.epoch == 2
        assert answer.coverage.share == 1.0
        check_records_after_split(answer)

    @proof("one snapshot", "a shard is handed over between targets")
    @in_virtual_time
    def test_shard_handover_keeps_full_coverage(self, clock):
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
    def test_versions_below_the_lowest_are_refused(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=1)
        assert bench.search(lowest_version=3).snapshot.version == 3
        self.assertRaises(NoSnapshotError, bench.search, lowest_version=4)

    @in_virtual_time
    def test_first_search_fetches_reports_until_one_succeeds(self, clock):
        """A VM that starts under load finds all connections to the targets in use.

        Its first searches failed when a failed report was not fetched again.
        """
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
    def test_unknown_index_is_not_found(self, clock):
        bench = EngineBench(clock)
        self.assertRaises(NotFoundError, bench.search)


def add_unchecked(merge: AnswerMerge, answer) -> bool:
    """Merge an answer without any check."""
    merge._records_by_range[answer.service][answer.key_range] = answer.records
    return True


def search_while_versions_advance(clock, pace: float) -> tuple[list[float], set[int]]:
    """Search while versions advance; return the covered shares and the versions."""
    bench = EngineBench(clock)
    bench.set_up(services=6, replicas=2, shards=2)
    rng = random.Random(3)
    for service in range(6):
        for number in range(2):
            target = bench.client.get(f"s{service}.{number}")
            target.latency = lambda: rng.uniform(0.001, 0.02)
    eventlet.spawn_n(advance_versions, bench, rng, pace)
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


def advance_versions(bench: EngineBench, rng: random.Random, pace: float) -> None:
    """Publish versions target by target; each target holds the last three."""
    for version in range(4, 10_000):
        for fake in list(bench.client.targets.values()):
            fake.held = (HeldVersions(1, version - 2, version),)
            eventlet.sleep(rng.uniform(0.0, pace))


def split_service(bench: EngineBench) -> None:
    """Split a service's only shard; then its targets hold only the new epoch."""
    service = replace(bench.state.catalogue.services["s0"], shards=cut_shards(2))
    bench.apply(2, Index("idx", 2, ("s0", "s1")), service)
    for fake in bench.client.targets.values():
        fake.held = (HeldVersions(2, 1, 3),)


def check_records_after_split(answer) -> None:
    """Compare the answer after the split with the expected data."""
    version = answer.snapshot.version
    expected = []
    for shard in cut_shards(2):
        expected += list_expected_records("s0", shard, version)
    expected += list_expected_records("s1", cut_shards(1)[0], version)
    assert sorted(answer.records) == sorted(expected)


class TestCoverage(TestCase):
    """Every answer states correctly which part of the data it covers."""

    @proof("true coverage", "replicas are lost")
    @in_virtual_time
    def test_lost_replicas_keep_full_coverage(self, clock):
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
    def test_lost_service_is_reported_as_missing(self, clock):
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
        bench.client.get("s0.0").alter_answer = lambda a: replace(
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
    def test_coverage_is_correct_under_random_faults(self, clock):
        partial = 0
        for seed in range(150):
            answer = search_with_faults(clock, random.Random(seed))
            check_records(answer, 5, 2)
            partial += answer.coverage.share < 1.0
        assert 10 < partial < 150  # some searches lose coverage, but not all

    def test_share_of_an_empty_search_is_one(self):
        merge = AnswerMerge(Snapshot(1, 1), [])
        assert merge.count_coverage({}).share == 1.0


FAULTS = ("",) * 12 + ("connect", "broken", "silent", "shed", "draining")


def search_with_faults(clock, rng: random.Random):
    """Search while every target has a random fault, latency and version span."""
    bench = EngineBench(clock)
    bench.set_up(services=5, replicas=2, shards=2)
    for service in range(5):
        for number in range(2):
            fake = bench.client.get(f"s{service}.{number}")
            fake.fault = rng.choice(FAULTS)
            latency = rng.choice((0.002, 0.02, 0.3))
            fake.latency = lambda latency=latency: latency
            high = rng.randint(3, 5)
            fake.held = (HeldVersions(1, high - 2, high),)
            if rng.random() < 0.1:
                fake.alter_answer = lambda a: replace(
                    a, service="s0", key_range=a.key_range
                )
    started = clock.now()
    try:
        return bench.search(deadline_s=0.2)
    finally:
        assert clock.now() - started < 0.45  # deadline and time for refreshing reports


class TestCrossedAnswers(TestCase):
    """A target's answer to another request is refused."""

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

        bench.client.get("s1.0").alter_answer = cross
        bench.client.get("s1.1").fault = "connect"
        bench.search()
        answer = bench.search()
        assert [part.service for part in answer.coverage.missing] == ["s1"]


class TestHedging(TestCase):
    """Stragglers are hedged within a budget."""

    @in_virtual_time
    def test_hedge_answers_for_a_straggler(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2)
        for _ in range(100):
            bench.search()
        delay_next_answer(bench)
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
        delay_next_answer(bench)
        started = clock.now()
        bench.search()
        assert clock.now() - started >= 0.5

    @in_virtual_time
    def test_hedges_stay_within_the_budget(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=10, replicas=2, hedge_budget=0.05)
        rng = random.Random(5)
        for service in range(10):
            for number in range(2):
                fake = bench.client.get(f"s{service}.{number}")
                fake.latency = lambda: 0.3 if rng.random() < 0.3 else 0.005
        sent = sum(bench.search().subrequests for _ in range(300))
        extra = sent / 3000 - 1.0
        assert (
            0.0 < extra <= 0.05 + 10 * 20 / 3000
        )  # budget share, plus the burst of each service

    @in_virtual_time
    def test_slower_attempt_is_cancelled(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2)
        for _ in range(100):
            bench.search()
        delay_next_answer(bench)
        bench.search()
        eventlet.sleep(0.3)
        fakes = bench.client.targets.values()
        assert sum(fake.cancelled for fake in fakes) == 1
        assert sum(fake.in_progress for fake in fakes) == 0

    @in_virtual_time
    def test_connection_share_of_a_target_is_not_exceeded(self, clock):
        bench = EngineBench(clock, vm_count=7)
        bench.set_up(services=1, replicas=0, shards=1)
        bench.apply(2, make_target("s0", 0, slots=2, connection_limit=25))
        threads = [eventlet.spawn(bench.search, 5.0) for _ in range(60)]
        answers = [thread.wait() for thread in threads]
        assert all(answer.coverage.share == 1.0 for answer in answers)
        assert bench.client.get("s0.0").highest_in_progress <= 25 // 7


def delay_next_answer(bench: EngineBench) -> None:
    """Make the next answer late, whichever target gives it."""
    latencies = iter([0.5])
    for fake in bench.client.targets.values():
        fake.latency = lambda: next(latencies, 0.005)


class TestDraining(TestCase):
    """A draining target gets no new work."""

    @proof("leaving targets", "the target says so itself, its report lies")
    @in_virtual_time
    def test_draining_refusal_outlasts_a_serving_report(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2)
        bench.search()
        fake = bench.client.get("s0.0")
        fake.fault = "draining"
        while not bench.draining_targets.is_draining("s0.0"):
            bench.search()
        fake.fault = ""
        asked = fake.reads
        for _ in range(100):
            assert bench.search().coverage.share == 1.0
        assert fake.reads == asked

    @proof("leaving targets", "only a ticket says so")
    @in_virtual_time
    def test_target_with_draining_ticket_gets_no_work(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2)
        bench.search()
        bench.apply(2, make_target("s0", 1, draining=True))
        asked = bench.client.get("s0.1").reads
        for _ in range(50):
            bench.search()
        assert bench.client.get("s0.1").reads == asked

    @proof("leaving targets", "only the platform's lagging list says so")
    @in_virtual_time
    def test_target_on_the_drain_list_gets_no_work(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2)
        bench.search()
        bench.draining_targets.replace_list(1, ["s0.1"])
        asked = bench.client.get("s0.1").reads
        for _ in range(50):
            bench.search()
        assert bench.client.get("s0.1").reads == asked


class TestRelease(TestCase):
    """What a search leaves behind while no garbage is collected."""

    @in_virtual_time
    def test_an_answered_search_is_released(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=3, replicas=2)
        for _ in range(100):  # until hedges have a delay
            bench.search()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        before = sum(type(item) is Scatter for item in gc.get_objects())
        for _ in range(3):
            bench.search()
        after = sum(type(item) is Scatter for item in gc.get_objects())
        assert after == before
