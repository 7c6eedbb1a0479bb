"""Tickets, which are numbered changes of the configuration."""

from dataclasses import dataclass

from .index import Index
from .object_key import ObjectKey
from .service import Service
from .target import Target


@dataclass(frozen=True, slots=True)
class Change:
    """Replacement of the whole state of one object.

    Parameters
    ----------
    key : ObjectKey
        Key of the changed object.
    state : Index, Service, Target or None
        Complete new state of the object; None removes the object.
    """

    key: ObjectKey
    state: Index | Service | Target | None


@dataclass(frozen=True, slots=True)
class Ticket:
    """A set of changes that take effect together.

    Parameters
    ----------
    number : int
        Number of the ticket; for each object, the highest number wins.
    changes : tuple of Change
        Changes, at most one for each object.
    """

    number: int
    changes: tuple[Change, ...]
