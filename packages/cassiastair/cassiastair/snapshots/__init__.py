"""Which snapshot a search answers from, and what its answer covers."""

from .choice import choose_snapshot
from .held_table import HeldTable
from .merge import AnswerMerge

__all__ = ["AnswerMerge", "HeldTable", "choose_snapshot"]
