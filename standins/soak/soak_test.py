"""A short soak with fixed seeds, and each seed that ever failed."""

import tempfile
from pathlib import Path

from testtools import TestCase

from .plan import KINDS, draw_plan, pick
from .soak import Soak

SEEDS = (2, 3)  # a failing store with vanishing targets; two reshards with a stop
# Seeds that failed once, each with its cause in a comment.
REGRESSIONS: tuple[int, ...] = ()


class TestPlan(TestCase):
    """Plans are drawn from their seeds."""

    def test_same_seed_same_plan(self):
        assert draw_plan(7) == draw_plan(7)
        assert draw_plan(7) != draw_plan(8)

    def test_all_kinds_come(self):
        drawn = {step.kind for seed in range(60) for step in draw_plan(seed)}
        assert drawn == set(KINDS)

    def test_every_choice_names_something(self):
        """Choices are rounded, so seed 7002 has one of 1.0."""
        assert any(step.choice == 1.0 for step in draw_plan(7002))
        assert pick(["a", "b"], 0.0) == "a"
        assert pick(["a", "b"], 1.0) == "b"


class TestSoak(TestCase):
    """The promises hold under faults."""

    def test_seeds(self):
        for seed in (*SEEDS, *REGRESSIONS):
            with tempfile.TemporaryDirectory() as folder:
                assert Soak(seed, Path(folder)).run() == [], f"seed {seed}"
