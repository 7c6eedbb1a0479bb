"""Tests of the steps of a start."""

from unittest import mock

from cassiastair.clock import ManualClock
from cassiastair.errors import SettingsError
from testtools import TestCase

from .main import SETTINGS_TIMEOUT_S, read_metrics_port, wait_for_settings


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


class TestMetricsPort(TestCase):
    """Port of the metrics page from the environment."""

    def test_a_port_is_read(self):
        assert read_metrics_port({}) == 9102
        assert read_metrics_port({"CASSIASTAIRD_METRICS_PORT": "80"}) == 80

    def test_other_texts_are_wrong_settings(self):
        for text in ("", "x", "0", "-1", "65536", "\u0661"):
            environment = {"CASSIASTAIRD_METRICS_PORT": text}
            self.assertRaises(SettingsError, read_metrics_port, environment)
