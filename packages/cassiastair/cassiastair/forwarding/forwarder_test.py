"""Tests of requests around the stop of a VM."""

import eventlet
import pytest
from testtools import TestCase

from ..errors import NoTargetError, RunUnknownError, StoppingError
from ..targets.failures import RefusedFailure
from ..testing import in_virtual_time
from ..testing.forwarding_bench import (
    ForwardingBench,
    make_search_route,
    make_single_route,
)

PATH = "/one/x"
SEARCH_PATH = "/a/x"


class TestStop(TestCase):
    """Requests that come late in the grace, and those that last until its end."""

    def set_up(self, clock) -> ForwardingBench:
        """Return a bench with a search, and a route that must not repeat requests."""
        bench = ForwardingBench(clock)
        bench.set_up([make_single_route(False), make_search_route(4, 0.5)])
        return bench

    def delay(self, bench, service: str, seconds: float) -> None:
        """Make the targets of a service answer after a time."""
        for number in range(2):
            bench.transport.get(f"{service}.{number}").latency = lambda: seconds

    @pytest.mark.proof(
        promise="planned stop",
        failure="routes: a request comes late in the grace",
    )
    @in_virtual_time
    def test_a_request_that_may_outlast_the_grace_is_refused(self, clock):
        # It was passed on and cut off at the end of the grace.
        bench = self.set_up(clock)
        bench.forwarder.begin_stop(clock.now() + 2.0)
        error = self.assertRaises(StoppingError, bench.run, PATH, 5.0)
        assert (error.outcome, error.retry_after) == ("not_run", 0.0)
        assert bench.count_arrivals("desk") == 0
        assert bench.run(PATH, 1.5).status == 200

    @pytest.mark.proof(
        promise="planned stop",
        failure="routes: a request lasts until the end of the grace",
    )
    @in_virtual_time
    def test_a_request_that_lasts_too_long_gets_a_final_answer(self, clock):
        bench = self.set_up(clock)
        self.delay(bench, "desk", 9.0)
        eventlet.spawn_after(1.0, bench.forwarder.finish_all)
        started = clock.now()
        error = self.assertRaises(RunUnknownError, bench.run, PATH, 8.0)
        assert error.outcome == "unknown"
        assert clock.now() - started < 1.1
        assert bench.count_arrivals("desk") == 1

    @in_virtual_time
    def test_a_request_that_has_surely_not_run_is_said_so(self, clock):
        bench = self.set_up(clock)
        for number in range(2):
            target = bench.transport.get(f"desk.{number}")
            target.override = lambda: RefusedFailure("full", "shed", "")
        eventlet.spawn_after(0.01, bench.forwarder.finish_all)
        error = self.assertRaises(NoTargetError, bench.run, PATH, 8.0)
        assert error.outcome == "not_run"

    @in_virtual_time
    def test_a_search_is_answered_with_the_parts_that_are_in(self, clock):
        bench = self.set_up(clock)
        self.delay(bench, "s0", 9.0)
        eventlet.spawn_after(0.05, bench.forwarder.finish_all)
        answer = bench.run(SEARCH_PATH, 5.0)
        assert answer.missing == 1
