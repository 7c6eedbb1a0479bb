"""Result of a request, retained for repeats under its id."""

from dataclasses import dataclass

from ..data import Outcome


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Final outcome of a request and the reply to each try.

    Parameters
    ----------
    outcome : Outcome
        Whether the request ran.
    result : dict
        Result that the target returned, or the JSON form of the error.
    status : int
        HTTP status of the reply, the same for the first try and each repeat.
    """

    outcome: Outcome
    result: dict
    status: int
