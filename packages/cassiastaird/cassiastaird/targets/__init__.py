"""The adapter for the targets' HTTP protocol."""

from .client import HttpTargetClient

__all__ = ["HttpTargetClient"]
