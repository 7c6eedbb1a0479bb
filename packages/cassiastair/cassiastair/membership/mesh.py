"""Choice of peer links: a mesh whose degree does not grow with the fleet.

The VMs form several rings, each in a different hash order, and link to both of their
neighbours on each ring. Any one ring keeps the mesh connected; several rings make its
diameter logarithmic. Some rings span one data centre, the others the whole fleet.
"""

from collections.abc import Iterable

from ..data import Vm
from .rendezvous import rank_by_rendezvous


def choose_links(
    own: Vm, vms: Iterable[Vm], degree: int, cross_degree: int
) -> set[str]:
    """Return the names of the VMs that a VM keeps links with.

    Parameters
    ----------
    own : Vm
        The VM whose links are chosen.
    vms : iterable of Vm
        All known VMs.
    degree : int
        Links inside the data centre; rounded up to two for each ring.
    cross_degree : int
        Links to other data centres; rounded up to two for each ring.
    """
    known = {vm.name: vm for vm in vms}
    known[own.name] = own
    local = [vm.name for vm in known.values() if vm.data_centre == own.data_centre]
    links = _find_neighbours(own.name, local, degree, f"local {own.data_centre}")
    links |= _find_remote_neighbours(own, known, cross_degree)
    return links


def _find_neighbours(own: str, names: list[str], degree: int, label: str) -> set[str]:
    """Return the neighbours of a VM on rings over the given names."""
    if len(names) <= degree + 1:
        return set(names) - {own}
    found: set[str] = set()
    for ring in range((degree + 1) // 2):
        order = rank_by_rendezvous(f"{label} {ring}", names)
        position = order.index(own)
        found.add(order[position - 1])
        found.add(order[(position + 1) % len(order)])
    return found - {own}


def _find_remote_neighbours(
    own: Vm, known: dict[str, Vm], cross_degree: int
) -> set[str]:
    """Return the nearest VMs of other data centres on rings over the fleet."""
    found: set[str] = set()
    if len({vm.data_centre for vm in known.values()}) < 2:
        return found
    for ring in range((cross_degree + 1) // 2):
        order = rank_by_rendezvous(f"fleet {ring}", known)
        position = order.index(own.name)
        for step in (-1, 1):
            found.add(_find_next_remote(own, known, order, position, step))
    return found


def _find_next_remote(
    own: Vm, known: dict, order: list, position: int, step: int
) -> str:
    """Return the next VM of another data centre in one direction of a ring."""
    while True:
        position = (position + step) % len(order)
        name = order[position]
        if known[name].data_centre != own.data_centre:
            return name
