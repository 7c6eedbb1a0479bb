"""Tests of following a request through logs."""

import os
import tempfile

import orjson
from testtools import TestCase

from .exit_status import ExitStatus
from .follow import follow

LINES = (
    {"time": 1.0, "vm": "a", "event": "configuration in force", "version": 3},
    {"time": 2.0, "vm": "a", "event": "configuration in force", "version": 7},
    {"time": 2.5, "vm": "b", "event": "platform lost", "revision": 9},
    {"time": 4.0, "vm": "a", "event": "not served", "request": "r1", "code": "late"},
    {"time": 3.0, "vm": "a", "event": "send failed", "request": "r1", "target": "t"},
    {"time": 3.5, "vm": "a", "event": "not served", "request": "r2", "code": "x"},
)


class TestFollow(TestCase):
    """The life of one request."""

    def setUp(self):
        super().setUp()
        handle, self.path = tempfile.mkstemp()
        os.close(handle)
        self.addCleanup(os.remove, self.path)
        with open(self.path, "wb") as log:
            for line in LINES:
                log.write(b"12.5 front-a " + orjson.dumps(line) + b"\n")
            log.write(b'{"time": 9\nnot a line\n')

    def test_its_lines_in_order_after_the_beliefs_of_its_vm(self):
        report = follow(self.path, "r1")
        events = [record["event"] for record in report.document["lines"]]
        assert events == ["send failed", "not served"]
        (belief,) = report.document["beliefs"]
        assert (belief["version"], belief["age_s"]) == (7, 1.0)
        assert "target=t" in report.text

    def test_a_request_without_lines(self):
        assert follow(self.path, "r9").status is ExitStatus.NOT_FOUND
