"""Tests of the mesh: small degree, connected, short ways."""

import random
from collections import deque

from testtools import TestCase

from ..data import Vm
from .mesh import choose_links


def make_vms(centres: int, per_centre: int) -> list[Vm]:
    """Return the VMs of some data centres."""
    return [
        Vm(f"vm{c}-{n}", "r", f"dc{c}", "127.0.0.1", 1, 2)
        for c in range(centres)
        for n in range(per_centre)
    ]


def link_all(vms: list[Vm]) -> dict[str, set[str]]:
    """Return the links of all VMs, in both directions."""
    links: dict[str, set[str]] = {vm.name: set() for vm in vms}
    for vm in vms:
        for peer in choose_links(vm, vms, 6, 2):
            links[vm.name].add(peer)
            links[peer].add(vm.name)
    return links


def measure_depth(links: dict[str, set[str]], start: str) -> tuple[int, int]:
    """Return how many VMs are reached from one, and in how many hops."""
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
    """Links of the mesh."""

    def test_full_mesh_at_todays_size(self):
        vms = make_vms(1, 7)
        for vm in vms:
            others = {other.name for other in vms} - {vm.name}
            assert choose_links(vm, vms, 6, 2) == others

    def test_degree_does_not_grow_and_ways_stay_short(self):
        links = link_all(make_vms(5, 60))
        assert max(map(len, links.values())) <= 16
        reached, hops = measure_depth(links, "vm0-0")
        assert reached == 300
        assert hops <= 7

    def test_stays_connected_without_a_tenth_of_the_vms(self):
        vms = make_vms(5, 60)
        links = link_all(vms)
        lost = set(random.Random(1).sample(sorted(links), 30))
        left = {name: peers - lost for name, peers in links.items() if name not in lost}
        reached, _ = measure_depth(left, next(iter(left)))
        assert reached == 270

    def test_views_that_differ_still_link(self):
        vms = make_vms(1, 40)
        source = random.Random(2)
        links: dict[str, set[str]] = {vm.name: set() for vm in vms}
        for vm in vms:
            known = source.sample(vms, 30)
            for peer in choose_links(vm, known, 6, 2):
                links[vm.name].add(peer)
                links[peer].add(vm.name)
        assert measure_depth(links, "vm0-0")[0] == 40
