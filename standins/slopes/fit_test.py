"""Tests of the least-squares fit."""

from testtools import TestCase

from .fit import fit_line


class TestFitLine(TestCase):
    """fit_line returns the line through exact points and rejects too few."""

    def test_exact_line(self):
        slope = fit_line("x", [(1, 5), (2, 7), (4, 11)])
        assert round(slope.slope, 9) == 2
        assert round(slope.base, 9) == 3
        assert slope.residual < 1e-9

    def test_two_points_are_refused(self):
        self.assertRaises(ValueError, fit_line, "x", [(1, 1), (2, 2)])
