"""Targets as this VM sees them: evidence, choice, limits and the client."""

from .chooser import EvidenceChooser, RandomChooser, ReportChooser, TargetChooser
from .client import TargetClient
from .evidence import Evidence
from .failures import (
    BadAnswerFailure,
    BrokenFailure,
    ConnectFailure,
    NotHeldFailure,
    RefusedFailure,
    TargetFailure,
)
from .fleet import TargetFleet
from .report import TargetReport

__all__ = [
    "BadAnswerFailure",
    "BrokenFailure",
    "ConnectFailure",
    "Evidence",
    "EvidenceChooser",
    "NotHeldFailure",
    "RandomChooser",
    "RefusedFailure",
    "ReportChooser",
    "TargetChooser",
    "TargetClient",
    "TargetFailure",
    "TargetFleet",
    "TargetReport",
]
