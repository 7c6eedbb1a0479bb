"""Tests of the routing table and of the weighted round robin."""

import random
from dataclasses import replace

import pytest
from testtools import TestCase

from ..testing.forwarding_bench import make_search_route, make_single_route
from .configuration import CallerLimits, RoutingConfiguration
from .route import WeightedService
from .table import RoutingTable
from .weighted_round_robin import SmoothWeightedRoundRobin


def configure(version: int, *routes) -> RoutingConfiguration:
    """Return a configuration with the given routes."""
    return RoutingConfiguration(version, routes, {}, CallerLimits())


class TestRoutingTable(TestCase):
    """Route matching and versions."""

    def setUp(self):
        super().setUp()
        self.table = RoutingTable(random.Random(1))

    def test_the_longest_prefix_of_the_host_matches(self):
        short = make_single_route(name="short", prefix="/a/")
        long = make_single_route(name="long", prefix="/a/b/")
        other = make_single_route(name="other", host="else", prefix="/a/b/c/")
        self.table.update(configure(1, short, long, other))
        assert self.table.find_route("host", "/a/b/c/d").name == "long"
        assert self.table.find_route("host", "/a/x").name == "short"
        assert self.table.find_route("else", "/a/b/c/d").name == "other"
        assert self.table.find_route("host", "/a") is None
        assert self.table.find_route("none", "/a/") is None

    @pytest.mark.proof(
        promise="tickets",
        failure="store: an older configuration comes later",
    )
    def test_an_older_version_is_never_applied(self):
        new = make_single_route(name="new")
        old = make_single_route(name="old")
        assert self.table.update(configure(7, new))
        assert not self.table.update(configure(6, old))
        assert not self.table.update(configure(7, old))
        assert self.table.find_route("host", "/one/x").name == "new"
        assert self.table.version == 7

    def test_the_round_robin_continues_when_other_routes_change(self):
        services = (WeightedService("a", 1), WeightedService("b", 1))
        route = make_single_route(services=services)
        self.table.update(configure(1, route))
        first = self.table.choose_service(route)
        self.table.update(configure(2, route, make_search_route()))
        assert self.table.choose_service(route) != first

    def test_changed_weights_apply_at_once(self):
        route = make_single_route(services=(WeightedService("a", 1),))
        self.table.update(configure(1, route))
        changed = replace(route, services=(WeightedService("b", 1),))
        self.table.update(configure(2, changed))
        assert self.table.choose_service(changed) == "b"


class TestSmoothWeightedRoundRobin(TestCase):
    """Shares of weighted services."""

    def test_counts_stay_close_to_the_shares_at_any_time(self):
        weights = {"a": 5.0, "b": 3.0, "c": 2.0}
        services = tuple(WeightedService(n, w) for n, w in weights.items())
        for phase in (0.0, 0.3, 0.99):
            round_robin = SmoothWeightedRoundRobin(services, phase)
            counts = dict.fromkeys(weights, 0)
            for done in range(1, 400):
                counts[round_robin.choose()] += 1
                for name, weight in weights.items():
                    assert abs(counts[name] - done * weight / 10) <= 1.8

    def test_a_service_of_weight_zero_gets_nothing(self):
        round_robin = SmoothWeightedRoundRobin(
            (WeightedService("a", 0), WeightedService("b", 2)), 0.5
        )
        assert {round_robin.choose() for _ in range(20)} == {"b"}
