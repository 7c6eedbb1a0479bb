"""End-to-end tests of the memory that callers make a VM hold."""

import os
import tempfile
from pathlib import Path

import eventlet
import pytest
from testtools import TestCase

from .back_end import BackEndSpec
from .caller import Caller
from .cluster import HOST, Cluster, make_desk_route

MEMORY_MB = 150
MEMORY_BYTES = MEMORY_MB * 1_000_000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BODY_BYTES = 262_144  # the limit of the configuration
SENT_BYTES = 250_000
CALLER_COUNT = 600  # whose bodies together take about the memory of the VM
SAMPLE_INTERVAL_S = 0.02
NOTE_COUNT = 20
WAIT_S = 4.0  # time for all callers to send; they are not waited for


class TestCallersMemory(TestCase):
    """Resident memory of a VM's process while callers send large bodies."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(Path(folder.name))
        self.addCleanup(self.cluster.stop)
        for number in range(3):
            self.cluster.add_back_end(BackEndSpec(f"desk-{number}", "desk", "north"))
        self.cluster.configure([make_desk_route(timeoutMs=20_000)], ["desk"])
        self.cluster.add_vms(1)
        self.vm = self.cluster.vms["vm0"]
        self.vm.write_settings(memory_mb=MEMORY_MB)
        self.cluster.start_all()
        self.peak_bytes = 0
        self.socks = []
        self.sampler = eventlet.spawn(self.sample)
        self.addCleanup(self.sampler.kill)
        self.addCleanup(self.close_callers)

    def close_callers(self) -> None:
        """Close the connections of all callers that send bodies."""
        for sock in self.socks:
            sock.close()
        self.socks.clear()

    def read_memory(self) -> int:
        """Return the resident memory of the VM's process in bytes."""
        statm = Path(f"/proc/{self.vm.process.pid}/statm").read_text()
        return int(statm.split()[1]) * PAGE_BYTES

    def sample(self) -> None:
        """Keep the highest resident memory that is seen."""
        while True:
            self.peak_bytes = max(self.peak_bytes, self.read_memory())
            eventlet.sleep(SAMPLE_INTERVAL_S)

    def send_part(self, number: int, sent_bytes: int) -> None:
        """Send a request with a part of its body on a new connection."""
        head = (
            f"POST /desk/note HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Attempt-Id: large-{number}\r\nX-Request-Deadline: 20000\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n"
        ).encode()
        sock = eventlet.connect(self.vm.caller_address)
        self.socks.append(sock)
        try:
            sock.sendall(head + bytes(sent_bytes))
        except OSError:
            pass  # refused while the body was being sent

    def send_parts(self, sent_bytes: int) -> None:
        """Have all callers send a request with this many bytes of its body."""
        for number in range(CALLER_COUNT):
            eventlet.spawn(self.send_part, number, sent_bytes)

    def count_served_notes(self) -> int:
        """Send small notes one after another and return how many are served."""
        caller = Caller("small", HOST, self.cluster.clock)
        self.addCleanup(caller.close)
        served = 0
        for _ in range(NOTE_COUNT):
            note = caller.call(
                self.vm.caller_address, "/desk/note", 5.0, "POST", b"water the pine"
            )
            served += note.status == 200
            eventlet.sleep(0.2)
        return served

    @pytest.mark.proof(
        promise="cut off",
        failure="platform: callers stall in a body, over processes",
    )
    def test_callers_that_stall_in_a_body_do_not_take_a_vm_above_its_memory(self):
        self.send_parts(SENT_BYTES)
        served = self.count_served_notes()
        assert self.peak_bytes < MEMORY_BYTES, self.peak_bytes
        assert self.vm.process.poll() is None
        assert served == NOTE_COUNT, served

    def test_whole_requests_that_wait_do_not_take_a_vm_above_its_memory(self):
        for back_end in self.cluster.back_ends.values():
            back_end.spec.faults.work_factor = 100.0
        self.send_parts(BODY_BYTES)
        eventlet.sleep(WAIT_S)
        assert self.peak_bytes < MEMORY_BYTES, self.peak_bytes
        assert self.vm.process.poll() is None
