"""Forwarding of callers' requests to the targets of the routed services.

The package chooses targets, sends requests, hedges and retries within a budget,
decides when a search stops waiting, and merges the parts of its answer. It does no
input or output of its own: a `TargetTransport` reaches the targets.
"""

from .answer import CallerAnswer, ForwardedAnswer, MergedAnswer
from .answer_deadlines import AnswerDeadlines
from .connection_shares import ConnectionShares
from .decisions import DecisionLog, NoDecisionLog
from .dependencies import ForwardingDependencies
from .forwarder import Forwarder
from .outlier_detector import OutlierDetector
from .probe_result import ProbeResult
from .request import CallerRequest
from .retry_budget import RetryBudget
from .routed_target import RoutedTarget
from .send_counts import SendCounts
from .target_limits import TargetLimits
from .target_registry import RoutedTargetRegistry
from .transport import TargetReply, TargetTransport
from .unsent_reason import UnsentReason

__all__ = [
    "AnswerDeadlines",
    "CallerAnswer",
    "CallerRequest",
    "ConnectionShares",
    "DecisionLog",
    "Forwarder",
    "ForwardingDependencies",
    "NoDecisionLog",
    "MergedAnswer",
    "ProbeResult",
    "RetryBudget",
    "RoutedTarget",
    "SendCounts",
    "OutlierDetector",
    "RoutedTargetRegistry",
    "TargetLimits",
    "TargetReply",
    "TargetTransport",
    "UnsentReason",
    "ForwardedAnswer",
]
