"""Tests of reading and validating settings, and of the generated page."""

from pathlib import Path

from cassiastair.errors import SettingsError
from testtools import TestCase

from .settings import parse_peers, read_settings
from .settings_page import format_page

ROOT = Path(__file__).resolve().parents[3]
VALID_FLAGS = {
    "vm": "tallinn-1",
    "data_centre": "tallinn",
    "host": "127.0.0.1",
    "platform_url": "http://127.0.0.1:80",
}


class TestReadSettings(TestCase):
    """Precedence and validation of flags and environment variables."""

    def test_flag_takes_precedence_over_the_environment(self):
        env = {"CASSIASTAIRD_VM": "other", "CASSIASTAIRD_DEGREE": "8"}
        settings = read_settings(VALID_FLAGS, env)
        assert settings.vm == "tallinn-1"
        assert settings.degree == 8

    def test_all_problems_are_reported_at_once(self):
        flags = {"vm": "No Name", "api_port": 70000, "peers": "x:1", "colour": "red"}
        env = {"CASSIASTAIRD_DEGRE": "8", "CASSIASTAIRD_LOG_LEVEL": "loud"}
        error = self.assertRaises(SettingsError, read_settings, flags, env)
        for name in (
            "--vm",
            "--api_port",
            "--peers",
            "--colour",
            "CASSIASTAIRD_DEGRE:",
            "CASSIASTAIRD_LOG_LEVEL",
            "--data_centre or CASSIASTAIRD_DATA_CENTRE",
            "--host or",
            "--platform_url or",
        ):
            assert name in error.message, name

    def test_peer_list_is_parsed_into_addresses(self):
        assert parse_peers("10.0.0.1:80, 10.0.0.2:81") == [
            ("10.0.0.1", 80),
            ("10.0.0.2", 81),
        ]


class TestSettingsPage(TestCase):
    """Generated settings page in the documentation."""

    def test_page_matches_the_code(self):
        page = (ROOT / "docs" / "SETTINGS.md").read_text()
        assert page == format_page(), "run make settings"
