"""Tests of the entry daemon's memory: its limit, waiting, pressure and returns."""

from unittest import mock

import eventlet
from cassiastair.clock import ManualClock
from cassiastair.errors import MemoryFullError
from testtools import TestCase

from .entry_memory import CREST_SHARE, RETURNS_AFTER_CREST, USABLE_SHARE, EntryMemory

MEMORY_BYTES = 100_000_000
IDLE_BYTES = 30_000_000


class EntryMemoryTestCase(TestCase):
    """Memory of a process with a manual clock and a size that the test sets."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.resident = IDLE_BYTES
        self.memory = EntryMemory(MEMORY_BYTES, self.clock, lambda: self.resident)
        self.bodies = self.memory.bodies


class TestLimit(EntryMemoryTestCase):
    """Derivation of the limit from the size of the idle process."""

    def test_the_limit_leaves_the_idle_process_and_a_margin(self):
        expected = int(USABLE_SHARE * MEMORY_BYTES) - IDLE_BYTES
        assert self.memory.account.limit == expected

    def test_held_memory_is_not_counted_as_idle(self):
        assert self.bodies.try_reserve(5_000_000)
        self.resident += 5_000_000
        limit = self.memory.account.limit
        self.memory.measure_idle()
        assert self.memory.account.limit == limit

    def test_a_large_idle_process_still_has_a_limit(self):
        self.resident = MEMORY_BYTES
        self.memory.measure_idle()
        assert 0 < self.memory.account.limit < 0.2 * MEMORY_BYTES


class TestReserve(EntryMemoryTestCase):
    """Waiting of tasks for memory."""

    def reserve(self, check=lambda: None):
        """Reserve memory for a small body with a wait of 1 s at most."""
        self.memory.reserve(self.bodies, 1000, 1.0, check)

    def test_a_task_waits_until_memory_is_released(self):
        size = self.bodies.available
        assert self.bodies.try_reserve(size)
        task = eventlet.spawn(self.reserve)
        eventlet.sleep(0)
        self.bodies.release(size)
        task.wait()
        assert self.bodies.held == 1000

    def test_a_task_that_waits_too_long_is_refused_and_holds_nothing(self):
        size = self.bodies.available
        assert self.bodies.try_reserve(size)
        check = mock.Mock(side_effect=lambda: self.clock.advance(0.6))
        self.assertRaises(MemoryFullError, self.reserve, check)
        assert self.memory.account.waiting == 0
        assert self.bodies.held == size
        assert self.memory.take_shortage() == 1000
        assert self.memory.take_shortage() == 0

    def test_a_task_that_is_killed_while_it_waits_leaves_the_queue(self):
        assert self.bodies.try_reserve(self.bodies.available)
        task = eventlet.spawn(self.reserve)
        eventlet.sleep(0)
        assert self.memory.account.waiting == 1000
        task.kill()
        assert self.memory.account.waiting == 0


class TestPressure(EntryMemoryTestCase):
    """Begin and end of pressure, and returns of memory after it."""

    def test_pressure_begins_once_and_ends_after_a_quiet_time(self):
        assert self.memory.check() is None
        self.bodies.refuse(1000)
        changes = []
        for _ in range(12):
            changes.append(self.memory.check())
            self.clock.advance(0.5)
        assert [c for c in changes if c] == ["begin", "end"]

    def test_memory_is_returned_after_a_crest_and_not_on_calm_days(self):
        path = f"{EntryMemory.__module__}.return_free_memory"
        with mock.patch(path) as return_free_memory:
            crest = int(CREST_SHARE * self.memory.account.limit)
            assert self.bodies.try_reserve(crest // 2)
            self.memory.check()
            self.bodies.release(crest // 2)
            self.memory.check()
            assert not return_free_memory.called
            assert self.bodies.try_reserve(2 * crest)
            self.memory.check()
            self.bodies.release(2 * crest)
            for _ in range(2 * RETURNS_AFTER_CREST):
                self.memory.check()
            assert return_free_memory.call_count == RETURNS_AFTER_CREST
