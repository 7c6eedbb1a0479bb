"""Shares of the VMs in the connections that each target accepts.

A target accepts a limited number of connections from all VMs together. Where there are
more VMs than connections, each VM keeps connections to a part of the targets only.
"""

from collections.abc import Callable

from ..membership.rendezvous import hash_pair

USED_SHARE = 0.85  # part of a target's limit; the rest is for VMs that join
LOCAL_SHARE = 0.6  # of the used part, for the target's own data centre if scarce
HASH_RANGE = 2.0**64


class ConnectionShares:
    """Decides to which targets this VM keeps connections, and how many.

    The decision depends on a hash of the VM and the target and on the number of VMs.
    It needs no agreement between VMs, each target is in the subsets of about as many
    VMs as it has room for, and a VM or target that joins or leaves changes few of the
    other decisions. VMs of the target's own data centre come first, because traffic
    between data centres is slower and charged.

    Parameters
    ----------
    vm : str
        Name of this VM.
    data_centre : str
        Data centre of this VM.
    get_connection_limit : callable
        Returns how many connections each target of a service accepts.
    count_vms : callable
        Returns the number of VMs, this one included.
    count_vms_in : callable
        Returns the number of VMs in a data centre, this one included.
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        get_connection_limit: Callable[[str], int],
        count_vms: Callable[[], int],
        count_vms_in: Callable[[str], int],
    ):
        self._vm = vm
        self._data_centre = data_centre
        self._get_connection_limit = get_connection_limit
        self._count_vms = count_vms
        self._count_vms_in = count_vms_in
        self._kept: dict[str, bool] = {}

    def limit(self, service: str) -> int:
        """Return how many connections this VM may have to a target of a service."""
        usable = USED_SHARE * self._get_connection_limit(service)
        return max(1, int(usable / self._count_vms()))

    def keeps(self, name: str, service: str, data_centre: str) -> bool:
        """Return True if this VM keeps connections to a target.

        To other targets it opens a connection for a single request.

        Parameters
        ----------
        name : str
            Name of the target.
        service : str
            Service of the target.
        data_centre : str
            Data centre of the target.
        """
        kept = self._kept.get(name)
        if kept is None:
            probability = self._compute_probability(service, data_centre)
            kept = hash_pair(name, self._vm) < probability * HASH_RANGE
            self._kept[name] = kept
        return kept

    def _compute_probability(self, service: str, data_centre: str) -> float:
        """Return the share of the VMs of this data centre that keep a connection."""
        usable = USED_SHARE * self._get_connection_limit(service)
        total = self._count_vms()
        if usable >= total:
            return 1.0
        local = min(total, self._count_vms_in(data_centre))
        local_connections = min(local, LOCAL_SHARE * usable)
        if data_centre == self._data_centre:
            return local_connections / max(1, local)
        return min(1.0, (usable - local_connections) / max(1, total - local))

    def forget_decisions(self) -> None:
        """Decide anew; called when limits or the number of VMs may have changed."""
        self._kept.clear()
