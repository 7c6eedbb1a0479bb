"""Tests of targets whose address another service's target has taken over."""

import math
import random

import eventlet
import pytest
from testtools import TestCase

from ..clock import ManualClock
from ..errors import CassiastairError
from ..targets.failures import BadAnswerFailure, RefusedFailure
from ..testing import in_virtual_time
from ..testing.fake_transport import FakeTransport
from ..testing.forwarding_bench import (
    ForwardingBench,
    make_search_route,
    make_single_route,
)
from .target_stats import TRIAL_S
from .unsent_reason import UnsentReason

MISDIRECTED = RefusedFailure("status 421", "moved", "")
VMS = tuple(f"vm{number}" for number in range(7))
SLACK = 54.0  # the benches' default
RATIO = 0.2
WINDOW_S = 10.0


def misdirect_late() -> RefusedFailure:
    """Return a refusal by another process after some time."""
    eventlet.sleep(0.05)
    return MISDIRECTED


def count_between(times: list[float], start: float, end: float) -> int:
    """Return how many times lie in a span, its end left out."""
    return sum(start <= time < end for time in times)


class TestReusedAddress(TestCase):
    """Sends to an address whose new owner answers that it is not the target."""

    def run_many(self, bench: ForwardingBench, count: int, path: str) -> None:
        """Run requests one after the other, whatever becomes of them."""
        for _ in range(count):
            try:
                bench.run(path)
            except CassiastairError:
                pass  # only the sends are of interest
            eventlet.sleep(0.1)

    @pytest.mark.proof(
        promise="extra load",
        failure="routes: a target's address is reused before its record ends",
    )
    @in_virtual_time
    def test_a_target_gets_nothing_after_another_process_has_answered(self, clock):
        for path, name in (("/one/x", "desk.0"), ("/a/x", "s0.0")):
            bench = ForwardingBench(clock)
            bench.set_up([make_single_route(), make_search_route(2, 0.5)])
            bench.transport.get(name).override = lambda: MISDIRECTED
            self.run_many(bench, 100, path)
            assert len(bench.transport.get(name).arrivals) == 1

    @in_virtual_time
    def test_a_send_that_was_chosen_before_that_answer_is_not_made(self, clock):
        for path, name in (("/one/x", "desk.0"), ("/a/x", "s0.0")):
            bench = ForwardingBench(clock)
            bench.set_up([make_single_route(), make_search_route(2, 0.5)], replicas=1)
            bench.transport.get(name).override = lambda: MISDIRECTED
            for _ in range(5):
                eventlet.spawn_n(self.run_many, bench, 1, path)
            eventlet.sleep(1.0)
            assert len(bench.transport.get(name).arrivals) == 1

    @pytest.mark.proof(
        promise="extra load",
        failure="routes: VMs use up the retry budget of an address's new owner",
    )
    @in_virtual_time
    def test_sends_to_reused_addresses_keep_their_new_owners_retry_budget(self, clock):
        self.check_budget(*self.play_reuse(clock, reuse_at=13.0))

    @in_virtual_time
    def test_the_same_searches_keep_the_retry_budget_without_reuse(self, clock):
        self.check_budget(*self.play_reuse(clock, reuse_at=math.inf))

    def check_budget(self, requests: list[float], arrivals: list[float]) -> None:
        """Fail if a window has more arrivals beyond the first than are allowed."""
        for start in range(5, 25):
            known = max(
                count_between(requests, start - shift, start - shift + WINDOW_S)
                for shift in (0, WINDOW_S / 2, WINDOW_S)
            )
            first = count_between(requests, start, start + WINDOW_S)
            extra = count_between(arrivals, start, start + WINDOW_S) - first
            assert extra <= RATIO * known + SLACK, f"{extra} extra from {start} s"

    def play_reuse(
        self, clock: ManualClock, reuse_at: float
    ) -> tuple[list[float], list[float]]:
        """Let seven VMs search over a slow shard, which takes over three addresses.

        Parameters
        ----------
        clock : ManualClock
            Virtual clock.
        reuse_at : float
            Second at which an address of each other shard becomes the slow shard's.

        Returns
        -------
        requests, arrivals : list of float
            Seconds at which searches began, and at which sends reached the targets of
            the slow shard or the addresses that belong to it now.
        """
        rng = random.Random(7)
        transport = FakeTransport(clock)
        benches = [
            ForwardingBench(clock, seed, SLACK, transport, vm, VMS)
            for seed, vm in enumerate(VMS)
        ]
        begin = clock.now()
        for bench in benches:
            bench.set_up([make_search_route(4, 0.5)])
        for number in range(2):
            slow = transport.get(f"s0.{number}")
            slow.latency = lambda: rng.choice((0.01, 0.01, 0.2))
        reused = [transport.get(f"s{shard}.0") for shard in (1, 2, 3)]
        requests: list[float] = []

        def search(bench: ForwardingBench) -> None:
            """Run one search."""
            requests.append(clock.now() - begin)
            try:
                bench.run("/a/x")
            except CassiastairError:
                pass  # only the sends are of interest

        def end_and_reuse() -> None:
            """Let the new owner answer at the addresses of three targets."""
            for target in reused:
                target.override = lambda: MISDIRECTED

        if math.isfinite(reuse_at):
            eventlet.spawn_after(reuse_at, end_and_reuse)
        while clock.now() - begin < 35.0:
            eventlet.spawn_n(search, rng.choice(benches))
            eventlet.sleep(rng.expovariate(40.0))
        arrivals = [transport.get(f"s0.{number}").arrivals for number in range(2)]
        times = [time - begin for sends in arrivals for time, _ in sends]
        for target in reused:
            times += [t - begin for t, _ in target.arrivals if t - begin >= reuse_at]
        return requests, times


class TestTargetInDoubt(TestCase):
    """Targets that were out of reach, and whose address may have a new owner."""

    def set_up(self, clock, *services: str) -> ForwardingBench:
        """Return a bench whose first target of each service is reachable again."""
        bench = ForwardingBench(clock)
        bench.set_up([make_single_route(), make_search_route(2, 0.5)])
        for service in services:
            stats = bench.registry.find(f"{service}.0")
            stats.record_unreachable(clock.now())
            stats.record_connected()
        return bench

    def run_at_once(self, bench: ForwardingBench, count: int, path: str) -> list:
        """Run requests at the same time; return their errors."""
        errors = []

        def run() -> None:
            """Run one request."""
            try:
                bench.run(path)
            except CassiastairError as error:
                errors.append(error)

        for _ in range(count):
            eventlet.spawn_n(run)
        eventlet.sleep(2.0)
        return errors

    @pytest.mark.proof(
        promise="extra load",
        failure="routes: many requests wait when an unreachable address is reused",
    )
    @in_virtual_time
    def test_requests_at_once_make_one_send_to_a_reused_address(self, clock):
        for path, service in (("/one/x", "desk"), ("/a/x", "s0")):
            bench = self.set_up(clock, service)
            target = bench.transport.get(f"{service}.0")
            target.override = misdirect_late
            errors = self.run_at_once(bench, 30, path)
            assert errors == []
            assert len(target.arrivals) == 1

    @in_virtual_time
    def test_a_reply_ends_the_doubt(self, clock):
        bench = self.set_up(clock, "desk")
        bench.registry.remove("desk.1")
        assert bench.run("/one/x").status == 200
        assert self.run_at_once(bench, 5, "/one/x") == []
        assert len(bench.transport.get("desk.0").arrivals) == 6

    @in_virtual_time
    def test_a_refusal_by_the_target_itself_ends_the_doubt(self, clock):
        bench = self.set_up(clock, "desk")
        refusal = RefusedFailure("full", "shed", "")
        bench.transport.get("desk.0").override = lambda: refusal
        bench.registry.remove("desk.1")
        self.run_at_once(bench, 1, "/one/x")
        assert not bench.registry.find("desk.0").in_doubt

    @in_virtual_time
    def test_a_reply_that_nobody_signed_does_not_end_the_doubt(self, clock):
        bench = self.set_up(clock, "desk")
        unsigned = BadAnswerFailure("status 200 without a usable signature")
        bench.transport.get("desk.0").override = lambda: unsigned
        bench.registry.remove("desk.1")
        self.run_at_once(bench, 1, "/one/x")
        assert bench.registry.find("desk.0").in_doubt

    @in_virtual_time
    def test_requests_without_another_target_are_refused_at_once(self, clock):
        bench = self.set_up(clock, "desk")
        bench.registry.remove("desk.1")
        bench.transport.get("desk.0").latency = lambda: 0.9
        errors = self.run_at_once(bench, 4, "/one/x")
        assert [error.code for error in errors] == ["no_target"] * 3
        assert all(0 < error.retry_after <= TRIAL_S for error in errors)

    @in_virtual_time
    def test_a_slow_trial_holds_up_the_next_request_for_a_bounded_time(self, clock):
        bench = self.set_up(clock, "desk")
        bench.registry.remove("desk.1")
        bench.transport.get("desk.0").latency = lambda: 5.0
        for _ in range(3):
            eventlet.spawn_n(bench.run, "/one/x", 9.0)
            eventlet.sleep(TRIAL_S + 0.01)
        assert len(bench.transport.get("desk.0").arrivals) == 3

    @in_virtual_time
    def test_a_hedge_that_the_doubt_prevents_has_that_reason(self, clock):
        bench = self.set_up(clock, "desk")
        doubtful = bench.registry.find("desk.0")
        doubtful.record_start("another send", clock.now())
        bench.transport.get("desk.1").latency = lambda: 2.0
        hedge_delay = bench.dependencies.latencies.get(
            bench.table.find_route("host", "/one/x")
        ).hedge_delay()
        eventlet.spawn_n(bench.run, "/one/x")
        eventlet.sleep(hedge_delay - 0.01)
        doubtful.record_start("a later send", clock.now())
        eventlet.sleep(0.02)
        unsent = bench.dependencies.send_counts.unsent
        assert unsent == {(UnsentReason.TARGET_IN_DOUBT, "desk"): 1}
