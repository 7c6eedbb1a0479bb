"""Tests of the extra load budget, latency quantiles and hedge policies."""

import random

from testtools import TestCase

from ..clock import ManualClock
from .budget import ExtraLoadBudget
from .hedge import QuantileHedge
from .quantile import GROWTH, MIN_SAMPLES, RollingQuantile


class TestExtraLoadBudget(TestCase):
    """Extra subrequests in proportion to ordinary ones."""

    def test_extra_load_is_bounded_by_share_and_burst(self):
        budget = ExtraLoadBudget(0.1, burst=3)
        allowed = 0
        for _ in range(1000):
            budget.deposit(1)
            allowed += budget.try_spend()
        assert 100 <= allowed <= 103

    def test_zero_share_allows_nothing(self):
        assert not ExtraLoadBudget(0.0).try_spend()


class TestRollingQuantile(TestCase):
    """Quantiles of recent latencies."""

    def test_result_is_close_to_the_exact_quantile(self):
        quantiles = RollingQuantile(ManualClock())
        rng = random.Random(1)
        samples = [rng.lognormvariate(-5, 1) for _ in range(5000)]
        for sample in samples:
            quantiles.observe(sample)
        samples.sort()
        for quantile in (0.5, 0.9, 0.99):
            exact = samples[int(quantile * len(samples))]
            assert exact / GROWTH**2 < quantiles.find(quantile) < exact * GROWTH**2

    def test_old_latencies_are_forgotten(self):
        clock = ManualClock()
        quantiles = RollingQuantile(clock)
        for _ in range(MIN_SAMPLES):
            quantiles.observe(1.0)
        assert quantiles.find(0.5) > 0.5
        clock.advance(30)
        assert quantiles.find(0.5) is None


class TestQuantileHedge(TestCase):
    """Delay of a hedge."""

    def test_no_hedge_without_samples_or_when_turned_off(self):
        clock = ManualClock()
        assert QuantileHedge(clock, 0.95, 0.05).delay() is None
        off = QuantileHedge(clock, 1.0, 0.05)
        for _ in range(100):
            off.observe(0.01)
        assert off.delay() is None
