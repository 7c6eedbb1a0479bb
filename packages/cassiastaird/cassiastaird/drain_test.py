"""Tests of the graceful shutdown."""

from cassiastair.clock import ManualClock
from testtools import TestCase

from .drain import Drain


class TestDrain(TestCase):
    """Requests in progress come to their end."""

    def test_waits_for_requests(self):
        clock = ManualClock()
        drain = Drain()
        request = drain.track_request()
        request.__enter__()
        slept = []

        def sleep(seconds):
            clock.advance(seconds)
            slept.append((drain.draining, drain.refusing))
            if len(slept) == 5:
                request.__exit__(None, None, None)

        assert drain.run(clock, sleep, lag_s=3.0, hard_stop_s=60.0)
        assert slept[0] == (True, False)  # the balancer may still send work
        assert slept[1] == (True, True)

    def test_hard_stop(self):
        clock = ManualClock()
        drain = Drain()
        with drain.track_request():
            assert not drain.run(clock, clock.advance, lag_s=0.0, hard_stop_s=1.0)
