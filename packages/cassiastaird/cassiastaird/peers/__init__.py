"""The adapter for peer links: websockets that carry CBOR."""

from .link_manager import LinkManager
from .server import PeerServer

__all__ = ["LinkManager", "PeerServer"]
