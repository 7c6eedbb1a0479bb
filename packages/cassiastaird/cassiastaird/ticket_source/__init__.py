"""The adapter for the platform's HTTP protocol."""

from .client import HttpPlatform

__all__ = ["HttpPlatform"]
