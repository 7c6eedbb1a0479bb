"""Tests of how a VM's process starts and ends, with real processes."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import eventlet
import pytest
from eventlet.green import socket
from testtools import TestCase

from .back_end import BackEndSpec
from .cluster import ROOT, Cluster, make_desk_route

STOP_TIMEOUT_S = 20.0  # above the stop grace, for a busy machine
LOG_TIMEOUT_S = 30.0  # until a line is logged, for a busy machine
IMPORT_TIMEOUT_S = 30.0  # until the first import of a process, for a busy machine


class ProcessTestCase(TestCase):
    """A cluster of one VM and one target, whose process the test starts."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(Path(folder.name))
        self.addCleanup(self.cluster.stop)
        self.cluster.add_back_end(BackEndSpec("desk-0", "desk", "north"))
        self.cluster.configure([make_desk_route()], ["desk"])
        self.cluster.add_vms(1)
        self.vm = self.cluster.vms["vm0"]

    def start_with_signal(self, number: int) -> None:
        """Start the process and send a signal while it imports its modules."""
        self.cluster.start("vm0")
        wait_for_import(self.vm.process.pid)
        self.cluster.send_signal("vm0", number)

    def wait_for_event(self, event: str) -> None:
        """Wait until the process has logged an event; fail if it ends before."""
        deadline = time.monotonic() + LOG_TIMEOUT_S
        while event not in self.vm.log_path.read_text():
            assert self.vm.process.poll() is None
            assert time.monotonic() < deadline
            eventlet.sleep(0.05)

    def stop_and_read_log(self) -> str:
        """Stop the process by SIGTERM; check its status and return its log."""
        self.cluster.send_signal("vm0", signal.SIGTERM)
        assert self.cluster.wait_exit("vm0", STOP_TIMEOUT_S) == 0
        return self.vm.log_path.read_text()


class TestSignalDuringStart(ProcessTestCase):
    """Signals that arrive before the daemon is wired."""

    def test_reload_signal_during_the_start_does_not_end_the_process(self):
        self.start_with_signal(signal.SIGHUP)
        self.cluster.wait_ready("vm0")
        assert "settings read" in self.stop_and_read_log()

    def test_stop_signal_during_the_start_ends_the_process_cleanly(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            self.start_with_signal(number)
            assert self.cluster.wait_exit("vm0", STOP_TIMEOUT_S) == 0
        assert "Traceback" not in self.vm.log_path.read_text()


class TestOverlappedStart(ProcessTestCase):
    """A start while the previous process still drains."""

    def test_a_start_waits_for_the_ports_of_the_draining_predecessor(self):
        self.cluster.start("vm0")
        self.cluster.wait_ready("vm0")
        predecessor = self.vm.process
        self.addCleanup(predecessor.wait)
        self.addCleanup(predecessor.kill)
        self.cluster.send_signal("vm0", signal.SIGTERM)
        predecessor.send_signal(signal.SIGSTOP)  # holds its ports until SIGCONT
        self.vm.process = None
        self.cluster.start("vm0")
        self.wait_for_event("waiting for port")
        predecessor.send_signal(signal.SIGCONT)
        while predecessor.poll() is None:
            assert self.vm.process.poll() is None
            eventlet.sleep(0.05)
        assert predecessor.returncode == 0
        self.cluster.wait_ready("vm0")

    def test_a_waiting_start_accepts_no_connections(self):
        vm = self.vm
        holder = socket.create_server((vm.host, vm.ports[2]))
        self.addCleanup(holder.close)
        self.cluster.start("vm0")
        self.wait_for_event("waiting for port")
        for port in (vm.ports[0], vm.ports[1]):
            with pytest.raises(ConnectionRefusedError):
                eventlet.connect((vm.host, port))
        holder.close()
        self.cluster.wait_ready("vm0")

    def test_callers_are_served_while_the_metrics_port_is_in_use(self):
        holder = socket.create_server((self.vm.host, self.vm.ports[3]))
        self.addCleanup(holder.close)
        self.cluster.start("vm0")
        self.cluster.wait_ready("vm0")


class TestSettingsDuringStart(ProcessTestCase):
    """Settings that are incomplete when a process starts."""

    def test_a_start_waits_for_settings_that_are_being_written(self):
        complete = self.vm.settings_path.read_text()
        for incomplete in (None, "", complete[: len(complete) // 2]):
            self.vm.settings_path.unlink()
            if incomplete is not None:
                self.vm.settings_path.write_text(incomplete)
            self.cluster.start("vm0")
            self.wait_for_event("settings not usable yet")
            self.vm.settings_path.write_text(complete)
            self.cluster.wait_ready("vm0")
            self.stop_and_read_log()
            self.vm.log_path.unlink()


class TestOutput(ProcessTestCase):
    """A process whose output is read, has lost its reader, or is closed."""

    def start(self, command: str, output: int, **options) -> subprocess.Popen:
        """Start a Python program in the place of the VM's process."""
        process = subprocess.Popen(
            [sys.executable, "-c", command],
            stdout=output,
            stderr=output,
            cwd=ROOT,
            env={
                **os.environ,
                "CASSIASTAIR_BOOT": str(self.vm.settings_path),
                "CASSIASTAIRD_METRICS_PORT": str(self.vm.ports[3]),
            },
            **options,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def test_a_failed_task_does_not_end_a_process_with_closed_output(self):
        reader, writer = os.pipe()
        process = self.start(START_WITH_FAILING_TASK, writer)
        os.close(writer)
        self.cluster.wait_ready("vm0")
        os.close(reader)
        process.send_signal(signal.SIGUSR1)
        # The task runs before the second answer at the latest.
        assert self.cluster.is_ready("vm0")
        assert self.cluster.is_ready("vm0")
        assert process.poll() is None

    def test_the_traceback_of_a_failed_task_is_logged(self):
        with self.vm.log_path.open("ab") as log:
            process = self.start(START_WITH_FAILING_TASK, log.fileno())
        self.cluster.wait_ready("vm0")
        process.send_signal(signal.SIGUSR1)
        assert self.cluster.is_ready("vm0")
        assert self.cluster.is_ready("vm0")
        log_text = self.vm.log_path.read_text()
        assert '"event":"error output"' in log_text
        assert "ZeroDivisionError" in log_text

    def test_a_process_starts_with_closed_standard_streams(self):
        closing = "import os, runpy; [os.close(n) for n in range(3)]; "
        run = "os.execv(sys.executable, [sys.executable, 'deploy/start.py'])"
        self.start(f"{closing}import sys; {run}", subprocess.DEVNULL)
        self.cluster.wait_ready("vm0")


# Starts the daemon; SIGUSR1 then makes a task fail outside all handling of errors.
START_WITH_FAILING_TASK = """
import runpy, signal

def fail(*args):
    import eventlet
    eventlet.spawn_n(lambda: 1 / 0)

signal.signal(signal.SIGUSR1, fail)
runpy.run_path("deploy/start.py", run_name="__main__")
"""


def wait_for_import(pid: int) -> None:
    """Wait until a process has loaded the library of events, its first import."""
    deadline = time.monotonic() + IMPORT_TIMEOUT_S
    maps = Path(f"/proc/{pid}/maps")
    while "greenlet" not in maps.read_text():
        assert time.monotonic() < deadline
        eventlet.sleep(0.005)
