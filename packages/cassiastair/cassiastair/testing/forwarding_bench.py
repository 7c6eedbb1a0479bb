"""A forwarder over targets in memory, for tests in virtual time."""

import random

from ..clock import ManualClock
from ..forwarding import (
    CallerRequest,
    Forwarder,
    ForwardingDependencies,
    OutlierDetector,
    RetryBudget,
    RoutedTarget,
    RoutedTargetRegistry,
    SendCounts,
)
from ..forwarding.decisions import DecisionLog
from ..forwarding.retry_budget import RetryBudgetLimits
from ..forwarding.route_latencies import RouteLatencies
from ..forwarding.target_chooser import RoutedTargetChooser
from ..routing import (
    CallerLimits,
    Route,
    RoutingConfiguration,
    RoutingTable,
    WeightedService,
)
from .fake_transport import FakeTransport

DRAIN_S = 3.0


class ListDecisionLog(DecisionLog):
    """Keeps what was decided."""

    def __init__(self):
        self.lines: list[tuple[str, str, dict]] = []

    def record_sampled(self, event: str, request: str, **inputs: object) -> None:
        """Keep a decision."""
        self.lines.append((event, request, inputs))

    def warn(self, event: str, request: str, **inputs: object) -> None:
        """Keep a decision."""
        self.lines.append((event, request, inputs))


class ForwardingBench:
    """A forwarder with its parts.

    Parameters
    ----------
    clock : ManualClock
        Clock of the test.
    seed : int
        Seed of all choices.
    slack : float
        Repeats that all VMs may send to a service besides the ratio.
    """

    def __init__(self, clock: ManualClock, seed: int = 1, slack: float = 54.0):
        self.clock = clock
        source = random.Random(seed)
        self.transport = FakeTransport(clock)
        self.book = RoutedTargetRegistry(clock, DRAIN_S, self.transport.close_idle)
        self.table = RoutingTable(source)
        self.log = ListDecisionLog()
        self.troubled = OutlierDetector(clock)
        self.budget = RetryBudget(clock, RetryBudgetLimits(0.2, slack, 10.0), lambda: 7)
        clock.advance(10.0)  # the whole budget is there after one window
        self.parts = ForwardingDependencies(
            table=self.table,
            registry=self.book,
            transport=self.transport,
            chooser=RoutedTargetChooser(source, "dc0", self.troubled),
            retry_budget=self.budget,
            latencies=RouteLatencies(clock),
            outliers=self.troubled,
            decisions=self.log,
            send_counts=SendCounts(),
            clock=clock,
        )
        self.forwarder = Forwarder(self.parts)
        self._count = 0

    def set_up(self, routes: list[Route], replicas: int = 2, version: int = 1) -> None:
        """Bring routes in force and start the targets of their services."""
        configuration = RoutingConfiguration(version, tuple(routes), {}, CallerLimits())
        self.table.update(configuration)
        for service in sorted(self.table.referenced_services()):
            for number in range(replicas):
                self.add_target(f"{service}.{number}", service, f"dc{number}")

    def add_target(self, name: str, service: str, data_centre: str = "dc0") -> None:
        """Start a target."""
        self.book.update(make_target(name, service, data_centre))

    def make_request(self, path: str = "/a/x", patience: float = 1.0) -> CallerRequest:
        """Return a new request."""
        self._count += 1
        attempt = f"r{self._count}"
        return CallerRequest(attempt, "host", path, patience, self.clock.now())

    def run(self, path: str = "/a/x", patience: float = 1.0):
        """Serve a request."""
        request = self.make_request(path, patience)
        return self.forwarder.run(self.forwarder.find_route(request), request)

    def count_arrivals(self, service: str) -> int:
        """Return the requests that reached targets of a service."""
        return sum(
            len(target.arrivals)
            for name, target in self.transport.targets.items()
            if name.startswith(f"{service}.")
        )


def make_target(name: str, service: str, data_centre: str = "dc0", **fields):
    """Return a target's record."""
    known = {"slots": 2, "draining": False, "warm_up": 0.0, "started_ms": 1}
    known |= fields
    return RoutedTarget(name, service, "127.0.0.1", 1, data_centre, **known)


def make_search_route(shards: int = 20, lowest: float = 0.9, **fields) -> Route:
    """Return a route of searches."""
    known = {
        "name": "search",
        "host": "host",
        "prefix": "/a/",
        "idempotent": True,
        "timeout": 1.0,
        "latency_objective": 0.07,
        "priority": 1,
        "max_attempts": 2,
        "shards": tuple(f"s{number}" for number in range(shards)),
        "top_k": 5,
        "lowest_coverage": lowest,
    }
    return Route(**(known | fields))


def make_single_route(repeatable: bool = True, **fields) -> Route:
    """Return a route to one service."""
    known = {
        "name": "single",
        "host": "host",
        "prefix": "/one/",
        "idempotent": repeatable,
        "timeout": 5.0,
        "latency_objective": 0.6,
        "priority": 2,
        "max_attempts": 2,
        "services": (WeightedService("desk", 1.0),),
    }
    return Route(**(known | fields))
