"""Choice of the snapshot that a search answers from, and merge of its answers."""

from .choice import choose_snapshot
from .held_versions_table import HeldVersionsTable
from .merge import AnswerMerge

__all__ = ["AnswerMerge", "HeldVersionsTable", "choose_snapshot"]
