"""Tests of a daemon's own interface while a crowd of callers misbehaves.

Nothing is asserted about times or about the share of requests that is served.
"""

import resource
import tempfile
from dataclasses import replace
from pathlib import Path

import eventlet
import pytest
import urllib3
from testtools import TestCase

from .layouts import WATERING, make_layout_changes
from .session import Session
from .world.crowd import (
    Crowd,
    Misbehaviour,
    SlowReader,
    UnfinishedBody,
    UnfinishedChunks,
)
from .world.process_usage import ProcessUsage

MEMORY_BYTES = 300_000_000
BODY_BYTES = 262_144
CROWD_S = 10.0  # for which a crowd stays before an ordinary request is sent
CALL_ATTEMPTS = 60  # an ordinary request may be refused meanwhile
CALL_INTERVAL_S = 0.5
WIDE_COUNT = 4  # indexes whose services make the page of the state large
WIDE_SERVICES = 5
SHARD_COUNT = 4000  # of each of these services
NARROW_BUFFER_BYTES = 4096


def encode_head(method: str, path: str):
    """Return a function that encodes the heads of requests to a path."""

    def encode(number: int, framing: str) -> bytes:
        return f"{method} {path} HTTP/1.1\r\nHost: a\r\n{framing}\r\n".encode()

    return encode


POST_SEARCH = encode_head("POST", "/v1/search")
WHOLE_BUT_A_BYTE = UnfinishedBody(POST_SEARCH, BODY_BYTES)
BYTE_CHUNKS = UnfinishedChunks(POST_SEARCH, 60_000, 1)
LARGE_CHUNKS = UnfinishedChunks(POST_SEARCH, 240_000, 60_000)
UNREAD_STATES = SlowReader(encode_head("GET", "/v1/state"), 3, 0, NARROW_BUFFER_BYTES)


class TestCrowdsAtTheApi(TestCase):
    """Memory, descriptors and service of a daemon while callers misbehave."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.session = Session(Path(folder.name))
        self.addCleanup(self.session.processes.stop_all)
        self.session.start_targets([WATERING])
        self.daemon = self.session.start_daemon(
            "a1", "tallinn", max_body_bytes=BODY_BYTES
        )
        self.session.publish_layouts([WATERING], "tallinn")
        self.session.wait_ready(objects=5)
        address = ("127.0.0.1", self.daemon.ready["api_port"])
        self.usage = ProcessUsage(self.daemon.pid, address)
        self.addCleanup(self.usage.stop)
        self.crowd = Crowd(address)
        self.addCleanup(self.crowd.close)

    def check_ordinary_request(self) -> None:
        """Check that an ordinary request is served, if need be after refusals."""
        statuses = []
        while 200 not in statuses and len(statuses) < CALL_ATTEMPTS:
            if statuses:
                eventlet.sleep(CALL_INTERVAL_S)
            try:
                reply = self.session.callers["a1"].post("/v1/ids", {})
                statuses.append(reply.status)
            except urllib3.exceptions.HTTPError as error:
                statuses.append(repr(error))
        assert statuses[-1] == 200, statuses

    def check_crowds(self, crowds: dict[Misbehaviour, int]) -> None:
        """Check the daemon while crowds are there and after they left."""
        for misbehaviour, count in crowds.items():
            self.crowd.open(misbehaviour, count)
        eventlet.sleep(CROWD_S)
        self.check_ordinary_request()
        self.crowd.close()
        self.check_ordinary_request()
        assert self.daemon.popen.poll() is None
        assert self.usage.peak_bytes < MEMORY_BYTES, self.usage.peak_bytes

    def test_bodies_that_lack_a_byte(self):
        self.check_crowds({WHOLE_BUT_A_BYTE: 1500})

    def test_bodies_in_chunks(self):
        self.check_crowds({BYTE_CHUNKS: 300, LARGE_CHUNKS: 300})

    def test_answers_that_are_not_read(self):
        for number in range(WIDE_COUNT):
            layout = replace(WATERING, index=f"wide-{number}", count=WIDE_SERVICES)
            self.session.publish(make_layout_changes(layout, shards=SHARD_COUNT))
        self.session.wait_ready(objects=5 + (1 + WIDE_SERVICES) * WIDE_COUNT)
        self.check_crowds({UNREAD_STATES: 300})

    @pytest.mark.proof(
        promise="cut off",
        failure="own interface: callers stall, descriptors run out; over processes",
    )
    def test_more_connections_than_descriptors(self):
        limits = (400, 400)
        resource.prlimit(self.daemon.pid, resource.RLIMIT_NOFILE, limits)
        self.check_crowds({WHOLE_BUT_A_BYTE: 600})
