"""Serving one request through targets: choice, repeats, timing and merging."""

from .answer import CallerAnswer, ForwardedAnswer, MergedAnswer
from .answer_deadlines import AnswerDeadlines
from .decisions import DecisionLog, NoDecisionLog
from .dependencies import ForwardingDependencies
from .forwarder import Forwarder
from .outlier_detector import OutlierDetector
from .request import CallerRequest
from .retry_budget import RetryBudget
from .routed_target import RoutedTarget
from .send_counts import SendCounts
from .target_registry import RoutedTargetRegistry
from .transport import TargetReply, TargetTransport

__all__ = [
    "AnswerDeadlines",
    "CallerAnswer",
    "CallerRequest",
    "DecisionLog",
    "Forwarder",
    "ForwardingDependencies",
    "NoDecisionLog",
    "MergedAnswer",
    "RetryBudget",
    "RoutedTarget",
    "SendCounts",
    "OutlierDetector",
    "RoutedTargetRegistry",
    "TargetReply",
    "TargetTransport",
    "ForwardedAnswer",
]
