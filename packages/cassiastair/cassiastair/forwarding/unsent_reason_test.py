"""Tests of the reasons that are named for hedges and retries not sent."""

from testtools import TestCase

from ..errors import CassiastairError
from ..targets.failures import (
    BrokenFailure,
    ConnectFailure,
    ConnectionLimitFailure,
    RefusedFailure,
)
from ..testing import in_virtual_time
from ..testing.fake_transport import make_reply
from ..testing.forwarding_bench import (
    ForwardingBench,
    make_search_route,
    make_single_route,
)
from .availability import explain_no_untried
from .send import Send
from .unsent_reason import UnsentReason

REPLICAS = 3
BROKEN = BrokenFailure("reset")
REFUSED = RefusedFailure("full", "shed", "")


def set_up(clock, replicas: int = REPLICAS, idempotent: bool = True, **fields):
    """Return a bench with a route to the service `desk`."""
    bench = ForwardingBench(clock)
    bench.set_up([make_single_route(idempotent, **fields)], replicas)
    return bench


def use_up_budget(bench: ForwardingBench, service: str) -> None:
    """Spend all extra sends that a service may get now."""
    while bench.retry_budget.try_spend(service):
        pass


def run(bench: ForwardingBench, path: str = "/one/x", timeout: float = 5.0) -> None:
    """Forward a request, whether or not it is served."""
    try:
        bench.run(path, timeout)
    except CassiastairError:
        pass  # the records are of interest


def list_reasons(bench: ForwardingBench, event: str, field: str) -> list:
    """Return a field of all records of an event."""
    records = bench.decisions.records
    return [inputs.get(field) for name, _, inputs in records if name == event]


class TestNoRetry(TestCase):
    """Reasons in the lines of failed sends and in the counter."""

    def check(self, bench: ForwardingBench, failure, reason: UnsentReason) -> None:
        """Fail all targets; check the reason of the last failed send."""
        for target in bench.transport.targets.values():
            target.override = lambda: failure
        run(bench)
        assert list_reasons(bench, "send failed", "no_retry")[-1] is reason
        assert bench.dependencies.send_counts.unsent[reason.value, "desk"] >= 1

    def set_up(self, clock, **fields) -> ForwardingBench:
        """Return a bench whose targets the transport knows."""
        bench = set_up(clock, **fields)
        for name in bench.registry.names():
            bench.transport.get(name)
        return bench

    @in_virtual_time
    def test_budget(self, clock):
        bench = self.set_up(clock)
        use_up_budget(bench, "desk")
        self.check(bench, BROKEN, UnsentReason.BUDGET)

    @in_virtual_time
    def test_max_attempts(self, clock):
        bench = self.set_up(clock, max_attempts=2)
        self.check(bench, BROKEN, UnsentReason.MAX_ATTEMPTS)

    @in_virtual_time
    def test_no_untried_target(self, clock):
        bench = self.set_up(clock, replicas=1)
        self.check(bench, BROKEN, UnsentReason.NO_UNTRIED_TARGET)

    @in_virtual_time
    def test_target_paused(self, clock):
        bench = self.set_up(clock, replicas=2)
        paused = bench.registry.find("desk.1")
        bench.registry.record_pause(paused, clock.now() + 60.0)
        self.check(bench, BROKEN, UnsentReason.TARGET_PAUSED)

    @in_virtual_time
    def test_target_limit(self, clock):
        bench = self.set_up(clock, replicas=2)
        limited = bench.registry.find("desk.1").target
        bench.limits.record_answer(limited, 0.01, clock.now())
        bench.limits.record_send("desk.1")
        self.check(bench, BROKEN, UnsentReason.TARGET_LIMIT)

    @in_virtual_time
    def test_connection_bound(self, clock):
        bench = self.set_up(clock, replicas=1)
        stats = bench.registry.find("desk.0")
        latency = bench.dependencies.latencies.get(bench.table.configuration.routes[0])
        send = Send(bench.dependencies, stats, latency, "first")
        send.outcome = ConnectionLimitFailure("reset")
        reason = explain_no_untried(bench.dependencies, "desk", {"desk.0"}, send)
        assert reason is UnsentReason.CONNECTION_BOUND

    @in_virtual_time
    def test_not_idempotent(self, clock):
        bench = self.set_up(clock, idempotent=False)
        self.check(bench, BROKEN, UnsentReason.NOT_IDEMPOTENT)

    @in_virtual_time
    def test_backoffs(self, clock):
        bench = self.set_up(clock, replicas=1)
        self.check(bench, ConnectFailure("refused"), UnsentReason.BACKOFFS)

    @in_virtual_time
    def test_deadline(self, clock):
        bench = self.set_up(clock, replicas=1, timeout=0.03, latency_objective=0.02)
        self.check(bench, ConnectFailure("refused"), UnsentReason.DEADLINE)

    @in_virtual_time
    def test_pending(self, clock):
        bench = self.set_up(clock, replicas=2, latency_objective=0.6)
        for number in range(2):
            target = bench.transport.get(f"desk.{number}")
            target.latency = lambda: 0.5
        failures = [BROKEN, None]
        for number in range(2):
            bench.transport.get(f"desk.{number}").override = lambda: failures.pop(0)
        run(bench)
        assert list_reasons(bench, "send failed", "no_retry") == [UnsentReason.PENDING]

    @in_virtual_time
    def test_finished(self, clock):
        bench = ForwardingBench(clock)
        bench.set_up([make_search_route(2, 1.0, latency_objective=0.6)])
        for name in ("s1.0", "s1.1"):
            bench.transport.get(name).latency = lambda: 0.55
        latencies = [0.5, 0.01]  # the hedge answers first, then the first send fails
        outcomes = [BROKEN, None]
        for name in ("s0.0", "s0.1"):
            bench.transport.get(name).latency = lambda: latencies.pop(0)
            bench.transport.get(name).override = lambda: outcomes.pop(0)
        run(bench, "/a/x")
        unsent = bench.dependencies.send_counts.unsent
        assert unsent[UnsentReason.FINISHED.value, "s0"] == 1

    @in_virtual_time
    def test_retry_after_a_backoff(self, clock):
        bench = self.set_up(clock, replicas=1)
        bench.transport.get("desk.0").override = lambda: REFUSED
        use_up_budget(bench, "desk")
        run(bench)
        (reason,) = list_reasons(bench, "retry not sent", "reason")
        assert reason is UnsentReason.BUDGET


class TestNoHedge(TestCase):
    """Reasons for which a late request was not hedged."""

    @in_virtual_time
    def test_single(self, clock):
        bench = set_up(clock)
        for number in range(REPLICAS):
            bench.transport.get(f"desk.{number}").latency = lambda: 0.5
        use_up_budget(bench, "desk")
        run(bench)
        reasons = list_reasons(bench, "hedge not sent", "reason")
        assert reasons == [UnsentReason.BUDGET]

    @in_virtual_time
    def test_search_names_it_for_each_missing_shard(self, clock):
        bench = ForwardingBench(clock)
        bench.set_up([make_search_route(4, 0.5)])
        for number in range(2):
            bench.transport.get(f"s0.{number}").latency = lambda: 0.5
        use_up_budget(bench, "s0")
        run(bench, "/a/x", 1.0)
        (reasons,) = list_reasons(bench, "answered in part", "no_hedge")
        assert reasons == {"s0": UnsentReason.BUDGET}
        counts = bench.dependencies.send_counts
        assert counts.unsent == {("budget", "s0"): 1}
        counts.retain_only(set())
        assert counts.unsent == {}

    @in_virtual_time
    def test_search_retry_names_its_reason(self, clock):
        bench = ForwardingBench(clock)
        bench.set_up([make_search_route(4, 0.5)])
        target = bench.registry.find("s0.0").target
        for number in range(2):
            reply = make_reply(target, 500)
            bench.transport.get(f"s0.{number}").override = lambda reply=reply: reply
        use_up_budget(bench, "s0")
        run(bench, "/a/x", 1.0)
        reasons = list_reasons(bench, "send failed", "no_retry")
        assert reasons == [UnsentReason.BUDGET]
