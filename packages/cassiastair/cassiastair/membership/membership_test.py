"""Tests of readers, roster, freshness, leaving marks and the platform's reader."""

import random

from testtools import TestCase

from ..clock import ManualClock
from ..data import Vm
from ..ticket_source import (
    PlatformEntry,
    PlatformError,
    PlatformPage,
    PlatformReader,
    PlatformSource,
    parse_vm_list,
)
from .draining import DrainingTargets, DrainMark
from .freshness import Freshness
from .member_list import LIVE_S, MemberList
from .reader_schedule import ALWAYS_READING, LONGEST_DELAY_S, ReaderSchedule

NAMES = [f"vm{n}" for n in range(300)]


def make_vm(name: str, run: str = "r1") -> Vm:
    """Return a VM."""
    return Vm(name, run, "dc1", "127.0.0.1", 1, 2)


class TestReaderSchedule(TestCase):
    """Few readers, and always one."""

    def test_few_read_while_the_word_is_fresh(self):
        readers = [n for n in NAMES if ReaderSchedule(n, "dc").should_read(NAMES, 0.5)]
        assert len(readers) == ALWAYS_READING

    def test_everybody_may_read_before_the_bound(self):
        for name in NAMES:
            schedule = ReaderSchedule(name, "dc")
            assert schedule.should_read(NAMES, LONGEST_DELAY_S)

    def test_an_isolated_group_finds_its_reader(self):
        for size in (1, 2, 5):
            group = NAMES[10 : 10 + size]
            readers = [
                n for n in group if ReaderSchedule(n, "dc").should_read(group, 0.0)
            ]
            assert len(readers) == min(size, ALWAYS_READING)

    def test_next_ranks_step_in_one_after_the_other(self):
        late = [n for n in NAMES if ReaderSchedule(n, "dc").should_read(NAMES, 1.6)]
        assert len(late) == ALWAYS_READING + 1


class TestRoster(TestCase):
    """Known VMs."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.roster = MemberList(make_vm("vm0"), self.clock)

    def test_contact_goes_before_hearsay(self):
        self.roster.record_contact(make_vm("vm1", "new"))
        self.roster.add_reported([make_vm("vm1", "old")])
        assert self.roster.find("vm1").incarnation == "new"
        self.clock.advance(LIVE_S + 1)
        self.roster.add_reported([make_vm("vm1", "newer")])
        assert self.roster.find("vm1").incarnation == "newer"

    def test_generation_tells_of_changes_only(self):
        self.roster.add_reported([make_vm("vm1")])
        generation = self.roster.generation
        self.roster.add_reported([make_vm("vm1")])
        self.roster.record_contact(make_vm("vm1"))
        assert self.roster.generation == generation
        self.roster.remove("vm1")
        assert self.roster.generation == generation + 1

    def test_old_vms_are_forgotten(self):
        self.roster.add_reported([make_vm("vm1")])
        self.clock.advance(601)
        self.roster.remove_expired()
        assert self.roster.all() == []

    def test_live_locals(self):
        self.roster.record_contact(make_vm("vm1"))
        self.roster.add_reported([make_vm("vm2")])
        assert self.roster.live_local_names() == ["vm1"]
        self.roster.remove("vm1")
        assert self.roster.live_local_names() == []


class TestFreshness(TestCase):
    """Age of the platform's word."""

    def test_newest_word_counts(self):
        clock = ManualClock()
        freshness = Freshness(clock)
        assert freshness.age == float("inf")
        freshness.record(5.0)
        clock.advance(1.0)
        freshness.record(9.0)
        assert freshness.age == 6.0


class TestLeavingTargets(TestCase):
    """Sticky marks."""

    def test_another_incarnation_clears_a_mark_for_good(self):
        leaving = DrainingTargets()
        mark = DrainMark("t", "r1")
        assert leaving.add_mark(mark)
        assert not leaving.record_serving("t", "r1")
        assert leaving.is_draining("t")
        assert leaving.record_serving("t", "r2")
        assert not leaving.is_draining("t")
        assert not leaving.add_mark(mark)  # late word of the old run

    def test_removed_targets_are_forgotten(self):
        leaving = DrainingTargets()
        leaving.add_mark(DrainMark("gone", "r1"))
        leaving.add_mark(DrainMark("kept", "r1"))
        leaving.retain_only({"kept"})
        assert [mark.target for mark in leaving.list_marks()] == ["kept"]

    def test_older_list_is_ignored(self):
        leaving = DrainingTargets()
        assert leaving.replace_list(5, ["t"])
        assert not leaving.replace_list(4, [])
        assert leaving.is_draining("t")


class ScriptedSource(PlatformSource):
    """Platform that gives pages or errors from a script."""

    def __init__(self, script):
        self.script = list(script)
        self.asked: list[int] = []

    def watch(self, after: int, wait: float) -> PlatformPage:
        """Return the next page of the script."""
        self.asked.append(after)
        page = self.script.pop(0)
        if isinstance(page, Exception):
            raise page
        return page


class TestPlatformReader(TestCase):
    """Reading of the platform."""

    def read(self, script) -> tuple[PlatformReader, ScriptedSource, list, list]:
        """Read a script to its end."""
        clock = ManualClock()
        source = ScriptedSource(script)
        taken: list = []
        pauses: list[float] = []
        reader = PlatformReader(
            source,
            ReaderSchedule("vm0", "dc1"),
            MemberList(make_vm("vm0"), clock),
            Freshness(clock),
            taken.extend,
            pauses.append,
            random.Random(1),
        )
        while source.script:
            reader.read_page(3.0)
        return reader, source, taken, pauses

    def test_backoff_grows_and_ends(self):
        failures = [PlatformError("down")] * 8
        reader, _, _, pauses = self.read([*failures, PlatformPage(3, (), False)])
        assert pauses[0] < 0.4
        assert 2.0 <= max(pauses) <= 6.0
        assert reader.revision == 3

    def test_stale_platform_is_read_again_from_the_start(self):
        old = PlatformEntry("tickets/1", b"{}")
        script = [
            PlatformPage(9, (), False),
            PlatformPage(4, (), False),
            PlatformPage(4, (old,), False),
        ]
        reader, source, taken, _ = self.read(script)
        assert source.asked == [0, 9, 0]
        assert taken == [old]
        assert reader.revision == 4

    def test_malformed_list(self):
        for raw in (b"", b"[]", b'{"vms": 1}', b'{"vms": [{}], "leaving_targets": []}'):
            assert parse_vm_list(raw) is None
