"""Tests of requests that are served by a single target."""

import eventlet
import pytest
from testtools import TestCase

from ..errors import DeadlineError, NoTargetError, RunUnknownError
from ..routing import WeightedService
from ..targets.failures import BrokenFailure, ConnectFailure, RefusedFailure
from ..testing import in_virtual_time
from ..testing.fake_transport import make_reply
from ..testing.forwarding_bench import ForwardingBench, make_single_route

PATH = "/one/x"


def set_up(clock, repeatable: bool, replicas: int = 3, **fields) -> ForwardingBench:
    """Return a bench with a route to the service `desk` and running targets."""
    bench = ForwardingBench(clock)
    bench.set_up([make_single_route(repeatable, **fields)], replicas)
    return bench


def fail_all(bench, failure) -> None:
    """Make every target of `desk` fail."""
    for number in range(3):
        bench.transport.get(f"desk.{number}").override = failure


class TestAtMostOnce(TestCase):
    """Requests that must not run twice."""

    @pytest.mark.proof(
        promise="at most once",
        failure="routes: the connection broke after the request left",
    )
    @in_virtual_time
    def test_no_other_target_if_the_request_may_have_run(self, clock):
        bench = set_up(clock, repeatable=False)
        fail_all(bench, lambda: BrokenFailure("reset"))
        error = self.assertRaises(RunUnknownError, bench.run, PATH, 5.0)
        assert error.outcome == "unknown"
        assert bench.count_arrivals("desk") == 1

    @in_virtual_time
    def test_no_hedge_at_any_delay(self, clock):
        bench = set_up(clock, repeatable=False)
        for number in range(3):
            bench.transport.get(f"desk.{number}").latency = lambda: 9.0
        self.assertRaises(DeadlineError, bench.run, PATH, 5.0)
        assert bench.count_arrivals("desk") == 1

    @pytest.mark.proof(
        promise="at most once",
        failure="routes: another target only after proof",
    )
    @in_virtual_time
    def test_another_target_after_proof_that_it_has_not_run(self, clock):
        for failure in (ConnectFailure("no"), RefusedFailure("full", "shed", "")):
            bench = set_up(clock, repeatable=False)
            bench.transport.get("desk.0").override = lambda failure=failure: failure
            bench.transport.get("desk.1").override = lambda failure=failure: failure
            for _ in range(5):
                assert bench.run(PATH, 5.0).status == 200
                eventlet.sleep(1.0)

    @in_virtual_time
    def test_an_error_reply_is_returned_and_not_retried(self, clock):
        bench = set_up(clock, repeatable=False)
        for number in range(3):
            target = bench.registry.find(f"desk.{number}").target
            reply = make_reply(target, 500)
            bench.transport.get(f"desk.{number}").override = lambda reply=reply: reply
        assert bench.run(PATH, 5.0).status == 500
        assert bench.count_arrivals("desk") == 1

    @pytest.mark.proof(
        promise='"not run" is true',
        failure="routes: all targets refuse",
    )
    @in_virtual_time
    def test_refusal_by_all_targets_is_reported_as_not_run(self, clock):
        bench = set_up(clock, repeatable=False)
        fail_all(bench, lambda: RefusedFailure("full", "shed", ""))
        error = self.assertRaises(NoTargetError, bench.run, PATH, 5.0)
        assert error.outcome == "not_run"
        assert error.retry_after > 0


class TestRetries(TestCase):
    """Requests that may run more than once."""

    @in_virtual_time
    def test_another_target_after_a_broken_connection(self, clock):
        bench = set_up(clock, repeatable=True)
        bench.transport.get("desk.0").override = lambda: BrokenFailure("reset")
        bench.transport.get("desk.1").override = lambda: BrokenFailure("reset")
        bench.registry.remove("desk.1")
        for _ in range(5):
            assert bench.run(PATH, 5.0).status == 200

    @in_virtual_time
    def test_a_late_request_is_hedged_at_a_second_target(self, clock):
        bench = set_up(clock, repeatable=True)
        bench.transport.get("desk.0").latency = lambda: 4.0
        bench.transport.get("desk.1").latency = lambda: 4.0
        started = clock.now()
        for _ in range(4):
            bench.run(PATH, 5.0)
        assert clock.now() - started < 4.0

    @in_virtual_time
    def test_a_request_without_reachable_targets_is_refused_at_once(self, clock):
        bench = set_up(clock, repeatable=True)
        for number in range(3):
            bench.registry.find(f"desk.{number}").record_unreachable(clock.now())
        started = clock.now()
        self.assertRaises(NoTargetError, bench.run, PATH, 5.0)
        assert clock.now() - started < 0.001

    @in_virtual_time
    def test_final_answer_before_the_routes_timeout(self, clock):
        bench = set_up(clock, repeatable=True, timeout=0.4, latency_objective=0.3)
        for number in range(3):
            bench.transport.get(f"desk.{number}").latency = lambda: 9.0
        started = clock.now()
        self.assertRaises(DeadlineError, bench.run, PATH, 5.0)
        assert clock.now() - started < 0.4


class TestWeights(TestCase):
    """Distribution of requests over weighted services."""

    @in_virtual_time
    def test_the_share_of_a_service_without_targets_is_refused(self, clock):
        services = (WeightedService("desk", 3.0), WeightedService("rota", 1.0))
        bench = set_up(clock, repeatable=True, services=services)
        for number in range(3):
            bench.registry.remove(f"rota.{number}")
        clock.advance(5.0)
        refused = 0
        for _ in range(80):
            try:
                bench.run(PATH, 5.0)
            except NoTargetError:
                refused += 1
        assert refused == 20
        assert bench.count_arrivals("desk") == 60
