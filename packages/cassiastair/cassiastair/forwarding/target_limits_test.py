"""Tests of request rates that targets name, over the sends of all VMs together."""

import math
import random
from dataclasses import replace

import eventlet
import pytest
from testtools import TestCase

from ..clock import ManualClock
from ..errors import NoTargetError, PeerProtocolError
from ..targets.failures import ConnectFailure
from ..targets.notice import TargetNotice
from ..testing import in_virtual_time
from ..testing.fake_transport import FakeTransport, make_reply
from ..testing.forwarding_bench import (
    ForwardingBench,
    make_search_route,
    make_single_route,
    make_target,
)
from .target_limits import EXPIRE_S, TargetLimits

PATH = "/one/x"
TARGET = make_target("t", "desk")
WINDOW_S = 4.0  # window in which the sends to a limited target are counted
SETTLE_S = 4.0  # time from the first answer with a limit until it must hold
EXCESS_RATIO = 1.5  # sends that a target tolerates, relative to its limit
EXCHANGE_INTERVAL_S = 0.5  # interval at which VMs send reports to their peers
EXCESS_REQUESTS = 5  # further sends that it tolerates in a window


class Fleet:
    """VMs that send to the same targets.

    Parameters
    ----------
    clock : ManualClock
        Virtual clock.
    count : int
        Number of VMs.
    route : Route
        Route of all requests.
    replicas : int
        Number of targets.
    """

    def __init__(self, clock, count: int, route, replicas: int = 2):
        self.clock = clock
        self.rng = random.Random(count)
        self.transport = FakeTransport(clock)
        self.unevenness = 1.5
        self.is_cut = False
        self.answered = 0
        self.retry_afters: list[float] = []
        self._route = route
        self._replicas = replicas
        self._names = [f"vm{number}" for number in range(count)]
        self.benches = [self._make_bench(name) for name in self._names]

    def _make_bench(self, name: str) -> ForwardingBench:
        """Return a VM that has just started."""
        seed = self.rng.getrandbits(32)
        bench = ForwardingBench(
            self.clock, seed, transport=self.transport, vm=name, vms=self._names
        )
        bench.set_up([self._route], self._replicas)
        return bench

    def restart(self, number: int) -> None:
        """Replace a VM by one that knows nothing."""
        self.benches[number] = self._make_bench(self._names[number])

    def exchange_reports(self) -> None:
        """Let each VM send its reports to the next two VMs, unless they are cut off."""
        for number, bench in enumerate(self.benches):
            reports = bench.limits.take_unreported()
            for offset in (1, 2):
                peer = self.benches[(number + offset) % len(self.benches)]
                if not self.is_cut:
                    peer.limits.merge(reports)
            bench.limits.update()

    def name_limit(self, name: str, rate: float | None) -> None:
        """Let a target name a limit in its answers from now on."""
        name_limit(self.benches[0], name, rate)

    def run(self, seconds: float, rate: float) -> None:
        """Let callers send requests at random times; some VMs get more than others."""
        end = self.clock.now() + seconds
        exchange_at = self.clock.now()
        while self.clock.now() < end:
            eventlet.sleep(self.rng.expovariate(rate))
            if self.clock.now() >= exchange_at:
                self.exchange_reports()
                exchange_at += EXCHANGE_INTERVAL_S
            number = int(len(self.benches) * self.rng.random() ** self.unevenness)
            eventlet.spawn_n(self._call, self.benches[number])

    def _call(self, bench: ForwardingBench) -> None:
        """Send one request through a VM."""
        try:
            bench.run(PATH, 5.0)
            self.answered += 1
        except NoTargetError as error:
            self.retry_afters.append(error.retry_after)

    def count_most(self, name: str, since: float) -> int:
        """Return the most arrivals at a target in any window from a time on."""
        times = [at for at, _ in self.transport.get(name).arrivals if at >= since]
        return max(
            (sum(1 for at in times if start <= at < start + WINDOW_S))
            for start in times
        )


def find_tolerated(rate: float) -> float:
    """Return how many requests a target with a limit tolerates in a window."""
    return EXCESS_RATIO * rate * WINDOW_S + EXCESS_REQUESTS


class TestNamedLimit(TestCase):
    """Sends to a target that names a limit."""

    @pytest.mark.proof(
        promise="extra load",
        failure="routes: a target names a limit of its requests a second",
    )
    @in_virtual_time
    def test_all_vms_together_keep_within_a_named_limit(self, clock):
        for count, rate in ((7, 11.6), (7, 1.0), (7, 0.0), (78, 6.0), (300, 6.0)):
            fleet = Fleet(clock, count, make_single_route())
            fleet.name_limit("desk.0", rate)
            named_at = clock.now()
            fleet.run(seconds=30.0, rate=6.0 * rate + 5.0)
            most = fleet.count_most("desk.0", named_at + SETTLE_S)
            assert most <= find_tolerated(rate), (count, rate, most)
            assert not fleet.retry_afters

    @pytest.mark.proof(
        promise="extra load",
        failure="routes: a target names a limit; VMs restart, others are cut off",
    )
    @in_virtual_time
    def test_limit_holds_while_vms_restart_and_are_cut_off(self, clock):
        for count, rate in ((7, 11.6), (78, 6.0)):
            fleet = Fleet(clock, count, make_single_route())
            fleet.name_limit("desk.0", rate)
            fleet.name_limit("desk.1", rate)
            named_at = clock.now()
            fleet.run(seconds=8.0, rate=1.0)
            fleet.is_cut = True
            for number in range(0, count, max(1, count // 7)):
                fleet.restart(number)
                fleet.run(seconds=2.0, rate=8.0 * rate)
            for name in ("desk.0", "desk.1"):
                most = fleet.count_most(name, named_at + SETTLE_S)
                assert most <= find_tolerated(rate), (count, rate, most)

    @in_virtual_time
    def test_unused_shares_do_not_accrue_for_a_burst(self, clock):
        for count, rate in ((7, 11.6), (78, 6.0)):
            fleet = Fleet(clock, count, make_single_route(), replicas=1)
            fleet.name_limit("desk.0", rate)
            named_at = clock.now()
            fleet.run(seconds=20.0, rate=2.0)
            fleet.run(seconds=4.0, rate=400.0)
            most = fleet.count_most("desk.0", named_at + SETTLE_S)
            assert most <= find_tolerated(rate), (count, rate, most)

    @in_virtual_time
    def test_most_of_a_limit_is_used_under_load(self, clock):
        fleet = Fleet(clock, 7, make_single_route())
        fleet.unevenness = 1.0
        for name in ("desk.0", "desk.1"):
            fleet.name_limit(name, 10.0)
        fleet.run(seconds=20.0, rate=60.0)
        assert fleet.answered > 0.8 * 2 * 10.0 * 20.0

    @in_virtual_time
    def test_request_without_room_is_refused_at_once_with_the_time_until_then(
        self, clock
    ):
        fleet = Fleet(clock, 7, make_single_route())
        for name in ("desk.0", "desk.1"):
            fleet.name_limit(name, 2.0)
        fleet.run(seconds=10.0, rate=60.0)
        bench = fleet.benches[0]
        started = clock.now()
        error = self.assertRaises(NoTargetError, bench.run, PATH, 5.0)
        assert clock.now() - started < 0.01
        assert error.outcome == "not_run"
        eventlet.sleep(error.retry_after)
        assert bench.run(PATH, 5.0).status == 200

    @in_virtual_time
    def test_limit_ends_with_the_first_answer_without_one(self, clock):
        fleet = Fleet(clock, 7, make_single_route())
        for name in ("desk.0", "desk.1"):
            fleet.name_limit(name, 1.0)
        fleet.run(seconds=10.0, rate=20.0)
        for name in ("desk.0", "desk.1"):
            fleet.name_limit(name, None)
        fleet.run(seconds=10.0, rate=20.0)
        fleet.retry_afters.clear()
        fleet.run(seconds=5.0, rate=20.0)
        assert not fleet.retry_afters

    @in_virtual_time
    def test_hedges_and_retries_leave_room_for_first_sends(self, clock):
        limits = make_limits(clock)
        limits.record_answer(TARGET, 20.0, clock.now())
        eventlet.sleep(2.0)
        extra = count_admitted(limits, extra=True)
        assert 0 < extra
        assert count_admitted(limits, extra=False) > 0

    @in_virtual_time
    def test_send_without_a_connection_is_not_counted(self, clock):
        bench = ForwardingBench(clock)
        bench.set_up([make_single_route()], replicas=1)
        target = bench.registry.find("desk.0").target
        bench.limits.record_answer(target, 1.0, clock.now())
        wait = bench.limits.find_wait("desk.0", extra=False)
        bench.transport.get("desk.0").override = lambda: ConnectFailure("refused")
        self.assertRaises(NoTargetError, bench.run, PATH, 5.0)
        assert bench.limits.find_wait("desk.0", extra=False) == wait == 0.0


class TestShares(TestCase):
    """VMs that share a limit as others join and leave."""

    def test_as_many_vms_share_a_limit_after_others_join_and_leave(self):
        clock = ManualClock()
        names = [f"vm{number}" for number in range(60)]
        fleet = {name: self.make_vm(clock, name, names) for name in names}
        assert self.count_sharers(fleet) == self.count_sharers_anew(clock, names)
        del names[::3]
        names += [f"new{number}" for number in range(30)]
        for name in set(names) - set(fleet):
            fleet[name] = self.make_vm(clock, name, names)
        for limits in fleet.values():
            limits.update()
        left = {name: fleet[name] for name in names}
        assert self.count_sharers(left) == self.count_sharers_anew(clock, names)

    def make_vm(self, clock, name: str, names: list[str]) -> TargetLimits:
        """Return the limits of a VM that knows the limit of the target."""
        limits = TargetLimits(clock, name, lambda: names, lambda: len(names))
        limits.record_answer(TARGET, 6.0, clock.now())
        return limits

    def count_sharers_anew(self, clock, names: list[str]) -> int:
        """Return how many VMs of a fleet that has just started share the limit."""
        return self.count_sharers({n: self.make_vm(clock, n, names) for n in names})

    def count_sharers(self, fleet: dict[str, TargetLimits]) -> int:
        """Return how many VMs may send to the target, now or later."""
        return sum(
            math.isfinite(limits.find_wait(TARGET.name, extra=False))
            for limits in fleet.values()
        )


class TestSearchUnderLimits(TestCase):
    """Searches whose shards have targets with a limit."""

    @in_virtual_time
    def test_search_that_lacks_room_in_too_many_shards_sends_nothing(self, clock):
        bench = ForwardingBench(clock)
        bench.set_up([make_search_route(10, 0.9)], replicas=1)
        for shard in range(2):
            stats = bench.registry.find(f"s{shard}.0")
            bench.limits.record_answer(stats.target, 0.0, clock.now())
            bench.limits.record_send(stats.target.name)
        error = self.assertRaises(NoTargetError, bench.run)
        assert error.retry_after > 0
        assert sum(bench.count_arrivals(f"s{shard}") for shard in range(10)) == 0

    @in_virtual_time
    def test_shard_without_room_is_left_out_at_once(self, clock):
        bench = ForwardingBench(clock)
        bench.set_up([make_search_route(10, 0.9)], replicas=1)
        target = bench.registry.find("s0.0").target
        bench.limits.record_answer(target, 0.0, clock.now())
        bench.limits.record_send(target.name)
        started = clock.now()
        answer = bench.run()
        assert answer.missing == 1
        assert clock.now() - started < 0.05

    @in_virtual_time
    def test_other_target_of_a_shard_takes_what_a_limit_leaves(self, clock):
        bench = ForwardingBench(clock)
        bench.set_up([make_search_route(10, 0.9)], replicas=2)
        name_limit(bench, "s0.0", 0.0)
        for _ in range(20):
            assert bench.run().missing == 0
            eventlet.sleep(0.05)
        assert len(bench.transport.get("s0.0").arrivals) <= 2


class TestReports(TestCase):
    """Reports on limits that VMs exchange."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.one, self.other = make_limits(self.clock), make_limits(self.clock)

    def exchange(self) -> None:
        """Send the unreported limits of one VM to the other."""
        self.other.merge(self.one.take_unreported())

    def test_vm_that_never_sent_knows_a_limit_and_its_end(self):
        self.one.record_answer(TARGET, 2.0, self.clock.now())
        self.exchange()
        assert self.other.count() == 1
        self.clock.advance(1.0)
        self.one.record_answer(TARGET, None, self.clock.now())
        self.exchange()
        assert self.other.count() == 0

    def test_unchanged_limit_is_reported_again_before_it_expires(self):
        for _ in range(300):
            self.one.record_answer(TARGET, 2.0, self.clock.now())
            self.exchange()
            self.clock.advance(0.5)
            self.other.update()
            assert self.other.count() == 1

    def test_limit_expires_without_a_word_of_the_target(self):
        self.one.record_answer(TARGET, 2.0, self.clock.now())
        self.clock.advance(EXPIRE_S - 1.0)
        self.one.update()
        assert self.one.count() == 1
        self.clock.advance(EXPIRE_S + 1.0)
        self.one.update()
        assert self.one.count() == 0
        assert self.one.may_send(TARGET.name, extra=False)

    def test_end_of_a_limit_is_not_reported_again_by_later_answers(self):
        self.one.record_answer(TARGET, 2.0, self.clock.now())
        self.clock.advance(1.0)
        self.one.record_answer(TARGET, None, self.clock.now())
        assert len(self.one.take_unreported()) == 1
        for _ in range(100):
            self.clock.advance(0.5)
            self.one.record_answer(TARGET, None, self.clock.now())
            self.one.update()
            assert not self.one.take_unreported()

    def test_late_answer_without_a_limit_does_not_end_one(self):
        sent_at = self.clock.now()
        self.clock.advance(0.1)
        self.one.record_answer(TARGET, 2.0, sent_at)
        self.one.record_answer(TARGET, None, sent_at)
        assert self.one.count() == 1

    def test_reports_are_forwarded_once(self):
        self.one.record_answer(TARGET, 2.0, self.clock.now())
        self.exchange()
        reports = self.other.take_unreported()
        assert len(reports) == 1
        self.one.merge(reports)
        assert not self.one.take_unreported()
        assert not self.other.take_unreported()

    def test_malformed_reports_are_refused(self):
        for report in (
            [],
            "x",
            ["t", 1.0],
            [1, 1.0, 0.0],
            ["t", "1", 0.0],
            ["t", -2.0, 0.0],
            ["t", float("nan"), 0.0],
            ["t", 1.0, -1.0],
            ["t", 1.0, float("nan")],
        ):
            self.assertRaises(PeerProtocolError, self.one.merge, [report])


def name_limit(bench: ForwardingBench, name: str, rate: float | None) -> None:
    """Let a target name a limit in its answers from now on."""
    reply = replace(
        make_reply(bench.registry.find(name).target), notice=TargetNotice(rate)
    )
    bench.transport.get(name).override = lambda: reply


def make_limits(clock) -> TargetLimits:
    """Return the limits of one of seven VMs."""
    return TargetLimits(clock, "vm0", lambda: ["vm0"], lambda: 7)


def count_admitted(limits: TargetLimits, extra: bool) -> int:
    """Return how many sends a VM may make to the target at this moment."""
    count = 0
    while limits.may_send(TARGET.name, extra):
        limits.record_send(TARGET.name)
        count += 1
    return count
