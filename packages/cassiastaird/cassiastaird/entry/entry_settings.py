"""Settings of an entry daemon that forwards by routes."""

from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Checked settings.

    Parameters
    ----------
    vm : str
        Name of this VM.
    data_centre : str
        Its data centre.
    host : str
        Its IP number.
    caller_address, ready_address, peer_address : (str, int)
        Where to listen for callers, questions of readiness, and peers.
    peers : tuple of (str, int)
        Addresses of some peers, which may be stale.
    store_address : (str, int)
        Address of the platform's store.
    drain : float
        Seconds after which a leaving target must not get requests.
    grace : float
        Seconds from the signal to stop to the end.
    apply : float
        Seconds in which a configuration comes in force.
    repeat_ratio, repeat_slack, repeat_window : float
        Bounds on repeated sends of all VMs, see `RetryBudgetLimits`.
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
    config_apply_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
