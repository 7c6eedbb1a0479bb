"""An index: the services that one search covers, under one partition epoch."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Index:
    """A set of services that are searched together and share versions.

    Parameters
    ----------
    name : str
        Name that callers search by.
    epoch : int
        Partition epoch; any change of a member service's shards raises it.
    services : tuple of str
        Names of the member services.
    """

    name: str
    epoch: int
    services: tuple[str, ...]
