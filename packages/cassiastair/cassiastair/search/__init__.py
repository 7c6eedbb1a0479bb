"""Searches and lookups: scatter to shards, merge, restart at another version."""

from .answer import SearchAnswer
from .dependencies import SearchDependencies
from .engine import SearchEngine
from .request import SearchRequest
from .tail_tolerance import TailTolerances

__all__ = [
    "SearchAnswer",
    "SearchEngine",
    "SearchDependencies",
    "SearchRequest",
    "TailTolerances",
]
