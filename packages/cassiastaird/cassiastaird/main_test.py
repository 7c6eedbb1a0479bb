"""Tests of the daemon's command line, run as a process."""

import os
import subprocess
import sys
from dataclasses import fields

from testtools import TestCase

from .main import EXIT_BAD_SETTINGS, EXIT_NO_PORT
from .settings import Settings

GOOD = ["--vm=a1", "--data_centre=dc", "--host=127.0.0.1", "--platform_url=http://x.y"]


def run(*flags: str) -> subprocess.CompletedProcess:
    """Run the daemon with some flags until it ends."""
    clean = {k: v for k, v in os.environ.items() if not k.startswith("CASSIASTAIRD")}
    return subprocess.run(
        [sys.executable, "-m", "cassiastaird.main", *flags],
        capture_output=True,
        text=True,
        env=clean,
        timeout=60,
    )


class TestCommandLine(TestCase):
    """Help, checks and exit statuses."""

    def test_help_names_every_setting(self):
        done = run("--help")
        assert done.returncode == 0
        for item in fields(Settings):
            assert f"--{item.name}=" in done.stdout

    def test_check(self):
        assert run("--check", *GOOD).returncode == 0
        done = run("--check", "--vm=A", "--degree=1")
        assert done.returncode == EXIT_BAD_SETTINGS
        for name in ("--vm", "--degree", "--host", "--data_centre", "--platform_url"):
            assert name in done.stderr

    def test_port_in_use(self):
        done = run(*GOOD, "--api_port=1", "--host=192.0.2.1")
        assert done.returncode == EXIT_NO_PORT
        assert "choose free ports" in done.stderr
