"""Forwarder over targets in memory, for tests in virtual time."""

import random
from collections.abc import Sequence

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
    TargetLimits,
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
    """Keeps all records of decisions in a list."""

    def __init__(self):
        self.records: list[tuple[str, str, dict]] = []

    def record_sampled(self, event: str, request: str, **inputs: object) -> None:
        """Append a record of a decision, whether or not the request is sampled."""
        self.records.append((event, request, inputs))

    def warn(self, event: str, request: str, **inputs: object) -> None:
        """Append a record of a failure, a refusal or an incomplete answer."""
        self.records.append((event, request, inputs))


class ForwardingBench:
    """Forwarder over targets in memory, with its dependencies.

    Parameters
    ----------
    clock : ManualClock
        Virtual clock.
    seed : int
        Seed of the random choices.
    slack : float
        Slack of the retry budget, see `RetryBudgetLimits`.
    transport : FakeTransport, optional
        Transport that the bench shares with others; a new one by default.
    vm : str
        Name of the VM.
    vms : sequence of str
        Names of all VMs.
    registry_class : type of RoutedTargetRegistry
        Class of the registry of targets.
    """

    def __init__(
        self,
        clock: ManualClock,
        seed: int = 1,
        slack: float = 54.0,
        transport: FakeTransport | None = None,
        vm: str = "vm0",
        vms: Sequence[str] = ("vm0",),
        registry_class: type[RoutedTargetRegistry] = RoutedTargetRegistry,
    ):
        self.clock = clock
        self._vm = vm
        rng = random.Random(seed)
        self.transport = transport or FakeTransport(clock)
        self.registry = registry_class(
            clock, DRAIN_S, self.transport.retire, lambda: 0.0
        )
        self.table = RoutingTable(rng)
        self.decisions = ListDecisionLog()
        self.outliers = OutlierDetector(clock)
        self.limits = TargetLimits(clock, vm, lambda: vms, lambda: max(7, len(vms)))
        self.retry_budget = RetryBudget(
            clock, RetryBudgetLimits(0.2, slack, 10.0), lambda: 7
        )
        clock.advance(10.0)  # in the first window only a part of the slack is allowed
        self.dependencies = ForwardingDependencies(
            table=self.table,
            registry=self.registry,
            transport=self.transport,
            chooser=RoutedTargetChooser(
                rng, "dc0", self.outliers, self.transport.keeps_connection
            ),
            retry_budget=self.retry_budget,
            latencies=RouteLatencies(clock),
            outliers=self.outliers,
            limits=self.limits,
            decision_log=self.decisions,
            send_counts=SendCounts(),
            clock=clock,
        )
        self.forwarder = Forwarder(self.dependencies)
        self._count = 0

    def set_up(self, routes: list[Route], replicas: int = 2, version: int = 1) -> None:
        """Put routes in force and add targets of their services.

        Parameters
        ----------
        routes : list of Route
            Routes of the new configuration.
        replicas : int
            Number of targets of each service, each in a data centre of its own.
        version : int
            Version of the configuration.
        """
        configuration = RoutingConfiguration(version, tuple(routes), {}, CallerLimits())
        self.table.update(configuration)
        for service in sorted(self.table.referenced_services()):
            for number in range(replicas):
                self.add_target(f"{service}.{number}", service, f"dc{number}")

    def add_target(self, name: str, service: str, data_centre: str = "dc0") -> None:
        """Add a target to the registry; the transport reaches it by its name."""
        self.registry.update(make_target(name, service, data_centre))

    def make_request(
        self, path: str = "/a/x", caller_timeout: float = 1.0
    ) -> CallerRequest:
        """Return a request with a new attempt ID, received now."""
        self._count += 1
        attempt_id = f"{self._vm}-r{self._count}"
        return CallerRequest(attempt_id, "host", path, caller_timeout, self.clock.now())

    def run(self, path: str = "/a/x", caller_timeout: float = 1.0):
        """Forward a new request; return the answer to the caller."""
        request = self.make_request(path, caller_timeout)
        return self.forwarder.run(self.forwarder.find_route(request), request)

    def count_arrivals(self, service: str) -> int:
        """Return how many sends the targets of a service received."""
        return sum(
            len(target.arrivals)
            for name, target in self.transport.targets.items()
            if name.startswith(f"{service}.")
        )


def make_target(name: str, service: str, data_centre: str = "dc0", **fields):
    """Return a target whose other fields have defaults."""
    defaults = {"slots": 2, "draining": False, "warm_up": 0.0, "started_ms": 1}
    defaults |= fields
    return RoutedTarget(name, service, "127.0.0.1", 1, data_centre, **defaults)


def make_search_route(
    shards: int = 20, lowest_coverage: float = 0.9, **fields
) -> Route:
    """Return a search route over services ``s0``, ``s1`` and so on, one per shard."""
    defaults = {
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
        "lowest_coverage": lowest_coverage,
    }
    return Route(**(defaults | fields))


def make_single_route(idempotent: bool = True, **fields) -> Route:
    """Return a route to the service ``desk``."""
    defaults = {
        "name": "single",
        "host": "host",
        "prefix": "/one/",
        "idempotent": idempotent,
        "timeout": 5.0,
        "latency_objective": 0.6,
        "priority": 2,
        "max_attempts": 2,
        "services": (WeightedService("desk", 1.0),),
    }
    return Route(**(defaults | fields))
