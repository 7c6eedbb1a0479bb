"""Tests that a request with a failed send is sent again while the budget allows it."""

import random
from collections import Counter

import eventlet
from testtools import TestCase

from ..errors import CassiastairError
from ..targets.failures import BadAnswerFailure, RefusedFailure, TargetFailure
from ..testing import in_virtual_time
from ..testing.fake_transport import FakeTransport
from ..testing.forwarding_bench import ForwardingBench, make_single_route
from ..testing.slot_queue import SlotQueue

VMS = tuple(f"vm{number}" for number in range(7))
TARGETS = 5
SLOTS = 3
REQUEST_RATE = 80.0  # requests a second, 85 in 100 of what the targets can run
DEADLINE_S = 10.0
MEAN_WORK_S = 0.16
MAX_WORK_S = 0.96
WORK_SIGMA = 0.47  # of the logarithm; a standard deviation of half the mean
SPOILED_SHARE = 0.1  # of the answers of one target
BUDGET_RATIO = 0.2
BUDGET_SLACK = 54.0
WINDOW_S = 10.0


class BusyService:
    """Seven VMs that send to five busy targets, one of which spoils answers.

    Parameters
    ----------
    clock : ManualClock
        Virtual clock.
    seed : int
        Seed of the random choices.
    failure : TargetFailure
        What becomes of a request whose answer is spoiled.

    Attributes
    ----------
    spoiled : Counter
        Number of spoiled answers by request.
    failed : dict of str to CassiastairError
        Errors of the requests that were not served.
    served_count : int
        Number of requests that were served.
    started_at : list of float
        Times at which requests arrived, in seconds.
    """

    def __init__(self, clock, seed: int, failure: TargetFailure):
        self._clock = clock
        self._failure = failure
        self._rng = random.Random(seed)
        self.transport = FakeTransport(clock)
        self.vms = [
            ForwardingBench(
                clock, seed * len(VMS) + n, BUDGET_SLACK, self.transport, vm, VMS
            )
            for n, vm in enumerate(VMS)
        ]
        for bench in self.vms:
            bench.set_up([make_single_route(timeout=DEADLINE_S)], TARGETS)
        for number in range(TARGETS):
            fake = self.transport.get(f"desk.{number}")
            fake.queue = SlotQueue(clock, SLOTS, self._draw_work)
        self.spoiled: Counter = Counter()
        self.failed: dict[str, CassiastairError] = {}
        self.served_count = 0
        self.started_at: list[float] = []
        self._is_sound = False
        spoiling = self.transport.get("desk.0")
        spoiling.override = lambda: self._draw_spoiled(spoiling)

    def _draw_work(self) -> float:
        """Return the seconds for which a request occupies a slot."""
        mean_of_log = -0.5 * WORK_SIGMA**2
        work = MEAN_WORK_S * self._rng.lognormvariate(mean_of_log, WORK_SIGMA)
        return min(work, MAX_WORK_S)

    def _draw_spoiled(self, spoiling) -> TargetFailure | None:
        """Return the failure of the send that has just arrived, in some cases."""
        if self._is_sound or self._rng.random() >= SPOILED_SHARE:
            return None
        self.spoiled[spoiling.arrivals[-1][1]] += 1
        return self._failure

    def run(self, spoiled_count: int) -> None:
        """Send requests until a number of answers were spoiled and all are served."""
        while sum(self.spoiled.values()) < spoiled_count:
            self._start_request()
        self._is_sound = True
        ends_at = self._clock.now() + DEADLINE_S
        while self._clock.now() < ends_at:
            self._start_request()
        eventlet.sleep(DEADLINE_S)

    def _start_request(self) -> None:
        """Wait for the next request and start it at a random VM."""
        eventlet.sleep(self._rng.expovariate(REQUEST_RATE))
        eventlet.spawn_n(self._serve, self._rng.choice(self.vms))

    def _serve(self, bench: ForwardingBench) -> None:
        """Forward one request and record its outcome."""
        self.started_at.append(self._clock.now())
        request = bench.make_request("/one/x", DEADLINE_S)
        try:
            bench.forwarder.run(bench.forwarder.find_route(request), request)
        except CassiastairError as error:
            self.failed[request.attempt_id] = error
        else:
            self.served_count += 1

    def list_extra_arrivals(self) -> list[float]:
        """Return the times of arrivals beyond the first of each request, in order."""
        arrivals = sorted(
            arrival
            for fake in self.transport.targets.values()
            for arrival in fake.arrivals
        )
        seen: set[str] = set()
        extra = []
        for at, attempt_id in arrivals:
            if attempt_id in seen:
                extra.append(at)
            seen.add(attempt_id)
        return extra

    def find_highest_use(self) -> float:
        """Return the largest used share of the whole limit in any window."""
        extra = self.list_extra_arrivals()
        return max(
            count(extra, end - WINDOW_S, end) / self.find_limit(end) for end in extra
        )

    def find_limit(self, end: float) -> float:
        """Return the extra sends allowed in the window that ends at a time."""
        requests = max(
            count(self.started_at, end - shift - WINDOW_S, end - shift)
            for shift in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        return BUDGET_RATIO * requests + BUDGET_SLACK


def count(times: list[float], start: float, end: float) -> int:
    """Return how many of the times lie after a start and up to an end."""
    return sum(1 for at in times if start < at <= end)


class TestSpoiledAnswers(TestCase):
    """Requests whose first answer was spoiled, at busy targets."""

    @in_virtual_time
    def test_no_request_is_lost_while_the_budget_of_all_vms_has_room(self, clock):
        self.check(clock, BadAnswerFailure("garbled"))

    @in_virtual_time
    def test_no_request_is_lost_after_a_refusal(self, clock):
        self.check(clock, RefusedFailure("full", "shed", ""))

    def check(self, clock, failure: TargetFailure) -> None:
        """Play the scene with three seeds; no request whose send failed is lost."""
        for seed in range(3):
            service = BusyService(clock, seed, failure)
            service.run(spoiled_count=50)
            ended_count = service.served_count + len(service.failed)
            assert ended_count == len(service.started_at)
            lost = sum(1 for name in service.spoiled if name in service.failed)
            assert service.find_highest_use() < 1.0
            assert lost == 0
