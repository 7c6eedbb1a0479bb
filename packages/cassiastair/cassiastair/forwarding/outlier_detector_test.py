"""Tests of the reports that VMs exchange on slow and failing targets."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from ..clock import ManualClock
from ..errors import PeerProtocolError
from .outlier_detector import FAILING_EXPIRE_S, OutlierDetector
from .outlier_reports import MAX_EXPORTED, OutlierReports

EXPIRE_AFTER_S = 3.0


class TestOutlierReports(TestCase):
    """Confirmation, expiry, export and merging of reports."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.reports = OutlierReports(self.clock, EXPIRE_AFTER_S)

    def observe_twice(self, gap: float) -> None:
        """Record two observations of a target."""
        self.reports.add("a")
        self.clock.advance(gap)
        self.reports.add("a")

    def test_two_observations_close_together_are_not_confirmed(self):
        self.observe_twice(0.2)
        assert not self.reports.is_confirmed("a")

    def test_two_observations_further_apart_are_confirmed(self):
        self.observe_twice(0.5)
        assert self.reports.is_confirmed("a")
        assert not self.reports.is_confirmed("b")

    def test_a_report_expires_without_further_observations(self):
        self.observe_twice(0.5)
        self.clock.advance(EXPIRE_AFTER_S)
        assert not self.reports.is_confirmed("a")
        assert self.reports.export() == []
        self.reports.remove_expired()
        self.observe_twice(0.2)
        assert not self.reports.is_confirmed("a")

    def test_older_reports_do_not_restore_a_retracted_one(self):
        self.observe_twice(0.5)
        exported = self.reports.export()
        self.reports.retract("a")
        assert not self.reports.is_confirmed("a")
        self.reports.merge(exported)
        assert not self.reports.is_confirmed("a")
        self.clock.advance(0.1)
        self.observe_twice(0.5)
        assert self.reports.is_confirmed("a")

    def test_observations_of_two_vms_confirm_each_other(self):
        peer = OutlierReports(self.clock, EXPIRE_AFTER_S)
        self.reports.add("a")
        self.clock.advance(0.5)
        peer.add("a")
        peer.merge(self.reports.export())
        self.reports.merge(peer.export())
        assert peer.is_confirmed("a")
        assert self.reports.is_confirmed("a")

    @settings(max_examples=100, derandomize=True, database=None, deadline=None)
    @given(st.permutations([[2.0, 1.5], [1.0, 0.2], [1.6, 1.6], [0.4, 0.4]]))
    def test_merging_is_commutative_and_idempotent(self, ages):
        reports = OutlierReports(ManualClock(100.0), EXPIRE_AFTER_S)
        for first, last in [*ages, *ages]:
            reports.merge([["a", first, last]])
        assert reports.export() == [["a", 2.0, 0.2]]

    def test_the_number_of_exported_reports_is_bounded(self):
        for number in range(MAX_EXPORTED + 50):
            self.reports.add(f"t{number}")
        assert len(self.reports.export()) == MAX_EXPORTED

    def test_malformed_reports_are_rejected(self):
        for report in ("a", ["a", 1.0], ["a", "1", 0.0], [1, 1.0, 0.5]):
            self.assertRaises(PeerProtocolError, self.reports.merge, [report])

    def test_reports_from_the_future_or_expired_are_ignored(self):
        received = [["a", 5.0, -1.0], ["b", 9.0, EXPIRE_AFTER_S], ["c", 0.1, 0.5]]
        self.reports.merge(received)
        assert self.reports.export() == []


class TestOutlierDetector(TestCase):
    """States of slow and of failing targets."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.detector = OutlierDetector(self.clock)

    def test_a_target_is_slow_until_an_answer_with_normal_latency(self):
        self.detector.record_wait("a", 6.0)
        self.clock.advance(0.5)
        self.detector.record_answer("a", 6.0)
        assert self.detector.is_outlier("a")
        self.detector.record_answer("a", 1.0)
        assert not self.detector.is_outlier("a")

    def test_each_change_is_returned_once(self):
        self.detector.record_failure("a")
        self.detector.record_wait("b", 6.0)
        assert self.detector.find_changes() == []
        self.clock.advance(0.5)
        self.detector.record_failure("a")
        self.detector.record_wait("b", 6.0)
        assert self.detector.find_changes() == [("a", "failing"), ("b", "slow")]
        assert self.detector.find_changes() == []
        assert self.detector.count() == 2
        self.clock.advance(FAILING_EXPIRE_S)
        assert self.detector.find_changes() == [("a", "well"), ("b", "well")]
        assert self.detector.count() == 0

    def test_answers_in_between_do_not_clear_a_failing_target(self):
        self.detector.record_failure("a")
        self.detector.record_answer("a", 1.0)
        self.clock.advance(0.5)
        self.detector.record_failure("a")
        self.detector.record_answer("a", 1.0)
        assert self.detector.is_outlier("a")
        self.clock.advance(FAILING_EXPIRE_S)
        assert not self.detector.is_outlier("a")
