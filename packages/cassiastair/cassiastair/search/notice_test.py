"""Tests of targets of the own protocol that name a time without requests."""

import random

import eventlet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from ..at_most_once.writer import Writer, WriteRequest
from ..data import MissingReason, Outcome
from ..errors import CassiastairError
from ..hedging import NoHedge
from ..pauses import PauseDetector
from ..targets import PowerOfTwoChooser, RefusedFailure, TargetReport
from ..targets.notice import MAX_PAUSE_S, TargetNotice
from ..testing import in_virtual_time
from ..testing.engine_bench import ROOT_TRACE, EngineBench
from ..testing.virtual_time import run_in_virtual_time
from ..traces import NoOpTracer
from .observer import TargetObserver

PAUSE_GRACE_S = 0.5  # in which requests that were on their way may still arrive


def make_writer(bench: EngineBench) -> Writer:
    """Return a writer that shares the targets of a bench's searches."""
    return Writer(
        registry=bench.registry,
        client=bench.client,
        chooser=PowerOfTwoChooser(random.Random(1)),
        observer=bench.observer,
        pauses=PauseDetector(bench.clock),
        tracer=NoOpTracer(),
        clock=bench.clock,
        rng=random.Random(2),
    )


def write(bench: EngineBench, writer: Writer, number: int):
    """Write a record of the first service and return the result."""
    service = bench.state.catalogue.services["s0"]
    deadline = bench.clock.now() + 1.0
    request = WriteRequest(f"w{number}", service, 1, {}, deadline, ROOT_TRACE)
    return writer.run(request)


class TestPausedTargets(TestCase):
    """Targets whose refusals name a time for which they want no requests."""

    def set_up(self, clock, pause: float) -> EngineBench:
        """Return a bench of two targets, the first of which refuses all requests."""
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=2)
        bench.search()
        self.refuse(bench, "s0.0", pause)
        return bench

    def refuse(self, bench: EngineBench, name: str, pause: float) -> None:
        """Let a target refuse all requests and name a time."""
        fake = bench.client.get(name)
        fake.fault, fake.pause, fake.reads = "shed", pause, 0

    def search_many(self, bench: EngineBench, count: int = 60) -> None:
        """Search many times."""
        for _ in range(count):
            bench.search()

    def find(self, bench: EngineBench, name: str):
        """Return the statistics of a target."""
        return next(s for s in bench.registry.list_tracked() if s.name == name)

    @pytest.mark.proof(
        promise="extra load",
        failure="a target names a time without requests",
    )
    @in_virtual_time
    def test_a_target_gets_no_search_before_the_time_is_over(self, clock):
        bench = self.set_up(clock, 20.0)
        self.search_many(bench)
        fake = bench.client.get("s0.0")
        assert fake.reads == 1
        fake.fault = ""
        eventlet.sleep(20.0)
        self.search_many(bench)
        assert fake.reads > 1

    @in_virtual_time
    def test_a_target_gets_no_write_before_the_time_is_over(self, clock):
        bench = self.set_up(clock, 20.0)
        self.search_many(bench)
        bench.client.get("s0.0").fault = ""
        writer = make_writer(bench)
        for number in range(30):
            assert write(bench, writer, number).outcome is Outcome.DONE
        assert not bench.client.get("s0.0").executions

    @in_virtual_time
    def test_the_refusal_of_a_write_counts_too(self, clock):
        bench = self.set_up(clock, 20.0)
        bench.client.get("s0.1").fault = "connect"
        result = write(bench, make_writer(bench), 1)
        assert result.outcome is Outcome.NOT_RUN
        bench.client.get("s0.1").fault = ""
        self.search_many(bench)
        assert bench.client.get("s0.0").reads == 0

    @in_virtual_time
    def test_all_targets_paused_is_a_lack_of_capacity_and_sends_nothing(self, clock):
        bench = self.set_up(clock, 20.0)
        self.refuse(bench, "s0.1", 20.0)
        self.search_many(bench)
        answer = bench.search()
        assert [part.reason for part in answer.coverage.missing] == [
            MissingReason.OVERLOADED
        ]
        result = write(bench, make_writer(bench), 1)
        assert result.outcome is Outcome.NOT_RUN
        for name in ("s0.0", "s0.1"):
            assert bench.client.get(name).reads == 1
            assert not bench.client.get(name).executions

    @in_virtual_time
    def test_a_request_that_waits_for_a_place_is_not_sent(self, clock):
        bench = EngineBench(clock)
        bench.set_up(services=1, replicas=1)
        bench.search()
        stats = self.find(bench, "s0.0")
        slots = stats.limiter.limit.current
        for _ in range(slots):
            stats.limiter.acquire()
        reads = bench.client.get("s0.0").reads
        writer = make_writer(bench)
        tasks = [
            eventlet.spawn(bench.search),
            eventlet.spawn(write, bench, writer, 1),
        ]
        eventlet.sleep(0.1)
        stats.record_pause(clock.now() + 9.0, "run-1")
        for _ in range(slots):
            stats.limiter.release()
        assert tasks[0].wait().coverage.share == 0.0
        assert tasks[1].wait().outcome is Outcome.NOT_RUN
        assert bench.client.get("s0.0").reads == reads
        assert not bench.client.get("s0.0").executions

    @in_virtual_time
    def test_no_request_waits_for_a_place_at_a_paused_target(self, clock):
        bench = EngineBench(clock, make_hedge=lambda policy: NoHedge())
        bench.set_up(services=1, replicas=2)
        for _ in range(20):
            bench.search()
        paused, other = (self.find(bench, name) for name in ("s0.0", "s0.1"))
        for _ in range(paused.limiter.limit.current):
            paused.limiter.acquire()
        for _ in range(40):
            other.record_latency(30.0)  # so that it is not chosen otherwise
        paused.record_pause(clock.now() + 9.0, "run-1")
        started = clock.now()
        assert bench.search().coverage.share == 1.0
        assert write(bench, make_writer(bench), 1).outcome is Outcome.DONE
        bench.client.get("s0.1").fault = "connect"
        assert bench.search().coverage.share == 0.0
        assert clock.now() - started < 0.5

    @in_virtual_time
    def test_the_last_time_named_holds(self, clock):
        bench = self.set_up(clock, 60.0)
        stats = self.find(bench, "s0.0")
        for pause in (60.0, 1.0):
            notice = TargetNotice(pause=pause)
            failure = RefusedFailure("refused", "shed", "run-1", notice)
            bench.observer.record_notice(stats, failure)
        assert stats.paused_until == clock.now() + 1.0

    @in_virtual_time
    def test_another_run_of_the_target_starts_clean(self, clock):
        bench = self.set_up(clock, 60.0)
        self.search_many(bench)
        stats = self.find(bench, "s0.0")
        held = bench.client.get("s0.0").held
        bench.observer.record_report(stats, TargetReport("run-1", True, 0.0, held))
        assert stats.paused_until > clock.now()
        bench.observer.record_report(stats, TargetReport("run-2", True, 0.0, held))
        assert stats.paused_until < clock.now()

    @in_virtual_time
    def test_bad_times_are_bounded_or_logged_and_cost_nothing_else(self, clock):
        bench = self.set_up(clock, 60.0)
        stats = self.find(bench, "s0.0")
        events = []
        observer = TargetObserver(
            bench.held,
            bench.draining_targets,
            clock,
            log_event=lambda event, **fields: events.append(event),
        )
        for pause in (float("nan"), 1e300, 1e300):
            notice = TargetNotice(leaving=True, pause=pause)
            failure = RefusedFailure("refused", "draining", "run-1", notice)
            observer.record_notice(stats, failure)
        assert events == ["pause unreadable", "target paused"]
        assert stats.paused_until == clock.now() + MAX_PAUSE_S
        assert bench.draining_targets.is_draining("s0.0")


class RandomTarget:
    """Target that drains or names times at random, and notes what reaches it."""

    def __init__(self, clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._run = 1
        self._drains = False
        self._pause: tuple[float, float] | None = None
        self.broken: list[str] = []

    def restart(self) -> None:
        """Start another run, which has said nothing yet."""
        self._run += 1
        self._drains, self._pause = False, None

    @property
    def incarnation(self) -> str:
        """Name of the current run."""
        return f"run-{self._run}"

    def receive(self) -> None:
        """Check a request against what was said before; refuse it or accept it."""
        now = self._clock.now()
        if self._drains:
            self.broken.append("a request after the target said that it drains")
        if self._pause and self._pause[0] + PAUSE_GRACE_S < now < self._pause[1]:
            self.broken.append("a request in a pause")
        draw = self._rng.random()
        if draw < 0.6:
            return
        self._drains = draw > 0.98
        pause = self._rng.choice((None, 0.3, 0.8, 2.0, 5.0))
        if pause is not None:
            self._pause = (now, now + pause)
        code = "draining" if self._drains else "shed"
        notice = TargetNotice(leaving=self._drains, pause=pause)
        raise RefusedFailure("refused", code, self.incarnation, notice)


def find_broken(clock, seed: int) -> list[str]:
    """Search and write at random targets that restart; return breaches."""
    rng = random.Random(seed)
    bench = EngineBench(clock)
    bench.set_up(services=2, replicas=3)
    writer = make_writer(bench)
    targets = {
        f"s{service}.{number}": RandomTarget(clock, rng)
        for service in range(2)
        for number in range(3)
    }
    read_whole, write_whole = bench.client.read, bench.client.write

    def read(target, attempt):
        """Read from a target unless it refuses."""
        targets[target.name].receive()
        return read_whole(target, attempt)

    def write_once(target, attempt, request_id):
        """Write to a target unless it refuses."""
        targets[target.name].receive()
        return write_whole(target, attempt, request_id)

    bench.client.read, bench.client.write = read, write_once
    for number in range(60):
        eventlet.sleep(rng.choice((0.0, 0.02, 0.3, 1.0)))
        if rng.random() < 0.1:
            name = rng.choice(list(targets))
            targets[name].restart()
            fake = bench.client.get(name)
            fake.incarnation = targets[name].incarnation
            for stats in bench.registry.list_tracked():
                if stats.name == name:
                    report = TargetReport(fake.incarnation, True, 0.0, fake.held)
                    bench.observer.record_report(stats, report)
        try:
            if rng.random() < 0.5:
                bench.search()
            else:
                write(bench, writer, number)
        except CassiastairError:
            pass  # only the requests that reach targets are of interest
    return [text for target in targets.values() for text in target.broken]


class TestRandomNotices(TestCase):
    """What targets said holds in any order of outcomes and restarts."""

    @pytest.mark.proof(
        promise="extra load",
        failure="targets pause, drain and restart in any order",
    )
    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @given(st.integers(0, 2**32))
    def test_no_request_is_sent_against_the_word_of_a_target(self, seed):
        assert run_in_virtual_time(lambda c: find_broken(c, seed)) == []
