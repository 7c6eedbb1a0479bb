"""Tests of the phases and the time limit of a shutdown."""

from cassiastair.clock import ManualClock
from testtools import TestCase

from .drain import Drain


class TestDrain(TestCase):
    """Waiting for requests in progress."""

    def test_run_waits_for_requests_in_progress(self):
        clock = ManualClock()
        drain = Drain()
        request = drain.track_request()
        request.__enter__()
        states = []

        def sleep(seconds):
            clock.advance(seconds)
            states.append((drain.draining, drain.refusing))
            if len(states) == 5:
                request.__exit__(None, None, None)

        assert drain.run(clock, sleep, lag_s=3.0, hard_stop_s=60.0)
        assert states[0] == (True, False)  # the load balancer may still send requests
        assert states[1] == (True, True)

    def test_run_gives_up_after_the_hard_stop(self):
        clock = ManualClock()
        drain = Drain()
        with drain.track_request():
            assert not drain.run(clock, clock.advance, lag_s=0.0, hard_stop_s=1.0)
