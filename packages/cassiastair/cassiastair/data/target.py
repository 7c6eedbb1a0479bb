"""A target: a back end that serves key ranges of a service."""

from dataclasses import dataclass

from .key_range import KeyRange


@dataclass(frozen=True, slots=True)
class Target:
    """Configuration of one back end of a service.

    Parameters
    ----------
    name : str
        Name of the target.
    service : str
        Name of the service whose records the target serves.
    data_centre : str
        Data centre in which the target runs.
    host : str
        IP address on which the target listens.
    port : int
        TCP port on which the target listens.
    ranges : tuple of KeyRange
        Key ranges that the target serves.
    slots : int
        Number of requests that the target processes concurrently.
    connection_limit : int
        Number of connections that the target accepts from all VMs together.
    draining : bool
        Whether the configuration drains the target, so that it gets no new work.
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
        """Return True if one range of the target covers the whole key range."""
        return any(own.covers(key_range) for own in self.ranges)
