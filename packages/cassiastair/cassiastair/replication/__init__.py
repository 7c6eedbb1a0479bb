"""Replication of the platform's key-value store to all VMs.

A few VMs of each data centre read the store and push its changes to their peers, so
that every VM holds a complete copy.
"""

from .client import HistoryGone, StoreClient, StorePage, StoreReadError
from .item import StoreItem
from .node import ReplicationNode
from .position import StorePosition
from .reader import StoreReader
from .replica import StoreReplica

__all__ = [
    "HistoryGone",
    "ReplicationNode",
    "StoreClient",
    "StoreItem",
    "StorePage",
    "StorePosition",
    "StoreReadError",
    "StoreReader",
    "StoreReplica",
]
