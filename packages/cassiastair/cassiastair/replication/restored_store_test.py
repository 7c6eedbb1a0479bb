"""Tests of reading and replicating a store that comes back from an older copy."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from ..clock import ManualClock
from ..testing.replication_bench import Fleet

MAX_CALLS_A_SECOND = 4  # of one reader whose calls bring nothing


class TestReader(TestCase):
    """One VM that reads the store."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.fleet = Fleet(1, self.clock)
        self.store = self.fleet.store
        self.reader = self.fleet.make_reader(0)
        self.store.write("kept", b"1")
        self.copy = self.store.take_copy()
        for number in range(10):
            self.store.write("lost", bytes([number]))
        self.read()

    def read(self) -> None:
        """Read until the store has been watched after its last change."""
        for _ in range(4):
            self.reader.read_once()

    def check_replica(self) -> None:
        """Check that the VM knows what the store has."""
        assert self.fleet.get_values(0) == self.store.get_values()

    def test_change_below_the_known_revision_is_taken(self):
        self.store.restore(self.copy)
        self.store.write("new", b"1")
        self.read()
        self.check_replica()

    def test_changes_below_the_known_revision_are_taken_once_it_has_passed(self):
        self.store.restore(self.copy)
        self.store.write("new", b"1")
        for number in range(20):
            self.store.write("other", bytes([number]))
        self.read()
        self.check_replica()

    def test_change_at_the_known_revision_is_taken(self):
        self.store.restore(self.copy)
        for number in range(10):
            self.store.write(f"new{number}", b"1")
        self.read()
        self.check_replica()

    def test_removal_and_older_value_of_the_copy_are_taken(self):
        self.store.write("kept", b"2")
        self.store.write("later", b"1")
        self.read()
        self.store.restore(self.copy)
        self.read()
        self.check_replica()

    def test_several_returns_in_a_row_are_read(self):
        for number in range(3):
            self.store.restore(self.copy)
            self.store.write(f"new{number}", b"1")
            self.read()
            self.check_replica()
        for _ in range(3):
            self.store.restore(self.copy)
        self.read()
        self.check_replica()

    def test_refused_watches_are_not_repeated_at_once(self):
        self.store.restore(self.copy)
        self.store.drop_history()
        self.store.history_start += 100  # the store refuses every watch
        started, calls = self.clock.now(), self.store.calls
        for _ in range(40):
            self.reader.read_once()
        seconds = self.clock.now() - started
        assert self.store.calls - calls <= MAX_CALLS_A_SECOND * seconds


class TestVms(TestCase):
    """VMs that send one another what some of them have read."""

    def test_change_after_the_return_reaches_all_vms(self):
        fleet = Fleet(4, ManualClock())
        fleet.store.write("kept", b"1")
        copy = fleet.store.take_copy()
        for number in range(10):
            fleet.store.write("lost", bytes([number]))
        reader = fleet.make_reader(0)
        reader.read_once()
        fleet.deliver()
        fleet.store.restore(copy)
        fleet.store.write("new", b"1")
        for _ in range(4):
            reader.read_once()
            fleet.deliver()
        for number in range(4):
            assert fleet.get_values(number) == fleet.store.get_values()

    @settings(max_examples=150, derandomize=True, database=None, deadline=None)
    @given(st.integers(0, 2**32))
    def test_replicas_converge_through_returns_restarts_and_lost_messages(self, seed):
        rng = random.Random(seed)
        fleet = Fleet(5, ManualClock())
        store = fleet.store
        copies = [store.take_copy()]
        for _ in range(60):
            step = rng.random()
            if step < 0.4:
                value = None if rng.random() < 0.3 else rng.randbytes(1)
                store.write(f"k{rng.randrange(6)}", value)
            elif step < 0.65:
                fleet.make_reader(rng.randrange(5)).read_once()
            elif step < 0.7:
                copies.append(store.take_copy())
            elif step < 0.77:
                store.restore(rng.choice(copies))
            elif step < 0.8:
                store.drop_history()
            elif step < 0.85:
                fleet.restart(rng.randrange(5))
            else:
                fleet.nodes[rng.randrange(5)].send_heartbeats()
            fleet.deliver(lose=lambda: rng.random() < 0.3)
        reader = fleet.make_reader(0)
        for _ in range(4):
            reader.read_once()
        for _ in range(3):
            for node in fleet.nodes:
                node.send_heartbeats()
            fleet.deliver()
        for number in range(5):
            assert fleet.get_values(number) == store.get_values()
