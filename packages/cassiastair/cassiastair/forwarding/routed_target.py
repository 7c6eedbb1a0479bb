"""One target as it registered itself."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutedTarget:
    """A running target of one service.

    Parameters
    ----------
    name : str
        Identity of this run of the target, in most cases.
    service : str
        Service that it serves.
    host : str
        IP number.
    port : int
        TCP port.
    data_centre : str
        Where it runs.
    slots : int
        Requests that it processes at the same time.
    draining : bool
        Whether it is about to stop and gets no new work.
    warm_up : float
        Seconds for which it stays slow after its start.
    started_ms : int
        Unix milliseconds of its start; tells two runs under one name apart. 0 if
        unknown.
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
        """Tell whether another record is of the same run of the same target."""
        return other is not None and (
            (self.name, self.service, self.host, self.port, self.started_ms)
            == (other.name, other.service, other.host, other.port, other.started_ms)
        )
