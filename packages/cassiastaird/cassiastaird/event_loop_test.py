"""Tests of errors that end the event loop."""

import sys
from unittest import mock

import eventlet
import pytest
from eventlet import hubs
from eventlet.event import Event
from testtools import TestCase

from .event_loop import MAX_LOOP_ERRORS, wait_for_event


class TestWaitForEvent(TestCase):
    """Errors that end the event loop."""

    def setUp(self):
        super().setUp()
        self.report = mock.Mock()
        self.event = Event()
        broken = mock.Mock()
        broken.write.side_effect = BrokenPipeError
        self.replace_stderr(broken)

    def replace_stderr(self, stream) -> None:
        """Replace standard error until the end of the test."""
        patch = mock.patch.object(sys, "stderr", stream)
        patch.start()
        self.addCleanup(patch.stop)
        hub = hubs.get_hub()
        self.addCleanup(setattr, hub, "debug_exceptions", hub.debug_exceptions)
        hub.debug_exceptions = True

    def fail_tasks(self, count: int) -> None:
        """Schedule tasks that fail, each of which ends the event loop."""
        for _ in range(count):
            eventlet.spawn_n(lambda: 1 / 0)

    def test_the_event_loop_runs_again_after_an_error(self):
        self.fail_tasks(MAX_LOOP_ERRORS - 1)
        eventlet.spawn_after(0.01, self.event.send, None)
        wait_for_event(self.event, self.report)
        assert self.report.call_count == MAX_LOOP_ERRORS - 1

    def test_a_loop_that_ends_again_and_again_is_given_up(self):
        self.fail_tasks(MAX_LOOP_ERRORS)
        with pytest.raises(BrokenPipeError):
            wait_for_event(self.event, self.report)
