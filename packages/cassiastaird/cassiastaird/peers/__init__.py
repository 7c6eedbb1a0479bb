"""Peer links over websockets, with messages encoded as CBOR."""

from .link_manager import LinkManager
from .server import PeerServer

__all__ = ["LinkManager", "PeerServer"]
