"""The adapter for peer links: websockets that carry CBOR."""

from .keeper import LinkKeeper
from .server import PeerServer

__all__ = ["LinkKeeper", "PeerServer"]
