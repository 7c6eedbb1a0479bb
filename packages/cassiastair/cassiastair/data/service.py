"""A service: one customer's records, cut into shards by key range."""

from dataclasses import dataclass

from .key_range import KeyRange
from .policy import Policy


@dataclass(frozen=True, slots=True)
class Service:
    """One service and the bounds of its shards.

    Parameters
    ----------
    name : str
        Name of the service.
    index : str
        Index that it belongs to.
    shards : tuple of KeyRange
        Shards in key order; together they are the whole key space.
    policy : Policy
        The operator's choices for it.
    """

    name: str
    index: str
    shards: tuple[KeyRange, ...]
    policy: Policy
