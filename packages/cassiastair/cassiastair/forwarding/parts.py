"""The collaborators of forwarding."""

from dataclasses import dataclass

from ..clock import Clock
from ..routing import RoutingTable
from .book import TargetBook
from .choice import RoutedChooser
from .decisions import DecisionLog
from .latencies import KindLatencies
from .repeat_budget import RepeatBudget
from .send_counts import SendCounts
from .transport import TargetTransport
from .troubled_targets import TroubledTargets


@dataclass(frozen=True, slots=True)
class ForwardingParts:
    """What the composition root wires into the forwarder.

    Parameters
    ----------
    table : RoutingTable
        Routes in force.
    book : TargetBook
        Targets of each service.
    transport : TargetTransport
        Sends to targets.
    chooser : RoutedChooser
        Chooses among targets.
    budget : RepeatBudget
        Bounds repeats.
    latencies : KindLatencies
        Latencies of each kind of request.
    troubled : TroubledTargets
        Targets that VMs of the data centre have seen slow or failing.
    decisions : DecisionLog
        Takes what is decided about requests.
    counts : SendCounts
        Counts sends.
    clock : Clock
        Source of time.
    """

    table: RoutingTable
    book: TargetBook
    transport: TargetTransport
    chooser: RoutedChooser
    budget: RepeatBudget
    latencies: KindLatencies
    troubled: TroubledTargets
    decisions: DecisionLog
    counts: SendCounts
    clock: Clock
