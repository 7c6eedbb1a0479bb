"""Tests of the target client against a real stand-in over loopback sockets."""

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
from cassiastair.tickets import Catalogue
from testtools import TestCase

from standins.target_server import TargetServer
from standins.target_settings import BAD_ANSWERS, TargetSettings

from ..clock import MonotonicClock
from .client import HttpTargetClient

WHOLE = KeyRange(0, 2**32)


class ClientTestCase(TestCase):
    """A client and one target."""

    def setUp(self):
        super().setUp()
        self.clock = MonotonicClock()
        settings = TargetSettings("t", "s", connect_ms=0.0, work_ms=0.1, slots=4)
        self.server = TargetServer(settings)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.target = Target(
            "t", "s", "dc", "127.0.0.1", self.server.port, (WHOLE,), 2, 21
        )
        fleet = TargetRegistry(Catalogue(), DrainingTargets(), self.clock, 7)
        self.client = HttpTargetClient(fleet, self.clock)

    def attempt(self, name: str = "a1", seconds: float = 5.0) -> Attempt:
        """Return an attempt."""
        query = {"search": {}, "key": 1, "body": {}}
        deadline = self.clock.now() + seconds
        return Attempt(name, "s", Snapshot(2, 1), WHOLE, query, deadline, "")

    def ask(self, name: str = "a1"):
        """Ask the target."""
        return self.client.read(self.target, self.attempt(name))

    def kill_after(self, seconds: float, name: str) -> None:
        """Ask in a task and kill it after some seconds."""
        task = eventlet.spawn(self.ask, name)
        eventlet.sleep(seconds)
        task.kill()


class TestRead(ClientTestCase):
    """Reads."""

    def test_answer(self):
        answer = self.ask()
        assert answer.snapshot == Snapshot(2, 1)
        assert len(answer.records) == 40

    def test_refusals(self):
        self.server.change({"held": [[1, 5, 6]]})
        failure = self.assertRaises(NotHeldFailure, self.ask)
        assert [(h.epoch, h.low, h.high) for h in failure.held] == [(1, 5, 6)]
        self.server.change({"draining": True})
        assert self.assertRaises(RefusedFailure, self.ask).code == "draining"
        assert self.server.counts["connections"] == 1  # refusals keep it

    @pytest.mark.proof(
        promise="own answer", failure="crossed, truncated, malformed answers"
    )
    def test_bad_answers_are_failures_and_close_the_connection(self):
        self.ask()
        for fault in BAD_ANSWERS:
            if fault in ("foreign_version", "wide_range", "duplicated"):
                continue  # well-formed: refused by the search, see its tests
            self.server.change({"bad_answer": fault})
            opened = self.server.counts["connections"]
            if fault == "truncated":
                self.kill_after(0.1, "t1")
            else:
                self.assertRaises((BadAnswerFailure, BrokenFailure), self.ask)
            self.server.change({"bad_answer": ""})
            assert self.ask().attempt_id == "a1"
            assert self.server.counts["connections"] == opened + 1, fault

    @pytest.mark.proof(promise="own answer", failure="an answer is sent twice")
    def test_duplicated_answer_never_answers_the_next_attempt(self):
        self.server.change({"bad_answer": "duplicated"})
        assert self.ask("a1").attempt_id == "a1"
        self.server.change({"bad_answer": ""})
        for number in range(3):
            name = f"b{number}"
            try:
                assert self.ask(name).attempt_id == name
            except (BadAnswerFailure, BrokenFailure):
                continue

    @pytest.mark.proof(
        promise="own answer", failure="a connection is reused after a timeout"
    )
    def test_abandoned_connection_is_never_reused(self):
        self.ask()
        self.server.change({"work_ms": 200.0})
        self.kill_after(0.05, "late")
        self.server.change({"work_ms": 0.1})
        assert self.ask("next").attempt_id == "next"
        assert self.server.counts["connections"] == 2

    def test_no_connection(self):
        self.server.stop()
        self.assertRaises(ConnectFailure, self.ask)


class TestConnections(ClientTestCase):
    """A VM's share of the target's connections."""

    def test_share_holds_under_a_burst(self):
        tasks = [eventlet.spawn(self.ask, f"a{n}") for n in range(60)]
        assert all(task.wait().records for task in tasks)
        assert self.server.counts["connections_highest"] <= 21 // 7
        assert self.server.counts["connections_refused"] == 0

    @pytest.mark.proof(
        promise="true coverage", failure="open connections go silent, new ones work"
    )
    def test_siblings_of_a_silent_connection_are_distrusted(self):
        tasks = [eventlet.spawn(self.ask, f"a{n}") for n in range(3)]
        for task in tasks:
            task.wait()
        assert self.server.counts["connections"] == 3
        self.server.change({"silence": True})
        self.kill_after(0.1, "silent")
        for number in range(3):
            assert self.ask(f"b{number}").records
        assert self.client.silences == 1

    def test_report_and_cancel(self):
        report = self.client.fetch_report(self.target, 1.0)
        assert report.serving
        self.server.change({"work_ms": 5000.0})
        task = eventlet.spawn(self.ask, "c1")
        eventlet.sleep(0.05)
        self.client.cancel(self.target, "c1")
        self.assertRaises(TargetFailure, task.wait)
        assert self.server.counts["cancelled"] == 1

    def test_report_of_a_frozen_target(self):
        self.server.change({"frozen": True})
        self.assertRaises(ConnectFailure, self.client.fetch_report, self.target, 0.1)


class TestWrite(ClientTestCase):
    """Non-idempotent requests: what each failure proves."""

    def write(self, name: str, seconds: float = 5.0) -> dict:
        """Send a write."""
        return self.client.write(self.target, self.attempt(name, seconds), name)

    def fail(self, name: str, seconds: float = 5.0) -> TargetFailure:
        """Send a write that fails."""
        return self.assertRaises(TargetFailure, self.write, name, seconds)

    def test_done(self):
        assert self.write("w1")["noted"]
        assert self.server.executions["w1"] == 1

    @pytest.mark.proof(
        promise='"not run" is true', failure="each failure of a target, over sockets"
    )
    def test_proof_of_not_run_is_true(self):
        faults = [
            ({"draining": True}, True),
            ({"shed_share": 1.0}, True),
            ({"bad_answer": "crossed"}, False),
            ({"bad_answer": "garbage"}, False),
            ({"work_ms": 2000.0}, False),
            ({"frozen": True}, False),
        ]
        usual = {
            "draining": False,
            "shed_share": 0.0,
            "bad_answer": "",
            "work_ms": 0.1,
            "frozen": False,
        }
        for position, (fault, proves) in enumerate(faults):
            self.server.change(dict(fault))
            name = f"w{position}"
            failure = self.fail(name, 0.2)
            assert failure.proves_not_run is proves, fault
            self.server.change(dict(usual))
            eventlet.sleep(0.1)
            if failure.proves_not_run:
                assert self.server.executions[name] == 0
            assert self.server.executions[name] <= 1

    def test_silent_connection_is_unknown(self):
        self.write("w1")
        self.server.change({"silence": True})
        assert not self.fail("w2", 0.2).proves_not_run

    def test_no_connection_proves_not_run(self):
        self.server.stop()
        assert self.fail("w1").proves_not_run
