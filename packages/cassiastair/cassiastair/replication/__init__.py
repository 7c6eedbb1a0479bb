"""Replication of the platform's key-value store to all VMs.

A few VMs of each data centre read the store and push its changes to their peers, so
that every VM holds a complete copy.
"""

from .client import HistoryGone, StoreClient, StorePage, StoreReadError
from .item import StoreItem
from .item_precedence import ItemPrecedence
from .node import ReplicationNode
from .reader import StoreReader
from .replica import StoreReplica
from .unconfirmed_items import UnconfirmedItems

__all__ = [
    "HistoryGone",
    "ItemPrecedence",
    "ReplicationNode",
    "StoreClient",
    "StoreItem",
    "StorePage",
    "StoreReadError",
    "StoreReader",
    "StoreReplica",
    "UnconfirmedItems",
]
