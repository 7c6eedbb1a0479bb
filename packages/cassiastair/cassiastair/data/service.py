"""A service: the records of one customer, divided into shards by key range."""

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
        Name of the index that the service belongs to.
    shards : tuple of KeyRange
        Shards in key order, which together cover the whole key space.
    policy : Policy
        Settings of the operator for the service.
    """

    name: str
    index: str
    shards: tuple[KeyRange, ...]
    policy: Policy
