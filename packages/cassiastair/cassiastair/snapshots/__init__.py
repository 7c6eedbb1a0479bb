"""Which snapshot a search answers from, and what its answer covers."""

from .choice import choose_snapshot
from .held_versions_table import HeldVersionsTable
from .merge import AnswerMerge

__all__ = ["AnswerMerge", "HeldVersionsTable", "choose_snapshot"]
