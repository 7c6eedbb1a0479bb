"""Tests of what is seen from outside of a process of a VM."""

import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from testtools import TestCase

from .vm_process import (
    LAST_EVENT,
    VmProcess,
    handles_signal,
    measure_earliest_handler,
    read_processor_time,
)

SLEEP = "import time; time.sleep(60)"
STOP_ON_TERM = (
    "import signal, sys, time;"
    "signal.signal(signal.SIGTERM, lambda *a: sys.exit(0));"
    "signal.signal(signal.SIGHUP, lambda *a: None); time.sleep(60)"
)
FAIL = "import sys; print('cannot listen', flush=True); sys.exit(3)"
TIMEOUT_S = 20.0


class TestOwnEnd(TestCase):
    """Ends of processes that the signals sent to them explain or do not explain."""

    def start(self, program: str) -> VmProcess:
        """Start a Python program as a process of a VM."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        log_path = Path(folder.name) / "vm0.log"
        with log_path.open("wb") as log:
            popen = subprocess.Popen([sys.executable, "-c", program], stdout=log)
        self.addCleanup(popen.wait)
        self.addCleanup(popen.kill)
        return VmProcess("vm0", popen, log_path, time.monotonic())

    def test_running_process_has_none(self):
        assert self.start(SLEEP).find_own_end() == ""

    def test_kill_explains_its_status(self):
        process = self.start(SLEEP)
        process.send(signal.SIGKILL)
        process.popen.wait()
        assert process.find_own_end() == ""

    def test_exit_without_signal_is_one_and_shows_log(self):
        process = self.start(FAIL)
        process.popen.wait()
        assert "status 3" in process.find_own_end()
        assert "cannot listen" in process.find_own_end()

    def test_log_of_exit_must_end_with_its_cause(self):
        process = self.start(FAIL)
        process.popen.wait()
        assert "cannot listen" in process.find_unlogged_end()
        process = self.start(FAIL.replace("cannot listen", LAST_EVENT))
        process.popen.wait()
        assert process.find_unlogged_end() == ""

    def test_default_action_of_sigterm_is_one(self):
        process = self.start(SLEEP)
        process.send(signal.SIGTERM)
        process.popen.wait()
        assert "status -15" in process.find_own_end()
        assert "not yet handled" in process.find_own_end()

    def test_clean_end_after_sigterm_is_none(self):
        process = self.start(STOP_ON_TERM)
        deadline = time.monotonic() + TIMEOUT_S
        while not handles_signal(process.popen.pid):
            assert time.monotonic() < deadline
        process.send(signal.SIGTERM)
        process.popen.wait()
        assert process.find_own_end() == ""

    def test_signal_counts_as_too_early_only_before_any_program_handles_it(self):
        process = self.start(SLEEP)
        while not read_processor_time(process.popen.pid):
            assert time.monotonic() < process.started_at + TIMEOUT_S
        process.send(signal.SIGHUP)
        process.popen.wait()
        processor_s = process.signals[0].processor_s
        assert process.was_ended_before_handlers(earliest_s=processor_s)
        assert not process.was_ended_before_handlers(earliest_s=processor_s / 2)

    def test_memory_of_running_process_is_read(self):
        process = self.start(SLEEP)
        process.observe()
        assert process.peak_bytes > 0

    def test_earliest_handler_is_measured(self):
        assert 0 < measure_earliest_handler() < TIMEOUT_S
