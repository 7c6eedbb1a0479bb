"""Tests of what VMs tell one another of targets in trouble."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from ..clock import ManualClock
from ..errors import PeerProtocolError
from .outlier_detector import OutlierDetector
from .outlier_reports import KEEP_S, MAX_TOLD, OutlierReports


class TestSightings(TestCase):
    """What is confirmed, for how long, and what peers are told."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.sightings = OutlierReports(self.clock)

    def see_twice(self, gap: float) -> None:
        """See a target two times."""
        self.sightings.add("a")
        self.clock.advance(gap)
        self.sightings.add("a")

    def test_a_short_time_is_chance(self):
        self.see_twice(0.2)
        assert not self.sightings.holds("a")

    def test_two_sightings_apart_are_none(self):
        self.see_twice(0.5)
        assert self.sightings.holds("a")
        assert not self.sightings.holds("b")

    def test_it_ends_without_further_sightings(self):
        self.see_twice(0.5)
        self.clock.advance(KEEP_S)
        assert not self.sightings.holds("a")
        assert self.sightings.tell() == []
        self.sightings.tend()
        self.see_twice(0.2)
        assert not self.sightings.holds("a")

    def test_older_word_does_not_bring_back_what_was_denied(self):
        self.see_twice(0.5)
        told = self.sightings.tell()
        self.sightings.deny("a")
        assert not self.sightings.holds("a")
        self.sightings.take(told)
        assert not self.sightings.holds("a")
        self.clock.advance(0.1)
        self.see_twice(0.5)
        assert self.sightings.holds("a")

    def test_one_sighting_here_and_one_at_a_peer(self):
        peer = OutlierReports(self.clock)
        self.sightings.add("a")
        self.clock.advance(0.5)
        peer.add("a")
        peer.take(self.sightings.tell())
        self.sightings.take(peer.tell())
        assert peer.holds("a")
        assert self.sightings.holds("a")

    @settings(max_examples=100, derandomize=True, database=None, deadline=None)
    @given(st.permutations([[2.0, 1.5], [1.0, 0.2], [1.6, 1.6], [0.4, 0.4]]))
    def test_order_and_repeats_of_words_do_not_matter(self, ages):
        sightings = OutlierReports(ManualClock(100.0))
        for first, last in [*ages, *ages]:
            sightings.take([["a", first, last]])
        assert sightings.tell() == [["a", 2.0, 0.2]]

    def test_what_is_told_is_bounded(self):
        for number in range(MAX_TOLD + 50):
            self.sightings.add(f"t{number}")
        assert len(self.sightings.tell()) == MAX_TOLD

    def test_malformed_words_are_refused(self):
        for word in ("a", ["a", 1.0], ["a", "1", 0.0], [1, 1.0, 0.5]):
            self.assertRaises(PeerProtocolError, self.sightings.take, [word])

    def test_words_from_the_future_or_too_old_change_nothing(self):
        words = [["a", 5.0, -1.0], ["b", 9.0, KEEP_S], ["c", 0.1, 0.5]]
        self.sightings.take(words)
        assert self.sightings.tell() == []


class TestTroubledTargets(TestCase):
    """Slow targets and failing ones."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.troubled = OutlierDetector(self.clock)

    def test_slow_until_a_usual_answer(self):
        self.troubled.record_wait("a", 6.0)
        self.clock.advance(0.5)
        self.troubled.record_answer("a", 6.0)
        assert self.troubled.is_outlier("a")
        self.troubled.record_answer("a", 1.0)
        assert not self.troubled.is_outlier("a")

    def test_changes_are_told_once(self):
        self.troubled.record_failure("a")
        self.troubled.record_wait("b", 6.0)
        assert self.troubled.find_changes() == []
        self.clock.advance(0.5)
        self.troubled.record_failure("a")
        self.troubled.record_wait("b", 6.0)
        assert self.troubled.find_changes() == [("a", "failing"), ("b", "slow")]
        assert self.troubled.find_changes() == []
        assert self.troubled.count() == 2
        self.clock.advance(KEEP_S)
        assert self.troubled.find_changes() == [("a", "well"), ("b", "well")]
        assert self.troubled.count() == 0

    def test_a_failing_target_stays_so_though_it_answers_in_between(self):
        self.troubled.record_failure("a")
        self.troubled.record_answer("a", 1.0)
        self.clock.advance(0.5)
        self.troubled.record_failure("a")
        self.troubled.record_answer("a", 1.0)
        assert self.troubled.is_outlier("a")
        self.clock.advance(KEEP_S)
        assert not self.troubled.is_outlier("a")
