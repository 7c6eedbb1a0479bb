"""Tests of the counters of sends by service."""

from testtools import TestCase

from ..errors import CassiastairError
from ..targets.failures import BrokenFailure, RefusedFailure
from ..testing import in_virtual_time
from ..testing.forwarding_bench import (
    ForwardingBench,
    make_search_route,
    make_single_route,
)
from .send_counts import SendCounts

MISDIRECTED = RefusedFailure("status 421", "moved", "")
BROKEN = BrokenFailure("reset")


class TestCountsByService(TestCase):
    """Sends charged to the retry budget, and sends that reached another process."""

    def run_failing(self, clock, path: str, failure) -> SendCounts:
        """Run a request whose first target fails; return the counts."""
        bench = ForwardingBench(clock)
        bench.set_up([make_single_route(), make_search_route(1, 1.0)], replicas=1)
        for service in ("desk", "s0"):
            bench.transport.get(f"{service}.0").override = lambda: failure
            bench.add_target(f"{service}.1", service, "dc1")
        for _ in range(20):
            try:
                bench.run(path)
            except CassiastairError:
                pass  # only the counts are of interest
        return bench.dependencies.send_counts

    @in_virtual_time
    def test_retries_are_charged_to_the_service(self, clock):
        for path, service in (("/one/x", "desk"), ("/a/x", "s0")):
            counts = self.run_failing(clock, path, BROKEN)
            assert counts.charged == {service: counts.by_reason["retry"]}
            assert counts.misdirected == {}

    @in_virtual_time
    def test_sends_that_reach_another_process_are_counted(self, clock):
        for path, service in (("/one/x", "desk"), ("/a/x", "s0")):
            counts = self.run_failing(clock, path, MISDIRECTED)
            assert counts.misdirected == {service: counts.by_outcome["RefusedFailure"]}

    def test_counts_of_services_without_route_are_removed(self):
        counts = SendCounts()
        for service in ("kept", "dropped"):
            counts.record_charged(service)
            counts.record_misdirected(service)
        counts.retain_only({"kept"})
        assert counts.charged == counts.misdirected == {"kept": 1}
