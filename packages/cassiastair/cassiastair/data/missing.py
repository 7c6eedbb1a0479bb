"""One part of the key space that an answer lacks."""

from dataclasses import dataclass

from .key_range import KeyRange
from .reason import Reason


@dataclass(frozen=True, slots=True)
class Missing:
    """A missing key range of a service, with the reason.

    Parameters
    ----------
    service : str
        Name of the service.
    key_range : KeyRange
        Keys that the answer does not cover.
    reason : Reason
        Why they are missing.
    """

    service: str
    key_range: KeyRange
    reason: Reason
