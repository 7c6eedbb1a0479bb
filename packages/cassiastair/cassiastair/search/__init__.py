"""Searches and lookups: scatter to shards, merge, restart at another version."""

from .answer import SearchAnswer
from .engine import SearchEngine
from .parts import SearchParts
from .request import SearchRequest
from .service_tails import ServiceTails

__all__ = [
    "SearchAnswer",
    "SearchEngine",
    "SearchParts",
    "SearchRequest",
    "ServiceTails",
]
