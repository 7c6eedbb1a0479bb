"""An index: the services that one search covers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Index:
    """A set of services that are searched together and versioned together.

    Parameters
    ----------
    name : str
        Name that callers give in a search.
    epoch : int
        Partition epoch, which increases with each change of the shards of a service
        of the index.
    services : tuple of str
        Names of the services.
    """

    name: str
    epoch: int
    services: tuple[str, ...]
