"""Non-idempotent requests, each run at most once."""

from .issuer import RequestIssuer
from .record import RequestRecord

__all__ = ["RequestIssuer", "RequestRecord"]
