"""What the issuer remembers of one request id."""

from dataclasses import dataclass

from ..data import Outcome


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The final answer of a request.

    Parameters
    ----------
    outcome : Outcome
        What became of the request.
    result : dict
        The target's result, or the error's plain form.
    status : int
        HTTP status that the caller gets, at the first try and at each repeat.
    """

    outcome: Outcome
    result: dict
    status: int
