"""Client of the HTTP protocol between the entry daemon and its targets."""

from .client import HttpTargetClient

__all__ = ["HttpTargetClient"]
