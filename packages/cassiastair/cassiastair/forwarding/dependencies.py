"""Collaborators that the classes of the package share."""

from dataclasses import dataclass

from ..clock import Clock
from ..routing import RoutingTable
from .decisions import DecisionLog
from .outlier_detector import OutlierDetector
from .retry_budget import RetryBudget
from .route_latencies import RouteLatencies
from .send_counts import SendCounts
from .target_chooser import RoutedTargetChooser
from .target_limits import TargetLimits
from .target_registry import RoutedTargetRegistry
from .transport import TargetTransport


@dataclass(frozen=True, slots=True)
class ForwardingDependencies:
    """Collaborators of a forwarder, built once by the daemon.

    Parameters
    ----------
    table : RoutingTable
        Routes in force.
    registry : RoutedTargetRegistry
        Targets of each service.
    transport : TargetTransport
        Sends requests to targets.
    chooser : RoutedTargetChooser
        Chooses the target of each send.
    retry_budget : RetryBudget
        Bounds hedges and retries.
    latencies : RouteLatencies
        Latency statistics of each route.
    outliers : OutlierDetector
        Slow and failing targets, as seen by the VMs of the data centre.
    limits : TargetLimits
        Request rates that targets have named.
    decision_log : DecisionLog
        Log of decisions about requests.
    send_counts : SendCounts
        Numbers of sends for the metrics.
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
    limits: TargetLimits
    decision_log: DecisionLog
    send_counts: SendCounts
    clock: Clock
