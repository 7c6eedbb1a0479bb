"""Tests of positions and the numbers that stand for them."""

from itertools import pairwise

from testtools import TestCase

from .store_position import StorePosition

HIGHEST_REVISION = 2**63 - 1


class TestStorePosition(TestCase):
    """Order and numbers of positions."""

    POSITIONS = (
        StorePosition(-1, -1),
        StorePosition(0, 0),
        StorePosition(0, HIGHEST_REVISION),
        StorePosition(1, 0),
        StorePosition(1, 7),
        StorePosition(HIGHEST_REVISION, 0),
        StorePosition(HIGHEST_REVISION, HIGHEST_REVISION),
    )

    def test_numbers_order_as_positions_do(self):
        for lower, higher in pairwise(self.POSITIONS):
            assert lower < higher
            assert lower.to_number() < higher.to_number()

    def test_number_stands_for_one_position(self):
        for position in self.POSITIONS:
            assert StorePosition.from_number(position.to_number()) == position

    def test_releases_without_eras_have_the_same_numbers_in_the_first(self):
        assert StorePosition(0, 7).to_number() == 7
        assert StorePosition(-1, -1).to_number() == -1
