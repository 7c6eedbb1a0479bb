"""Tests of the steps of a process's life."""

import sys
from unittest import mock

import eventlet
import pytest
from cassiastair.clock import ManualClock
from cassiastair.errors import SettingsError
from eventlet import hubs
from eventlet.event import Event
from testtools import TestCase

from .main import MAX_LOOP_ERRORS, SETTINGS_TIMEOUT_S, wait_for_event, wait_for_settings


class TestWaitForEvent(TestCase):
    """Errors that end the event loop."""

    def setUp(self):
        super().setUp()
        self.log = mock.Mock()
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
        wait_for_event(self.event, self.log)
        events = [call.args[0] for call in self.log.warn.call_args_list]
        assert events == ["event loop ended"] * (MAX_LOOP_ERRORS - 1)

    def test_a_loop_that_ends_again_and_again_is_given_up(self):
        self.fail_tasks(MAX_LOOP_ERRORS)
        with pytest.raises(BrokenPipeError):
            wait_for_event(self.event, self.log)


class TestWaitForSettings(TestCase):
    """Settings that become valid during a start, or do not."""

    def setUp(self):
        super().setUp()
        self.log = mock.Mock()
        self.clock = ManualClock()

    def wait(self, read_settings):
        """Wait for settings with a clock that only waiting advances."""
        return wait_for_settings(
            read_settings, self.clock, self.clock.advance, self.log
        )

    def test_settings_that_become_valid_are_returned(self):
        readings = [SettingsError("empty"), SettingsError("half"), "settings"]
        assert self.wait(mock.Mock(side_effect=readings)) == "settings"
        assert self.log.warn.call_count == 1

    def test_settings_that_stay_invalid_are_an_error(self):
        started_at = self.clock.now()
        read_settings = mock.Mock(side_effect=SettingsError("empty"))
        self.assertRaises(SettingsError, self.wait, read_settings)
        assert SETTINGS_TIMEOUT_S <= self.clock.now() - started_at < 6.0
