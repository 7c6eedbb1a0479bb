"""Settings of an entry daemon that forwards by routes."""

from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Validated settings, as the adapter of the platform decodes them.

    Parameters
    ----------
    vm : str
        Name of this VM.
    data_centre : str
        Data centre of this VM.
    host : str
        IP address of this VM.
    caller_address, ready_address, peer_address : (str, int)
        Addresses to listen on for callers, readiness checks and peers.
    seed_peers : tuple of (str, int)
        Addresses of some peers to dial first; they may be outdated.
    store_address : (str, int)
        Address of the platform's store.
    target_drain_s : float
        Seconds after which a draining target must not get requests.
    stop_grace_s : float
        Seconds from the stop signal to the end of the process.
    record_lapse_s : float
        Seconds of silence after which the store removes the record of a target.
    config_apply_s : float
        Seconds within which a new configuration must be in force.
    retry_ratio, retry_slack, retry_window_s : float
        Limits on the extra sends of all VMs, see `RetryBudgetLimits`.
    memory_bytes : int
        Memory above which the platform ends the process.
    max_sockets : int
        Sockets that the process may have open.
    """

    vm: str
    data_centre: str
    host: str
    caller_address: Address
    ready_address: Address
    peer_address: Address
    seed_peers: tuple[Address, ...]
    store_address: Address
    target_drain_s: float
    stop_grace_s: float
    record_lapse_s: float
    config_apply_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    memory_bytes: int
    max_sockets: int
