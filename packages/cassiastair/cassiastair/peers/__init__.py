"""Links, messages and nodes through which VMs exchange state and membership."""

from .link import LinkClosed, PeerLink
from .mesh_node import MeshNode
from .messages import (
    Bye,
    Call,
    DigestFrame,
    Entries,
    Heartbeat,
    Hello,
    Leaving,
    LeavingList,
    Marks,
    Members,
    Message,
    Reply,
    Want,
)
from .node import TicketNode

__all__ = [
    "Bye",
    "Call",
    "DigestFrame",
    "Entries",
    "Heartbeat",
    "Hello",
    "Leaving",
    "LeavingList",
    "LinkClosed",
    "Marks",
    "Members",
    "MeshNode",
    "Message",
    "PeerLink",
    "Reply",
    "TicketNode",
    "Want",
]
