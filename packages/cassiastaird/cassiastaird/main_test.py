"""Tests of the daemon's command line, each run in a process of its own."""

import os
import signal
import subprocess
import sys
from dataclasses import fields
from pathlib import Path

from testtools import TestCase

from .main import EXIT_BAD_SETTINGS, EXIT_NO_PORT
from .settings import Settings

VALID_FLAGS = [
    "--vm=a1",
    "--data_centre=dc",
    "--host=127.0.0.1",
    "--platform_url=http://x.y",
]


def run(*flags: str) -> subprocess.CompletedProcess:
    """Run the daemon with flags, without settings in the environment, until it ends."""
    environment = {
        k: v for k, v in os.environ.items() if not k.startswith("CASSIASTAIRD")
    }
    return subprocess.run(
        [sys.executable, "-m", "cassiastaird", *flags],
        capture_output=True,
        text=True,
        env=environment,
        timeout=60,
    )


class TestCommandLine(TestCase):
    """Help text, validation of settings and exit statuses."""

    def test_help_names_every_setting(self):
        completed = run("--help")
        assert completed.returncode == 0
        for item in fields(Settings):
            assert f"--{item.name}=" in completed.stdout

    def test_check_reports_whether_the_settings_are_valid(self):
        assert run("--check", *VALID_FLAGS).returncode == 0
        completed = run("--check", "--vm=A", "--degree=1")
        assert completed.returncode == EXIT_BAD_SETTINGS
        for name in ("--vm", "--degree", "--host", "--data_centre", "--platform_url"):
            assert name in completed.stderr

    def test_unusable_port_ends_with_its_own_exit_status(self):
        completed = run(*VALID_FLAGS, "--api_port=1", "--host=192.0.2.1")
        assert completed.returncode == EXIT_NO_PORT
        assert "choose free ports" in completed.stderr


class TestSignals(TestCase):
    """Signals during and after the start of a process."""

    def start(self) -> subprocess.Popen:
        """Start the daemon and wait until it imports its libraries."""
        process = subprocess.Popen(
            [sys.executable, "-m", "cassiastaird", *VALID_FLAGS],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.addCleanup(process.stdout.close)
        maps = Path(f"/proc/{process.pid}/maps")
        while "greenlet" not in maps.read_text():
            assert process.poll() is None
        return process

    def test_stop_signal_during_the_start_ends_the_process_cleanly(self):
        process = self.start()
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0

    def test_reload_signals_do_not_end_the_process(self):
        process = self.start()
        process.send_signal(signal.SIGHUP)
        assert process.stdout.readline().startswith(b"{")
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0
