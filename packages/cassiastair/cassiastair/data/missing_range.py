"""One part of the key space that an answer lacks."""

from dataclasses import dataclass

from .key_range import KeyRange
from .missing_reason import MissingReason


@dataclass(frozen=True, slots=True)
class MissingRange:
    """A missing key range of a service, with the reason.

    Parameters
    ----------
    service : str
        Name of the service.
    key_range : KeyRange
        Keys that the answer does not cover.
    reason : MissingReason
        Why they are missing.
    """

    service: str
    key_range: KeyRange
    reason: MissingReason
