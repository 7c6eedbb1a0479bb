"""A target: one back end that serves key ranges of a service."""

from dataclasses import dataclass

from .key_range import KeyRange


@dataclass(frozen=True, slots=True)
class Target:
    """One back end of a service.

    Parameters
    ----------
    name : str
        Name of the target.
    service : str
        Service whose records it serves.
    data_centre : str
        Data centre that it runs in.
    host : str
        IP number that it listens on.
    port : int
        TCP port that it listens on.
    ranges : tuple of KeyRange
        Key ranges that it serves.
    slots : int
        Requests that it works on at the same time.
    connection_limit : int
        Connections that it accepts from all VMs together.
    draining : bool
        Whether the operator has told it to leave.
    """

    name: str
    service: str
    data_centre: str
    host: str
    port: int
    ranges: tuple[KeyRange, ...]
    slots: int
    connection_limit: int
    draining: bool = False

    def serves(self, key_range: KeyRange) -> bool:
        """Tell whether one of the target's ranges holds the whole range."""
        return any(own.covers(key_range) for own in self.ranges)
