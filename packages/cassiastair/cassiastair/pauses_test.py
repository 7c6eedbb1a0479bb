"""Tests of the detection of pauses."""

from testtools import TestCase

from .clock import ManualClock
from .pauses import PAUSE_LIMIT_S, PauseDetector


class TestPauseDetector(TestCase):
    """A pause makes beliefs stale until somebody confirms them."""

    def test_the_dispatch_may_wake_before_the_tick(self):
        clock = ManualClock()
        pauses = PauseDetector(clock)
        for _ in range(10):
            clock.advance(0.25)
            assert not pauses.check()
        clock.advance(PAUSE_LIMIT_S + 0.1)
        assert pauses.check()
        clock.advance(0.25)
        assert pauses.check()
        pauses.confirm()
        assert not pauses.check()
        assert pauses.pauses == 1
