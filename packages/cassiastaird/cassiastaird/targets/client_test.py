"""Tests of the target client against a stand-in server over loopback sockets."""

import gzip
import math

import eventlet
import pytest
from cassiastair.data import Attempt, KeyRange, Snapshot, Target
from cassiastair.membership import DrainingTargets
from cassiastair.targets import (
    BadAnswerFailure,
    BrokenFailure,
    ConnectFailure,
    NotHeldFailure,
    RefusedFailure,
    TargetFailure,
    TargetRegistry,
)
from cassiastair.targets.notice import TargetNotice
from cassiastair.tickets import Catalogue
from testtools import TestCase

from standins.raw_http import STATUSES_OUT_OF_RANGE, format_reply
from standins.scripted_target import Reply, ScriptedTarget
from standins.target_server import TargetServer
from standins.target_settings import BAD_ANSWERS, TargetSettings

from ..clock import MonotonicClock
from .client import HttpTargetClient

TIMEOUT_S = 30.0  # ends a test that waits for more of a reply
ALL_KEYS = KeyRange(0, 2**32)
ANSWER = {
    "attempt": "a1",
    "service": "s",
    "version": 2,
    "epoch": 1,
    "start": 0,
    "end": 2**32,
    "records": [],
    "result": {"key": 1},
    "held": [[1, 2, 2]],
    "incarnation": "i",
    "serving": True,
}
WHOLE = format_reply(200, ANSWER)
HEAD, _, BODY = WHOLE.partition(b"\r\n\r\n")


class ClientTestCase(TestCase):
    """Fixture with a client and one target server."""

    def setUp(self):
        super().setUp()
        self.clock = MonotonicClock()
        settings = TargetSettings("t", "s", connect_ms=0.0, work_ms=0.1, slots=4)
        self.server = TargetServer(settings)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.target = Target(
            "t", "s", "dc", "127.0.0.1", self.server.port, (ALL_KEYS,), 2, 21
        )
        registry = TargetRegistry(Catalogue(), DrainingTargets(), self.clock, 7)
        self.client = HttpTargetClient(registry, self.clock)

    def attempt(self, name: str = "a1", seconds: float = 5.0) -> Attempt:
        """Return an attempt with a deadline some seconds from now."""
        query = {"search": {}, "key": 1, "body": {}}
        deadline = self.clock.now() + seconds
        return Attempt(name, "s", Snapshot(2, 1), ALL_KEYS, query, deadline, "")

    def read(self, name: str = "a1"):
        """Send a read to the target and return the answer."""
        return self.client.read(self.target, self.attempt(name))

    def read_and_kill_after(self, seconds: float, name: str) -> None:
        """Send a read in a task and kill the task after some seconds."""
        task = eventlet.spawn(self.read, name)
        eventlet.sleep(seconds)
        task.kill()


class TestRead(ClientTestCase):
    """Reads: answers, refusals and malformed answers."""

    def test_read_returns_the_records_of_the_snapshot(self):
        answer = self.read()
        assert answer.snapshot == Snapshot(2, 1)
        assert len(answer.records) == 40

    def test_refusals_are_failures_and_keep_the_connection(self):
        self.server.change({"held": [[1, 5, 6]]})
        failure = self.assertRaises(NotHeldFailure, self.read)
        assert [(h.epoch, h.low, h.high) for h in failure.held_versions] == [(1, 5, 6)]
        self.server.change({"draining": True})
        assert self.assertRaises(RefusedFailure, self.read).code == "draining"
        assert self.server.counts["connections"] == 1  # not closed by a refusal

    def test_a_refusal_says_that_the_target_leaves_or_names_a_time(self):
        self.server.change({"pause_ms": 1500})
        refusal = self.assertRaises(RefusedFailure, self.read)
        assert refusal.notice == TargetNotice(pause=1.5)
        self.server.change({"draining": True})
        refusal = self.assertRaises(RefusedFailure, self.read)
        assert refusal.notice == TargetNotice(leaving=True)

    def test_a_time_that_is_unreadable_does_not_cost_the_refusal(self):
        for bad in (-1, "soon", True, [1], {}):
            self.server.change({"pause_ms": bad})
            refusal = self.assertRaises(RefusedFailure, self.read)
            assert math.isnan(refusal.notice.pause), bad
        assert self.server.counts["connections"] == 1

    @pytest.mark.proof(
        promise="own answer", failure="crossed, truncated, malformed answers"
    )
    def test_bad_answers_are_failures_and_close_the_connection(self):
        self.read()
        for fault in BAD_ANSWERS:
            if fault in ("foreign_version", "wide_range", "duplicated"):
                continue  # well-formed; the search engine rejects it, see its tests
            self.server.change({"bad_answer": fault})
            connection_count = self.server.counts["connections"]
            if fault == "truncated":
                self.read_and_kill_after(0.1, "t1")
            else:
                self.assertRaises((BadAnswerFailure, BrokenFailure), self.read)
            self.server.change({"bad_answer": ""})
            assert self.read().attempt_id == "a1"
            assert self.server.counts["connections"] == connection_count + 1, fault

    @pytest.mark.proof(promise="own answer", failure="an answer is sent twice")
    def test_duplicated_answer_never_answers_the_next_attempt(self):
        self.server.change({"bad_answer": "duplicated"})
        assert self.read("a1").attempt_id == "a1"
        self.server.change({"bad_answer": ""})
        for number in range(3):
            name = f"b{number}"
            try:
                assert self.read(name).attempt_id == name
            except (BadAnswerFailure, BrokenFailure):
                continue

    @pytest.mark.proof(
        promise="own answer", failure="a connection is reused after a timeout"
    )
    def test_abandoned_connection_is_never_reused(self):
        self.read()
        self.server.change({"work_ms": 200.0})
        self.read_and_kill_after(0.05, "late")
        self.server.change({"work_ms": 0.1})
        assert self.read("next").attempt_id == "next"
        assert self.server.counts["connections"] == 2

    def test_unreachable_target_is_a_connect_failure(self):
        self.server.stop()
        self.assertRaises(ConnectFailure, self.read)


class TestConnections(ClientTestCase):
    """Bound on the connections, silent connections, reports and cancellation."""

    def test_burst_opens_no_more_connections_than_the_share(self):
        tasks = [eventlet.spawn(self.read, f"a{n}") for n in range(60)]
        assert all(task.wait().records for task in tasks)
        assert self.server.counts["connections_highest"] <= 21 // 7
        assert self.server.counts["connections_refused"] == 0

    @pytest.mark.proof(
        promise="true coverage", failure="open connections go silent, new ones work"
    )
    def test_silent_connection_closes_the_other_idle_connections(self):
        tasks = [eventlet.spawn(self.read, f"a{n}") for n in range(3)]
        for task in tasks:
            task.wait()
        assert self.server.counts["connections"] == 3
        self.server.change({"silence": True})
        self.read_and_kill_after(0.1, "silent")
        for number in range(3):
            assert self.read(f"b{number}").records
        assert self.client.silence_count == 1

    def test_report_is_read_and_an_attempt_is_cancelled(self):
        report = self.client.fetch_report(self.target, 1.0)
        assert report.serving
        self.server.change({"work_ms": 5000.0})
        task = eventlet.spawn(self.read, "c1")
        eventlet.sleep(0.05)
        self.client.cancel(self.target, "c1")
        self.assertRaises(TargetFailure, task.wait)
        assert self.server.counts["cancelled"] == 1

    def test_report_of_a_frozen_target_times_out(self):
        self.server.change({"frozen": True})
        self.assertRaises(ConnectFailure, self.client.fetch_report, self.target, 0.1)


class TestWrite(ClientTestCase):
    """Writes: whether each failure proves that the request did not run."""

    def write(self, name: str, seconds: float = 5.0) -> dict:
        """Send a write and return its result."""
        return self.client.write(self.target, self.attempt(name, seconds), name)

    def write_and_fail(self, name: str, seconds: float = 5.0) -> TargetFailure:
        """Send a write that must fail and return the failure."""
        return self.assertRaises(TargetFailure, self.write, name, seconds)

    def test_write_runs_once_and_returns_the_result(self):
        assert self.write("w1")["noted"]
        assert self.server.executions["w1"] == 1

    @pytest.mark.proof(
        promise='"not run" is true', failure="each failure of a target, over sockets"
    )
    def test_write_that_is_proven_not_run_did_not_run(self):
        faults = [
            ({"draining": True}, True),
            ({"shed_share": 1.0}, True),
            ({"bad_answer": "crossed"}, False),
            ({"bad_answer": "garbage"}, False),
            ({"work_ms": 2000.0}, False),
            ({"frozen": True}, False),
        ]
        no_fault = {
            "draining": False,
            "shed_share": 0.0,
            "bad_answer": "",
            "work_ms": 0.1,
            "frozen": False,
        }
        for position, (fault, proves_not_run) in enumerate(faults):
            self.server.change(dict(fault))
            name = f"w{position}"
            failure = self.write_and_fail(name, 0.2)
            assert failure.proves_not_run is proves_not_run, fault
            self.server.change(dict(no_fault))
            eventlet.sleep(0.1)
            if failure.proves_not_run:
                assert self.server.executions[name] == 0
            assert self.server.executions[name] <= 1

    def test_write_on_a_silent_connection_has_an_unknown_outcome(self):
        self.write("w1")
        self.server.change({"silence": True})
        assert not self.write_and_fail("w2", 0.2).proves_not_run

    def test_unreachable_target_proves_that_the_write_did_not_run(self):
        self.server.stop()
        assert self.write_and_fail("w1").proves_not_run


class ScriptedTargetTestCase(TestCase):
    """Fixture with a client and a target that sends scripted replies."""

    def setUp(self):
        super().setUp()
        self.clock = MonotonicClock()
        self.server = ScriptedTarget()
        self.addCleanup(self.server.stop)
        registry = TargetRegistry(Catalogue(), DrainingTargets(), self.clock, 7)
        self.client = HttpTargetClient(registry, self.clock)
        self.target = Target(
            "t", "s", "dc", "127.0.0.1", self.server.port, (ALL_KEYS,), 2, 21
        )

    def call(self, kind: str, data: bytes, ending: str = ""):
        """Send a request that gets some bytes; return the result or the failure."""
        self.server.script.append(Reply(data, ending))
        query = {"search": {}, "key": 1, "body": {}}
        deadline = self.clock.now() + 60.0
        attempt = Attempt("a1", "s", Snapshot(2, 1), ALL_KEYS, query, deadline, "")
        try:
            if kind == "read":
                return self.client.read(self.target, attempt)
            if kind == "write":
                return self.client.write(self.target, attempt, "w1")
            return self.client.fetch_report(self.target, 60.0)
        except TargetFailure as failure:
            return failure


class TestCutReplies(ScriptedTargetTestCase):
    """Replies cut behind each of their bytes, on new and on kept connections."""

    CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    CHUNKS = b"14\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n" % (
        BODY[:20],
        len(BODY) - 20,
        BODY[20:],
    )
    SWITCH = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: upgrade"
    REPLIES = {
        "length": WHOLE,
        "chunked": CHUNKED_HEAD + CHUNKS,
        "interim": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + WHOLE,
    }
    NEVER_COMPLETE = {
        "without length": b"HTTP/1.1 200 OK\r\n\r\n" + BODY,
        "interim alone": b"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n",
        "switch": SWITCH + b"\r\n\r\n" + WHOLE,
        "length and chunks": HEAD + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS,
    }

    def check_cut(self, kind: str, data: bytes, case: object) -> None:
        """Check that bytes are no answer, however the connection ends behind them."""
        for ending in ("close", "reset", "half"):
            for kept in (False, True):
                self.client.retain_only(set())
                if kept:
                    assert not isinstance(self.call(kind, WHOLE), TargetFailure)
                result = self.call(kind, data, ending)
                assert isinstance(result, BrokenFailure), (case, ending, kept, result)

    @pytest.mark.proof(
        promise="own answer", failure="a reply is cut in its head or its body"
    )
    def test_a_reply_cut_behind_any_byte_is_no_answer(self):
        for name, reply in self.REPLIES.items():
            for kind in ("read", "write", "report"):
                assert not isinstance(self.call(kind, reply), TargetFailure), name
            for length in range(len(reply)):
                kind = ("read", "write", "report")[length % 3]
                self.check_cut(kind, reply[:length], (name, length))

    def test_a_reply_without_its_end_is_no_answer(self):
        for name, reply in self.NEVER_COMPLETE.items():
            for kind in ("read", "write", "report"):
                self.check_cut(kind, reply, (name, kind))


class TestBrokenReplies(ScriptedTargetTestCase):
    """Replies that are no HTTP/1.1 replies, though their bodies are valid."""

    REFUSAL = format_reply(503, {"attempt": "a1", "code": "shed"})

    def check_no_answer(self, data: bytes) -> None:
        """Check that bytes are no answer, and prove nothing, at once or in parts."""
        for kind in ("read", "write", "report"):
            for is_split in (False, True):
                self.server.is_split = is_split
                with eventlet.Timeout(TIMEOUT_S):
                    result = self.call(kind, data)
                self.server.is_split = False
                assert isinstance(result, BrokenFailure), (kind, data, result)
                assert not result.proves_not_run, (kind, data)
                assert not isinstance(self.call(kind, WHOLE), TargetFailure), data

    @pytest.mark.proof(promise="own answer", failure="the status is out of range")
    def test_a_reply_whose_status_is_out_of_range_is_no_answer(self):
        for status in STATUSES_OUT_OF_RANGE:
            self.check_no_answer(WHOLE.replace(b"200", status, 1))
            self.check_no_answer(self.REFUSAL.replace(b"503", status, 1))

    def test_a_reply_with_another_status_line_is_no_answer(self):
        for line in (
            b"RTSP/1.1 200 OK",
            b"HTTP/2.0 200 OK",
            b"HTTP/1.1 200 O\0K",
            b"\r\nHTTP/1.1 200 OK",
        ):
            self.check_no_answer(WHOLE.replace(b"HTTP/1.1 200 OK", line, 1))
            refusal = line.replace(b"200", b"503")
            self.check_no_answer(
                self.REFUSAL.replace(b"HTTP/1.1 503 Status", refusal, 1)
            )

    def test_a_body_in_an_unknown_transfer_coding_is_no_answer(self):
        body = gzip.compress(BODY, mtime=0)
        chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
        for kind in ("read", "write", "report"):
            result = self.call(kind, head + chunks)
            assert isinstance(result, BadAnswerFailure), (kind, result)
