"""HTTP interface for callers and operators."""

from .app import Api
from .connections import ApiConnections

__all__ = ["Api", "ApiConnections"]
