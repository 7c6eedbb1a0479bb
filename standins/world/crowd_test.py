"""End-to-end tests of a VM while a crowd of callers misbehaves.

The limits of the VM are lowered, so that a small crowd suffices. Nothing is asserted
about times or about the share of requests that is served.
"""

import tempfile
from pathlib import Path

import eventlet
import pytest
from testtools import TestCase

from .back_end import BackEndSpec
from .caller import Caller
from .cluster import HOST, Cluster, make_desk_route
from .crowd import (
    Crowd,
    Misbehaviour,
    SlowReader,
    UnfinishedBody,
    UnfinishedChunks,
    encode_chunks,
)
from .http_messages import MessageReader
from .process_usage import ProcessUsage

BYTES_PER_MB = 1_000_000
BODY_BYTES = 262_144  # the limit of the configuration
ANSWER_BYTES = 400_000
CROWD_S = 10.0  # for which a crowd stays before an ordinary request is sent
CALL_ATTEMPTS = 60  # an ordinary request may be refused meanwhile
CALL_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 15.0
CALM_TIMEOUT_S = 60.0
SMALL_WINDOW_BYTES = 4096  # receive buffer of a caller
BYTE_CHUNKS_BYTES = 60_000  # body of each caller that sends chunks of one byte


def encode_head(method: str, path: str):
    """Return a function that encodes the heads of requests to a path."""

    def encode(number: int, framing: str) -> bytes:
        return (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Attempt-Id: crowd-{path[1:-2]}-{number}\r\n"
            f"X-Request-Deadline: 20000\r\n{framing}\r\n"
        ).encode()

    return encode


POST_NOTE = encode_head("POST", "/desk/x")
GET_LARGE = encode_head("GET", "/large/x")
GET_BUSY = encode_head("GET", "/busy/x")
BYTE_CHUNKS = UnfinishedChunks(POST_NOTE, BYTE_CHUNKS_BYTES, 1)
LARGE_CHUNKS = UnfinishedChunks(POST_NOTE, 240_000, 60_000)
SMALL_PIECES = UnfinishedChunks(POST_NOTE, 261_000, 9000)
WHOLE_BUT_A_BYTE = UnfinishedBody(POST_NOTE, BODY_BYTES)
SLOW_PIPELINE = SlowReader(GET_LARGE, 3, 2048)


class CrowdTestCase(TestCase):
    """One VM with targets that answer shortly, at length, or only after hours."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(Path(folder.name))
        self.addCleanup(self.cluster.stop)
        services = ("desk", "large", "busy")
        for service in services:
            for number in range(5):
                spec = BackEndSpec(f"{service}-{number}", service, "north")
                if service == "large":
                    spec.answer_bytes = ANSWER_BYTES
                if service == "busy":
                    spec.faults.work_factor = 1e5
                self.cluster.add_back_end(spec)
        routes = [
            make_desk_route(
                "non_idempotent" if service == "desk" else "idempotent",
                name=service,
                prefix=f"/{service}/",
                service=service,
                timeoutMs=20_000,
            )
            for service in services
        ]
        self.cluster.configure(routes, list(services))
        self.cluster.add_vms(1)
        self.vm = self.cluster.vms["vm0"]

    def start(self, **limits: int) -> None:
        """Start the VM with some of its limits lowered, and watch its process."""
        self.vm.write_settings(**limits)
        self.cluster.start_all()
        self.usage = ProcessUsage(self.vm.process.pid, self.vm.caller_address)
        self.addCleanup(self.usage.stop)
        self.crowd = Crowd(self.vm.caller_address)
        self.addCleanup(self.crowd.close)

    def check_ordinary_request(self) -> None:
        """Check that an ordinary request is served, if need be after refusals."""
        caller = Caller("ordinary", HOST, self.cluster.clock)
        self.addCleanup(caller.close)
        statuses = []
        while 200 not in statuses and len(statuses) < CALL_ATTEMPTS:
            if statuses:
                eventlet.sleep(CALL_INTERVAL_S)
            note = caller.call(
                self.vm.caller_address, "/desk/note", CALL_TIMEOUT_S, "POST", b"a note"
            )
            statuses.append(note.status)
        assert statuses[-1] == 200, statuses

    def check_crowds(self, crowds: dict[Misbehaviour, int], **limits: int) -> None:
        """Check the VM and its limits while crowds are there and after they left."""
        self.start(**limits)
        for misbehaviour, count in crowds.items():
            self.crowd.open(misbehaviour, count)
        eventlet.sleep(CROWD_S)
        self.check_ordinary_request()
        self.crowd.close()
        self.check_ordinary_request()
        assert self.vm.process.poll() is None
        fields = self.vm.settings_fields
        assert self.usage.peak_descriptors <= fields["max_fds"]
        memory_bytes = fields["memory_mb"] * BYTES_PER_MB
        assert self.usage.peak_bytes < memory_bytes, self.usage.peak_bytes


class TestCrowdsAtOneVm(CrowdTestCase):
    """Memory, descriptors and service of a VM while callers misbehave."""

    @pytest.mark.proof(
        promise="cut off",
        failure="platform: callers read pipelined answers slowly, over processes",
    )
    def test_pipelined_answers_that_are_read_slowly(self):
        self.check_crowds({SLOW_PIPELINE: 300}, memory_mb=150)

    def test_answers_that_are_read_slowly_through_small_windows(self):
        slow = SlowReader(GET_LARGE, 3, 2048, SMALL_WINDOW_BYTES)
        self.check_crowds({slow: 700}, memory_mb=150)

    def test_bodies_in_chunks_of_one_byte(self):
        self.check_crowds({BYTE_CHUNKS: 1500}, memory_mb=100)

    def test_bodies_in_large_chunks(self):
        self.check_crowds({LARGE_CHUNKS: 2300}, memory_mb=100)

    def test_bodies_that_lack_a_byte(self):
        self.check_crowds({WHOLE_BUT_A_BYTE: 750, SMALL_PIECES: 750}, memory_mb=100)

    def test_all_kinds_at_once(self):
        crowds = {BYTE_CHUNKS: 400, LARGE_CHUNKS: 400, WHOLE_BUT_A_BYTE: 400}
        self.check_crowds(crowds | {SLOW_PIPELINE: 400}, memory_mb=150)

    def test_more_connections_than_descriptors(self):
        self.check_crowds({LARGE_CHUNKS: 1200}, max_fds=800)


class TestCalm(CrowdTestCase):
    """Single requests of the largest size are served."""

    def test_large_requests_and_answers(self):
        self.start(memory_mb=100)
        framings = {
            f"Content-Length: {BODY_BYTES}\r\n": bytes(BODY_BYTES),
            "Transfer-Encoding: chunked\r\n": encode_chunks(BODY_BYTES, 1)
            + b"0\r\n\r\n",
            "Transfer-Encoding: chunked \r\n": encode_chunks(BODY_BYTES, BODY_BYTES)
            + b"0\r\n\r\n",
        }
        reader = MessageReader(eventlet.connect(self.vm.caller_address))
        self.addCleanup(reader.sock.close)
        for number, (framing, body) in enumerate(framings.items()):
            reader.sock.sendall(POST_NOTE(number, framing) + body)
            with eventlet.Timeout(CALM_TIMEOUT_S):
                assert reader.read().status == 200
        received = [
            request.body
            for back_end in self.cluster.back_ends.values()
            for request in back_end.requests
        ]
        assert [len(body) for body in received] == [BODY_BYTES] * len(framings)
        reader.sock.sendall(GET_LARGE(0, ""))
        with eventlet.Timeout(CALM_TIMEOUT_S):
            assert len(reader.read().body) == ANSWER_BYTES
