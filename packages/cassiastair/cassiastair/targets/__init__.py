"""Targets as this VM sees them: statistics, choice, concurrency limits, client."""

from .chooser import (
    PowerOfTwoChooser,
    RandomChooser,
    ReportedLoadChooser,
    TargetChooser,
)
from .client import TargetClient
from .failures import (
    BadAnswerFailure,
    BrokenFailure,
    ConnectFailure,
    ConnectionLimitFailure,
    NotHeldFailure,
    NotSentFailure,
    RefusedFailure,
    TargetFailure,
)
from .registry import TargetRegistry
from .report import TargetReport
from .target_stats import TargetStats

__all__ = [
    "BadAnswerFailure",
    "BrokenFailure",
    "ConnectFailure",
    "ConnectionLimitFailure",
    "TargetStats",
    "PowerOfTwoChooser",
    "NotHeldFailure",
    "NotSentFailure",
    "RandomChooser",
    "RefusedFailure",
    "ReportedLoadChooser",
    "TargetChooser",
    "TargetClient",
    "TargetFailure",
    "TargetRegistry",
    "TargetReport",
]
