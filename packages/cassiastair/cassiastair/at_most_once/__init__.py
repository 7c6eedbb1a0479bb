"""Non-idempotent requests, each run at most once."""

from .issuer import RequestIdIssuer
from .result import RequestResult

__all__ = ["RequestIdIssuer", "RequestResult"]
