"""The collaborators of forwarding."""

from dataclasses import dataclass

from ..clock import Clock
from ..routing import RoutingTable
from .decisions import DecisionLog
from .outlier_detector import OutlierDetector
from .retry_budget import RetryBudget
from .route_latencies import RouteLatencies
from .send_counts import SendCounts
from .target_chooser import RoutedTargetChooser
from .target_registry import RoutedTargetRegistry
from .transport import TargetTransport


@dataclass(frozen=True, slots=True)
class ForwardingDependencies:
    """What the composition root wires into the forwarder.

    Parameters
    ----------
    table : RoutingTable
        Routes in force.
    book : RoutedTargetRegistry
        Targets of each service.
    transport : TargetTransport
        Sends to targets.
    chooser : RoutedTargetChooser
        Chooses among targets.
    budget : RetryBudget
        Bounds repeats.
    latencies : RouteLatencies
        Latencies of each kind of request.
    troubled : OutlierDetector
        Targets that VMs of the data centre have seen slow or failing.
    decisions : DecisionLog
        Takes what is decided about requests.
    counts : SendCounts
        Counts sends.
    clock : Clock
        Source of time.
    """

    table: RoutingTable
    registry: RoutedTargetRegistry
    transport: TargetTransport
    chooser: RoutedTargetChooser
    retry_budget: RetryBudget
    latencies: RouteLatencies
    outliers: OutlierDetector
    decisions: DecisionLog
    send_counts: SendCounts
    clock: Clock
