"""Numbered changes of configuration."""

from dataclasses import dataclass

from .index import Index
from .object_key import ObjectKey
from .service import Service
from .target import Target


@dataclass(frozen=True, slots=True)
class Change:
    """The whole new state of one object.

    Parameters
    ----------
    key : ObjectKey
        Object that is changed.
    state : Index, Service, Target or None
        Its whole new state; None removes it.
    """

    key: ObjectKey
    state: Index | Service | Target | None


@dataclass(frozen=True, slots=True)
class Ticket:
    """A set of changes that come into force together.

    Parameters
    ----------
    number : int
        Number of the ticket; for each object the highest number wins.
    changes : tuple of Change
        One change for each object that the ticket touches.
    """

    number: int
    changes: tuple[Change, ...]
