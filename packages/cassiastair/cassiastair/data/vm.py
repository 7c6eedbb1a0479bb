"""One VM of the system, in one incarnation."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Vm:
    """Where a daemon listens and which run of it this is.

    Parameters
    ----------
    name : str
        Name of the VM.
    incarnation : str
        Identity of this run of the daemon; a replaced VM has another.
    data_centre : str
        Data centre that it runs in.
    host : str
        IP number that it listens on.
    api_port, peer_port : int
        TCP ports for callers and for peers.
    """

    name: str
    incarnation: str
    data_centre: str
    host: str
    api_port: int
    peer_port: int
