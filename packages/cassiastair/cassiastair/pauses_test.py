"""Tests of the detection of pauses of the process."""

from testtools import TestCase

from .clock import ManualClock
from .pauses import PAUSE_THRESHOLD_S, STALE_TIMEOUT_S, PauseDetector


class TestPauseDetector(TestCase):
    """A pause makes the state stale until contact or the timeout."""

    def test_first_check_after_a_pause_is_stale_until_contact(self):
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

    def test_isolated_vm_stops_being_stale_after_the_timeout(self):
        """Without the timeout, a VM that wakes up isolated refuses writes forever."""
        clock = ManualClock()
        pauses = PauseDetector(clock)
        clock.advance(PAUSE_THRESHOLD_S + 1)
        assert pauses.check()
        for _ in range(int(STALE_TIMEOUT_S / 0.25) + 1):
            clock.advance(0.25)
            pauses.check()
        assert not pauses.is_stale
