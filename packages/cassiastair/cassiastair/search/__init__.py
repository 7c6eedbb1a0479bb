"""Searches and lookups over the shards of an index.

The engine chooses a snapshot, sends the query to one target of each shard, merges the
answers, and starts again at another snapshot if targets no longer hold the first one.
"""

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
