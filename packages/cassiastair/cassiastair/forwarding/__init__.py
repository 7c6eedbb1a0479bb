"""Serving one request through targets: choice, repeats, timing and merging."""

from .answer import CallerAnswer, ForwardedAnswer, MergedAnswer
from .answer_time import AnswerDeadlines
from .book import RoutedTargetRegistry
from .decisions import DecisionLog, NoDecisionLog
from .forwarder import Forwarder
from .parts import ForwardingDependencies
from .repeat_budget import RetryBudget
from .request import CallerRequest
from .routed_target import RoutedTarget
from .send_counts import SendCounts
from .transport import TargetReply, TargetTransport
from .troubled_targets import OutlierDetector

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
