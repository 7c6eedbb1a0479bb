"""Tests of the command that follows a request through logs."""

import os
import tempfile

import orjson
from testtools import TestCase

from .exit_status import ExitStatus
from .follow import follow

RECORDS = (
    {"time": 1.0, "vm": "a", "event": "configuration in force", "version": 3},
    {"time": 2.0, "vm": "a", "event": "configuration in force", "version": 7},
    {"time": 2.5, "vm": "b", "event": "platform lost", "revision": 9},
    {"time": 4.0, "vm": "a", "event": "not served", "request": "r1", "code": "late"},
    {
        "time": 3.0,
        "vm": "a",
        "event": "send failed",
        "request": "r1",
        "target": "t",
        "no_retry": "budget",
    },
    {"time": 3.5, "vm": "a", "event": "not served", "request": "r2", "code": "x"},
)


class TestFollow(TestCase):
    """Records found for a request."""

    def setUp(self):
        super().setUp()
        handle, self.path = tempfile.mkstemp()
        os.close(handle)
        self.addCleanup(os.remove, self.path)
        with open(self.path, "wb") as log:
            for line in RECORDS:
                log.write(b"12.5 front-a " + orjson.dumps(line) + b"\n")
            log.write(b'{"time": 9\nnot a line\n')

    def test_records_are_in_time_order_after_the_state_of_their_vm(self):
        report = follow(self.path, "r1")
        events = [record["event"] for record in report.document["lines"]]
        assert events == ["send failed", "not served"]
        (belief,) = report.document["beliefs"]
        assert (belief["version"], belief["age_s"]) == (7, 1.0)
        assert "target=t no_retry=budget" in report.text

    def test_request_without_records_is_not_found(self):
        assert follow(self.path, "r9").status is ExitStatus.NOT_FOUND
