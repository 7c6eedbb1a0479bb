"""Client of the HTTP protocol of the platform's configuration service."""

from .client import HttpPlatformSource

__all__ = ["HttpPlatformSource"]
