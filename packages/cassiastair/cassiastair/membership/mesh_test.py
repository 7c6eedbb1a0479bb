"""Tests of the mesh: it is connected, with a small degree and few hops."""

import random
from collections import deque

from testtools import TestCase

from ..data import Vm
from .mesh import choose_links


def make_vms(centres: int, per_centre: int) -> list[Vm]:
    """Return the VMs of a number of data centres."""
    return [
        Vm(f"vm{c}-{n}", "r", f"dc{c}", "127.0.0.1", 1, 2)
        for c in range(centres)
        for n in range(per_centre)
    ]


def build_links(vms: list[Vm]) -> dict[str, set[str]]:
    """Return the links of all VMs, in both directions."""
    links: dict[str, set[str]] = {vm.name: set() for vm in vms}
    for vm in vms:
        for peer in choose_links(vm, vms, 6, 2):
            links[vm.name].add(peer)
            links[peer].add(vm.name)
    return links


def measure_reach(links: dict[str, set[str]], start: str) -> tuple[int, int]:
    """Return the number of VMs reachable from one, and the hops to the last."""
    depth = {start: 0}
    queue = deque([start])
    while queue:
        name = queue.popleft()
        for peer in links[name]:
            if peer not in depth:
                depth[peer] = depth[name] + 1
                queue.append(peer)
    return len(depth), max(depth.values())


class TestChooseLinks(TestCase):
    """Links that all VMs of a fleet choose."""

    def test_seven_vms_form_a_full_mesh(self):
        vms = make_vms(1, 7)
        for vm in vms:
            others = {other.name for other in vms} - {vm.name}
            assert choose_links(vm, vms, 6, 2) == others

    def test_degree_and_hops_stay_small_for_300_vms(self):
        links = build_links(make_vms(5, 60))
        assert max(map(len, links.values())) <= 16
        reached, hops = measure_reach(links, "vm0-0")
        assert reached == 300
        assert hops <= 7

    def test_mesh_stays_connected_without_a_tenth_of_its_vms(self):
        vms = make_vms(5, 60)
        links = build_links(vms)
        lost = set(random.Random(1).sample(sorted(links), 30))
        remaining = {
            name: peers - lost for name, peers in links.items() if name not in lost
        }
        reached, _ = measure_reach(remaining, next(iter(remaining)))
        assert reached == 270

    def test_mesh_is_connected_when_vms_know_different_peers(self):
        vms = make_vms(1, 40)
        rng = random.Random(2)
        links: dict[str, set[str]] = {vm.name: set() for vm in vms}
        for vm in vms:
            known = rng.sample(vms, 30)
            for peer in choose_links(vm, known, 6, 2):
                links[vm.name].add(peer)
                links[peer].add(vm.name)
        assert measure_reach(links, "vm0-0")[0] == 40
