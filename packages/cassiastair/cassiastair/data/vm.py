"""An entry VM in one incarnation."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Vm:
    """Addresses and identity of one run of an entry daemon.

    Parameters
    ----------
    name : str
        Name of the VM.
    incarnation : str
        Identity of this run of the daemon; it changes when the VM is replaced.
    data_centre : str
        Data centre in which the VM runs.
    host : str
        IP address on which the daemon listens.
    api_port, peer_port : int
        TCP ports for callers and for peers.
    """

    name: str
    incarnation: str
    data_centre: str
    host: str
    api_port: int
    peer_port: int
