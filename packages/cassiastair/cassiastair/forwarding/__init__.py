"""Serving one request through targets: choice, repeats, timing and merging."""

from .answer import CallerAnswer, PartsAnswer, WholeAnswer
from .answer_time import AnswerTime
from .book import TargetBook
from .decisions import DecisionLog, NoDecisionLog
from .forwarder import Forwarder
from .parts import ForwardingParts
from .repeat_budget import RepeatBudget
from .request import CallerRequest
from .routed_target import RoutedTarget
from .send_counts import SendCounts
from .transport import TargetReply, TargetTransport
from .troubled_targets import TroubledTargets

__all__ = [
    "AnswerTime",
    "CallerAnswer",
    "CallerRequest",
    "DecisionLog",
    "Forwarder",
    "ForwardingParts",
    "NoDecisionLog",
    "PartsAnswer",
    "RepeatBudget",
    "RoutedTarget",
    "SendCounts",
    "TroubledTargets",
    "TargetBook",
    "TargetReply",
    "TargetTransport",
    "WholeAnswer",
]
