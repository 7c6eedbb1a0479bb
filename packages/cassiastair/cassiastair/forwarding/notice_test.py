"""Tests of targets that say that they leave, or name a time without requests."""

import random
from dataclasses import replace

import eventlet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from ..errors import CassiastairError, NoTargetError
from ..targets.failures import RefusedFailure
from ..targets.notice import MAX_PAUSE_S, TargetNotice
from ..testing import in_virtual_time
from ..testing.fake_transport import make_reply
from ..testing.forwarding_bench import (
    DRAIN_S,
    ForwardingBench,
    make_search_route,
    make_single_route,
    make_target,
)
from ..testing.virtual_time import run_in_virtual_time
from .target_registry import LEFT_MEMORY_S

PATH = "/one/x"
SEARCH_PATH = "/a/x"
PAUSE_GRACE_S = 0.5  # in which requests that were on their way may still arrive
MAX_PAUSED_SENDS = 2  # in the rest of the pause
LEAVING = TargetNotice(leaving=True)


def refuse(pause: float | None) -> RefusedFailure:
    """Return a refusal that names a time without requests."""
    return RefusedFailure("status 503", "shed", "", TargetNotice(pause=pause))


class NoticeTestCase(TestCase):
    """Fixture with a service of two targets and a search of two shards."""

    def set_up(self, clock, **fields) -> ForwardingBench:
        """Return a bench with both routes."""
        bench = ForwardingBench(clock)
        bench.set_up([make_single_route(**fields), make_search_route(2, 0.5)])
        return bench

    def say(self, bench, name: str, notice: TargetNotice, status: int = 200) -> None:
        """Let a target state something in each reply."""
        reply = make_reply(bench.registry.find(name).target, status)
        bench.transport.get(name).override = lambda: replace(reply, notice=notice)

    def count(self, bench, name: str) -> int:
        """Return how many sends have reached a target."""
        return len(bench.transport.get(name).arrivals)

    def run_many(self, bench, count: int, path: str = PATH, step: float = 0.05) -> None:
        """Send requests one after the other, whatever becomes of them."""
        for _ in range(count):
            try:
                bench.run(path, 1.0)
            except CassiastairError:
                pass  # only the sends are of interest
            eventlet.sleep(step)

    def count_events(self, bench, event: str) -> int:
        """Return how many log records have an event."""
        return sum(name == event for name, _, _ in bench.decisions.records)


class TestLeavingTargets(NoticeTestCase):
    """Targets that say in a reply that they are about to stop."""

    @pytest.mark.proof(
        promise="leaving targets",
        failure="routes: only the target itself says that it leaves",
    )
    @in_virtual_time
    def test_a_target_that_says_so_gets_nothing_while_another_serves(self, clock):
        for status in (200, 500):
            bench = self.set_up(clock)
            self.say(bench, "desk.0", LEAVING, status)
            self.run_many(bench, 20)
            assert self.count(bench, "desk.0") == 1
            assert self.count(bench, "desk.1") >= 19
            assert self.count_events(bench, "target leaving") == 1

    @in_virtual_time
    def test_a_refusal_says_so_as_well(self, clock):
        bench = self.set_up(clock)
        refusal = RefusedFailure("full", "shed", "", LEAVING)
        bench.transport.get("desk.0").override = lambda: refusal
        self.run_many(bench, 20)
        assert self.count(bench, "desk.0") == 1

    @pytest.mark.proof(
        promise="leaving targets",
        failure="routes: all targets of a service say that they leave",
    )
    @in_virtual_time
    def test_nothing_is_sent_when_all_targets_have_left(self, clock):
        bench = self.set_up(clock)
        for name in ("desk.0", "desk.1"):
            self.say(bench, name, LEAVING)
        assert bench.run(PATH).status == 200
        assert bench.run(PATH).status == 200
        eventlet.sleep(DRAIN_S)
        before = bench.count_arrivals("desk")
        error = self.assertRaises(NoTargetError, bench.run, PATH)
        assert error.retry_after > 0
        assert bench.count_arrivals("desk") == before

    @in_virtual_time
    def test_the_platforms_older_word_does_not_undo_it(self, clock):
        bench = self.set_up(clock)
        target = bench.registry.find("desk.0").target
        self.say(bench, "desk.0", LEAVING)
        self.run_many(bench, 10)
        bench.registry.update(target)
        eventlet.sleep(DRAIN_S)
        bench.registry.remove_expired()
        bench.registry.update(target)
        bench.registry.remove("desk.0")
        bench.registry.update(target)
        assert bench.registry.find("desk.0") is None

    @in_virtual_time
    def test_an_answer_that_contradicts_it_does_not_undo_it(self, clock):
        bench = self.set_up(clock)
        self.say(bench, "desk.0", LEAVING)
        self.run_many(bench, 10)
        bench.transport.get("desk.0").override = lambda: None
        bench.registry.remove("desk.1")
        self.run_many(bench, 10)
        assert bench.registry.find("desk.0") is None

    @in_virtual_time
    def test_a_target_that_left_is_forgotten_some_time_after_its_record(self, clock):
        bench = self.set_up(clock)
        self.say(bench, "desk.0", LEAVING)
        self.run_many(bench, 10)
        bench.registry.remove("desk.0")
        eventlet.sleep(LEFT_MEMORY_S - 1.0)
        bench.registry.remove_expired()
        assert bench.registry.count_leaving() == 1
        eventlet.sleep(2.0)
        bench.registry.remove_expired()
        assert bench.registry.count_leaving() == 0

    @in_virtual_time
    def test_the_word_of_another_target_at_the_address_counts_for_nothing(self, clock):
        bench = self.set_up(clock)
        notice = TargetNotice(leaving=True, pause=9.0)
        moved = RefusedFailure("status 421", "moved", "", notice)
        bench.transport.get("desk.0").override = lambda: moved
        self.run_many(bench, 10)
        assert bench.registry.list_paused() == []
        assert bench.registry.count_leaving() == 0
        for event in ("target paused", "target leaving"):
            assert self.count_events(bench, event) == 0

    @in_virtual_time
    def test_another_process_under_the_name_starts_clean(self, clock):
        bench = self.set_up(clock)
        target = bench.registry.find("desk.0").target
        self.say(bench, "desk.0", LEAVING)
        self.run_many(bench, 10)
        bench.registry.update(replace(target, started_ms=2))
        assert bench.registry.find("desk.0") is not None

    @in_virtual_time
    def test_the_earlier_end_holds_where_the_platform_speaks_too(self, clock):
        bench = self.set_up(clock)
        for name in ("desk.0", "desk.1"):
            target = bench.registry.find(name).target
            bench.registry.update(replace(target, draining=True))
        eventlet.sleep(0.5 * DRAIN_S)
        for stats in bench.registry.candidates("desk"):
            bench.registry.record_leaving(stats.target)
        eventlet.sleep(0.5 * DRAIN_S)
        assert bench.registry.candidates("desk") == []


class TestPausedTargets(NoticeTestCase):
    """Targets that name a time for which they want no requests."""

    @pytest.mark.proof(
        promise="extra load",
        failure="routes: a target names a time without requests",
    )
    @in_virtual_time
    def test_a_target_gets_nothing_before_the_time_is_over(self, clock):
        for path, name in ((PATH, "desk.0"), (SEARCH_PATH, "s0.0")):
            bench = self.set_up(clock)
            bench.transport.get(name).override = lambda: refuse(10.0)
            self.run_many(bench, 40, path)
            assert self.count(bench, name) == 1
            bench.transport.get(name).override = lambda: None
            eventlet.sleep(10.0)
            self.run_many(bench, 40, path)
            assert self.count(bench, name) > 5
            assert self.count_events(bench, "target paused") == 1

    @in_virtual_time
    def test_the_last_time_named_holds(self, clock):
        bench = self.set_up(clock)
        stats = bench.registry.find("desk.0")
        bench.registry.record_pause(stats, clock.now() + 60.0)
        bench.registry.record_pause(stats, clock.now() + 1.0)
        eventlet.sleep(1.1)
        self.run_many(bench, 20)
        assert self.count(bench, "desk.0") > 0

    @in_virtual_time
    def test_requests_are_refused_at_once_until_the_earliest_end(self, clock):
        bench = self.set_up(clock)
        bench.transport.get("desk.0").override = lambda: refuse(20.0)
        bench.transport.get("desk.1").override = lambda: refuse(8.0)
        started = clock.now()
        first = self.assertRaises(NoTargetError, bench.run, PATH)
        second = self.assertRaises(NoTargetError, bench.run, PATH)
        assert clock.now() - started < 0.01
        for error in (first, second):
            assert 7.5 < error.retry_after <= 8.0
        assert bench.count_arrivals("desk") == 2

    @in_virtual_time
    def test_a_search_is_refused_at_once_until_the_earliest_end(self, clock):
        bench = self.set_up(clock)
        for name in ("s0.0", "s0.1", "s1.0", "s1.1"):
            bench.transport.get(name).override = lambda: refuse(6.0)
        started = clock.now()
        for _ in range(2):
            error = self.assertRaises(NoTargetError, bench.run, SEARCH_PATH)
            assert 5.5 < error.retry_after <= 6.0
        assert clock.now() - started < 0.01

    @in_virtual_time
    def test_an_absurdly_long_time_is_bounded(self, clock):
        bench = self.set_up(clock)
        bench.transport.get("desk.0").override = lambda: refuse(1e300)
        self.run_many(bench, 10)
        until = bench.registry.find("desk.0").paused_until
        assert until - clock.now() <= MAX_PAUSE_S

    @in_virtual_time
    def test_an_unreadable_time_is_logged_and_costs_no_answer(self, clock):
        bench = self.set_up(clock)
        self.say(bench, "desk.0", TargetNotice(pause=float("nan")))
        self.run_many(bench, 10)
        assert bench.registry.find("desk.0").paused_until == 0.0
        assert self.count_events(bench, "pause unreadable") > 0

    @in_virtual_time
    def test_a_record_that_lapses_and_returns_is_still_paused(self, clock):
        bench = self.set_up(clock)
        target = bench.registry.find("desk.0").target
        bench.registry.record_pause(bench.registry.find("desk.0"), clock.now() + 9.0)
        bench.registry.remove("desk.0")
        eventlet.sleep(DRAIN_S)
        bench.registry.remove_expired()
        bench.registry.update(target)
        assert bench.registry.find("desk.0").paused_until > clock.now()
        bench.registry.update(replace(target, started_ms=2))
        assert bench.registry.find("desk.0").paused_until == 0.0


class RandomTarget:
    """Target that leaves or names times at random, and notes what reaches it."""

    def __init__(self, clock, target, rng: random.Random):
        self._clock = clock
        self._target = target
        self._rng = rng
        self._left_at: float | None = None
        self._pause: tuple[float, float] | None = None
        self._paused_sends = 0
        self.broken: list[str] = []

    def draw_outcome(self):
        """Check a send against what was said before; return its reply or failure."""
        now = self._clock.now()
        if self._left_at is not None and now > self._left_at + DRAIN_S:
            self.broken.append("a send after the target had left")
        if self._pause and self._pause[0] + PAUSE_GRACE_S < now < self._pause[1]:
            self._paused_sends += 1
            if self._paused_sends > MAX_PAUSED_SENDS:
                self.broken.append("a send in a pause")
        pause = self._rng.choice((None, None, None, 0.3, 0.8, 2.0, 5.0))
        leaving = self._left_at is not None or self._rng.random() < 0.05
        if leaving and self._left_at is None:
            self._left_at = now
        if pause is not None:
            self._pause, self._paused_sends = (now, now + pause), 0
            notice = TargetNotice(leaving=leaving, pause=pause)
            return RefusedFailure("status 503", "shed", "", notice)
        status = self._rng.choice((200, 200, 200, 500))
        notice = TargetNotice(leaving=leaving)
        return replace(make_reply(self._target, status), notice=notice)


def find_broken(clock, seed: int, idempotent: bool) -> list[str]:
    """Play requests at random targets whose records come and go; return breaches."""
    rng = random.Random(seed)
    bench = ForwardingBench(clock, seed=seed)
    bench.set_up([make_single_route(idempotent), make_search_route(2, 0.5)], 3)
    targets = {}
    for name in bench.registry.names():
        record = bench.registry.find(name).target
        targets[name] = RandomTarget(clock, record, rng)
        fake = bench.transport.get(name)
        fake.latency = lambda: 0.0
        fake.override = targets[name].draw_outcome
    names = list(targets)
    for _ in range(60):
        eventlet.sleep(rng.choice((0.0, 0.02, 0.3, 1.0)))
        bench.registry.remove_expired()
        step = rng.random()
        name = rng.choice(names)
        if step < 0.1:
            bench.registry.remove(name)
        elif step < 0.25:
            service = name.partition(".")[0]
            draining = rng.random() < 0.3
            data_centre = f"dc{name.partition('.')[2]}"
            target = make_target(name, service, data_centre, draining=draining)
            bench.registry.update(target)
        try:
            bench.run(rng.choice((PATH, SEARCH_PATH)))
        except CassiastairError:
            pass  # only the sends are of interest
    return [text for target in targets.values() for text in target.broken]


class TestRandomNotices(TestCase):
    """What targets said holds in any order of outcomes and records."""

    @pytest.mark.proof(
        promise="leaving targets",
        failure="routes: targets leave and pause in any order, records come and go",
    )
    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(st.integers(0, 2**32), st.booleans())
    def test_no_send_is_made_against_the_word_of_a_target(self, seed, idempotent):
        broken = run_in_virtual_time(lambda c: find_broken(c, seed, idempotent))
        assert broken == []
