"""At-most-once execution of non-idempotent requests.

The issuer hands out request ids and runs the request of each id at most once. The
writer sends such a request to a target.
"""

from .issuer import RequestIdIssuer
from .result import RequestResult

__all__ = ["RequestIdIssuer", "RequestResult"]
