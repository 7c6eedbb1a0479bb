"""HTTP interface for callers and operators."""

from .app import Api

__all__ = ["Api"]
