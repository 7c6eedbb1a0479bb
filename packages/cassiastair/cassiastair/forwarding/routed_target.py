"""Record of a target that serves requests by routes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutedTarget:
    """A running target of one service, as it registered with the platform.

    Parameters
    ----------
    name : str
        Name of the target, in most cases unique to this process.
    service : str
        Service that the target belongs to.
    host : str
        IP address.
    port : int
        TCP port.
    data_centre : str
        Data centre in which the target runs.
    slots : int
        Number of requests that the target processes concurrently.
    draining : bool
        Whether the target is about to stop and must get no new requests.
    warm_up : float
        Seconds after its start during which the target is slow.
    started_ms : int
        Start time of the process in Unix milliseconds, 0 if unknown. It tells a
        restarted target from its predecessor of the same name.
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    warm_up: float
    started_ms: int

    def is_same_incarnation(self, other: "RoutedTarget | None") -> bool:
        """Return True if another record describes the same process."""
        return other is not None and (
            (self.name, self.service, self.host, self.port, self.started_ms)
            == (other.name, other.service, other.host, other.port, other.started_ms)
        )
