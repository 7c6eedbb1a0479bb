"""Tests of the issuer: repeats, unissued and expired ids, the limit of ids."""

import eventlet
from testtools import TestCase

from ..clock import ManualClock
from ..data import Outcome, RequestId
from ..data.request_id import parse_request_id
from ..errors import (
    ExpiredIdError,
    OverloadedError,
    ReusedIdError,
    UnissuedIdError,
)
from ..testing import run_in_virtual_time
from .issuer import RETENTION_S, RequestIdIssuer, parse_issued_id
from .result import RequestResult

DONE = RequestResult(Outcome.DONE, {"ok": True}, 200)


def fail_if_run() -> RequestResult:
    """Raise an error, to show that the issuer ran a request it must not run."""
    raise AssertionError("the request ran a second time")


class TestRequestIdIssuer(TestCase):
    """The request of an id runs at most once."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.issuer = RequestIdIssuer("vm1", "run1", self.clock)

    def test_repeat_returns_the_first_result(self):
        request_id = self.issuer.issue()
        assert self.issuer.run_once(request_id, b"x", lambda: DONE) == DONE
        assert self.issuer.run_once(request_id, b"x", fail_if_run) == DONE

    def test_other_request_under_the_same_id_is_refused(self):
        request_id = self.issuer.issue()
        self.issuer.run_once(request_id, b"x", lambda: DONE)
        self.assertRaises(
            ReusedIdError, self.issuer.run_once, request_id, b"y", fail_if_run
        )

    def test_expired_id_never_runs(self):
        request_id = self.issuer.issue()
        self.clock.advance(RETENTION_S + 1)
        self.assertRaises(
            ExpiredIdError, self.issuer.run_once, request_id, b"x", fail_if_run
        )

    def test_unissued_id_is_refused(self):
        made_up = RequestId("vm1", "run1", 99)
        self.assertRaises(
            UnissuedIdError, self.issuer.run_once, made_up, b"x", fail_if_run
        )
        for text in ("", "mine-1", "a~b", "a~b~c", "a~b~-1", "~b~1", "a~b~1~2"):
            self.assertRaises(UnissuedIdError, parse_issued_id, text)

    def test_issuing_beyond_the_limit_is_refused(self):
        issuer = RequestIdIssuer("vm1", "run1", self.clock, max_ids=3)
        for _ in range(3):
            issuer.issue()
        self.assertRaises(OverloadedError, issuer.issue)
        self.clock.advance(RETENTION_S + 1)
        issuer.issue()

    def test_text_form_is_parsed_back(self):
        request_id = self.issuer.issue()
        assert parse_request_id(str(request_id)) == request_id
        assert self.issuer.has_issued(request_id)
        assert not RequestIdIssuer("vm1", "run2", self.clock).has_issued(request_id)

    def test_simultaneous_repeats_wait_for_the_first_result(self):
        def run(clock):
            issuer = RequestIdIssuer("vm1", "run1", clock)
            request_id = issuer.issue()
            runs = []

            def work():
                runs.append(1)
                eventlet.sleep(1)
                return DONE

            tasks = [
                eventlet.spawn(issuer.run_once, request_id, b"x", work)
                for _ in range(9)
            ]
            assert [task.wait() for task in tasks] == [DONE] * 9
            assert runs == [1]

        run_in_virtual_time(run)
