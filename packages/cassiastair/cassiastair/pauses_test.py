"""Tests of the detection of pauses."""

from testtools import TestCase

from .clock import ManualClock
from .pauses import PAUSE_THRESHOLD_S, STALE_TIMEOUT_S, PauseDetector


class TestPauseDetector(TestCase):
    """A pause makes beliefs stale until somebody confirms them."""

    def test_the_dispatch_may_wake_before_the_tick(self):
        clock = ManualClock()
        pauses = PauseDetector(clock)
        for _ in range(10):
            clock.advance(0.25)
            assert not pauses.check()
        clock.advance(PAUSE_THRESHOLD_S + 0.1)
        assert pauses.check()
        clock.advance(0.25)
        assert pauses.check()
        pauses.record_contact()
        assert not pauses.check()
        assert pauses.pause_count == 1

    def test_a_vm_that_is_alone_goes_on(self):
        """Before, one that woke while cut off refused writes for good."""
        clock = ManualClock()
        pauses = PauseDetector(clock)
        clock.advance(PAUSE_THRESHOLD_S + 1)
        assert pauses.check()
        for _ in range(int(STALE_TIMEOUT_S / 0.25) + 1):
            clock.advance(0.25)
            pauses.check()
        assert not pauses.stale
