"""Tests that requests and replies are released without a collection of garbage.

Collections are rare, since they delay requests, so that what waits for one may be
large.
"""

import gc

import eventlet
from testtools import TestCase

from ..targets.failures import BrokenFailure
from ..testing import in_virtual_time
from ..testing.fake_transport import make_reply
from ..testing.forwarding_bench import (
    ForwardingBench,
    make_search_route,
    make_single_route,
)
from .request import CallerRequest
from .send import ABANDONED_SEND_S
from .transport import TargetReply


def count_objects(kind: type) -> int:
    """Return how many objects of a type exist, whether or not they are used."""
    return sum(type(item) is kind for item in gc.get_objects())


class TestRelease(TestCase):
    """Objects that exist after and during requests while no garbage is collected."""

    def setUp(self):
        super().setUp()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    @in_virtual_time
    def test_answered_requests_are_released(self, clock):
        bench = ForwardingBench(clock)
        routes = [make_single_route(True), make_search_route(5, 0.9)]
        bench.set_up(routes, 3)
        for path in ("/one/x", "/a/x"):
            before = count_objects(CallerRequest), count_objects(TargetReply)
            for _ in range(3):
                bench.run(path, 5.0)
            eventlet.sleep(2 * ABANDONED_SEND_S)
            after = count_objects(CallerRequest), count_objects(TargetReply)
            assert after == before, path

    @in_virtual_time
    def test_failed_requests_are_released(self, clock):
        bench = ForwardingBench(clock)
        bench.set_up([make_single_route(True)], 3)

        def fail() -> BrokenFailure:
            try:
                raise OSError("reset")
            except OSError as error:
                failure = BrokenFailure("broken")
                failure.__cause__ = error
                return failure

        bench.transport.get("desk.0").override = fail
        bench.transport.get("desk.1").override = fail
        before = count_objects(CallerRequest)
        for _ in range(10):
            bench.run("/one/x", 5.0)
        eventlet.sleep(2 * ABANDONED_SEND_S)
        assert count_objects(CallerRequest) == before

    @in_virtual_time
    def test_parts_are_released_while_a_search_waits_for_others(self, clock):
        bench = ForwardingBench(clock)
        bench.set_up([make_search_route(20, 1.0)], 1)
        bench.transport.get("s3.0").latency = lambda: 0.5
        before = count_objects(TargetReply)
        search = eventlet.spawn(bench.run)
        eventlet.sleep(0.2)
        assert count_objects(TargetReply) == before
        search.wait()

    @in_virtual_time
    def test_a_reply_that_comes_too_late_is_released(self, clock):
        bench = ForwardingBench(clock)
        bench.set_up([make_single_route(True)], 3)
        bench.run("/one/x", 5.0)
        for number in range(3):
            target = bench.registry.find(f"desk.{number}").target
            fake = bench.transport.get(f"desk.{number}")
            fake.override = lambda target=target: make_reply(target)
        slow = iter([0.3])
        fakes = [bench.transport.get(f"desk.{number}") for number in range(3)]
        for fake in fakes:
            fake.latency = lambda: next(slow, 0.05)
        before = count_objects(TargetReply)
        bench.run("/one/x", 5.0)
        assert sum(len(fake.arrivals) for fake in fakes) == 3  # one was a hedge
        while sum(len(fake.ends) for fake in fakes) < 3:
            eventlet.sleep(0.001)
        eventlet.sleep(0)
        assert count_objects(TargetReply) == before
