"""Tests of the observation of the store's outages."""

from testtools import TestCase

from ..clock import ManualClock
from .store_contact import OUTAGE_S, StoreContact


class TestStoreContact(TestCase):
    """Outages, and silence that is none."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.contact = StoreContact(self.clock)
        self.contact.record(0.0)

    def test_an_outage_ends_with_the_next_contact(self):
        self.clock.advance(OUTAGE_S + 1.0)
        self.contact.record_failure()
        self.clock.advance(2.0)
        self.contact.record(0.5)
        assert self.contact.time_since_outage == 0.5

    def test_a_peer_without_contact_is_evidence_of_an_outage(self):
        self.clock.advance(OUTAGE_S + 1.0)
        self.contact.record(OUTAGE_S + 1.0)
        self.contact.record(0.0)
        assert self.contact.time_since_outage == 0.0

    def test_silence_alone_is_no_outage(self):
        self.clock.advance(60.0)
        self.contact.record(0.0)
        assert self.contact.time_since_outage == float("inf")

    def test_a_failed_read_while_peers_have_contact_is_no_outage(self):
        for _ in range(10):
            self.clock.advance(1.0)
            self.contact.record(0.2)
            self.contact.record_failure()
        assert self.contact.time_since_outage == float("inf")
