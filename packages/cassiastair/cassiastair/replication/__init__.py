"""The platform's word: what it publishes, how it is read and passed on."""

from .item import StoreItem
from .node import ReplicationNode
from .reader import StoreReader
from .replica import StoreReplica
from .source import HistoryGone, StoreClient, StorePage, StoreReadError

__all__ = [
    "HistoryGone",
    "ReplicationNode",
    "StoreClient",
    "StoreItem",
    "StorePage",
    "StoreReadError",
    "StoreReader",
    "StoreReplica",
]
