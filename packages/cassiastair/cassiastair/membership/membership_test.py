"""Tests of readers, members, freshness, draining targets and platform reads."""

import random

from testtools import TestCase

from ..clock import ManualClock
from ..data import StorePosition, Vm
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
from .member_list import LIVENESS_TIMEOUT_S, MemberList
from .reader_schedule import ACTIVE_READERS, MAX_TAKEOVER_AGE_S, ReaderSchedule

NAMES = [f"vm{n}" for n in range(300)]


def make_vm(name: str, run: str = "r1") -> Vm:
    """Return a VM of data centre dc1."""
    return Vm(name, run, "dc1", "127.0.0.1", 1, 2)


class TestReaderSchedule(TestCase):
    """Number of readers by age of the state and size of the group."""

    def test_two_vms_read_while_the_state_is_fresh(self):
        readers = [n for n in NAMES if ReaderSchedule(n, "dc").should_read(NAMES, 0.5)]
        assert len(readers) == ACTIVE_READERS

    def test_all_vms_read_at_the_maximum_age(self):
        for name in NAMES:
            schedule = ReaderSchedule(name, "dc")
            assert schedule.should_read(NAMES, MAX_TAKEOVER_AGE_S)

    def test_isolated_group_has_readers_of_its_own(self):
        for size in (1, 2, 5):
            group = NAMES[10 : 10 + size]
            readers = [
                n for n in group if ReaderSchedule(n, "dc").should_read(group, 0.0)
            ]
            assert len(readers) == min(size, ACTIVE_READERS)

    def test_one_more_vm_reads_when_the_state_gets_old(self):
        readers = [n for n in NAMES if ReaderSchedule(n, "dc").should_read(NAMES, 1.6)]
        assert len(readers) == ACTIVE_READERS + 1


class TestMemberList(TestCase):
    """Reports, contacts and expiry of known VMs."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.members = MemberList(make_vm("vm0"), self.clock)

    def test_report_does_not_replace_a_recent_contact(self):
        self.members.record_contact(make_vm("vm1", "new"))
        self.members.add_reported([make_vm("vm1", "old")])
        assert self.members.find("vm1").incarnation == "new"
        self.clock.advance(LIVENESS_TIMEOUT_S + 1)
        self.members.add_reported([make_vm("vm1", "newer")])
        assert self.members.find("vm1").incarnation == "newer"

    def test_generation_rises_with_changes_only(self):
        self.members.add_reported([make_vm("vm1")])
        generation = self.members.generation
        self.members.add_reported([make_vm("vm1")])
        self.members.record_contact(make_vm("vm1"))
        assert self.members.generation == generation
        self.members.remove("vm1")
        assert self.members.generation == generation + 1

    def test_expired_vms_are_removed(self):
        self.members.add_reported([make_vm("vm1")])
        self.clock.advance(601)
        self.members.remove_expired()
        assert self.members.all() == []

    def test_only_contacted_vms_are_live_local_names(self):
        self.members.record_contact(make_vm("vm1"))
        self.members.add_reported([make_vm("vm2")])
        assert self.members.live_local_names() == ["vm1"]
        self.members.remove("vm1")
        assert self.members.live_local_names() == []


class TestFreshness(TestCase):
    """Age of the platform's last confirmation."""

    def test_newest_confirmation_sets_the_age(self):
        clock = ManualClock()
        freshness = Freshness(clock)
        assert freshness.age == float("inf")
        freshness.record(5.0)
        clock.advance(1.0)
        freshness.record(9.0)
        assert freshness.age == 6.0


class TestDrainingTargets(TestCase):
    """Drain marks and the platform's list."""

    def test_another_incarnation_clears_a_mark_permanently(self):
        draining = DrainingTargets()
        mark = DrainMark("t", "r1")
        assert draining.add_mark(mark)
        assert not draining.record_serving("t", "r1")
        assert draining.is_draining("t")
        assert draining.record_serving("t", "r2")
        assert not draining.is_draining("t")
        assert not draining.add_mark(mark)  # a late report about the old run

    def test_retain_only_drops_marks_of_other_targets(self):
        draining = DrainingTargets()
        draining.add_mark(DrainMark("gone", "r1"))
        draining.add_mark(DrainMark("kept", "r1"))
        draining.retain_only({"kept"})
        assert [mark.target for mark in draining.list_marks()] == ["kept"]

    def test_older_list_is_ignored(self):
        draining = DrainingTargets()
        assert draining.replace_list(5, ["t"])
        assert not draining.replace_list(4, [])
        assert draining.is_draining("t")

    def test_list_of_a_later_era_replaces_the_known_one(self):
        draining = DrainingTargets()
        draining.replace_list(StorePosition(0, 5).to_number(), ["a"])
        assert draining.replace_list(StorePosition(1, 5).to_number(), ["b"])
        assert draining.listed == {"b"}
        assert not draining.replace_list(StorePosition(0, 9).to_number(), ["a"])

    def test_older_list_of_a_later_era_adds_to_the_known_one_until_the_next(self):
        draining = DrainingTargets()
        draining.replace_list(StorePosition(0, 5).to_number(), ["a"])
        draining.replace_list(StorePosition(1, 3).to_number(), ["b"])
        assert draining.listed == {"a", "b"}
        draining.replace_list(StorePosition(1, 4).to_number(), ["c"])
        assert draining.listed == {"c"}


class ScriptedSource(PlatformSource):
    """Platform that returns pages and raises errors in a given order."""

    def __init__(self, script):
        self.script = list(script)
        self.asked: list[int] = []

    def watch(self, after: int, wait: float) -> PlatformPage:
        """Return or raise the next entry of the script."""
        self.asked.append(after)
        page = self.script.pop(0)
        if isinstance(page, Exception):
            raise page
        return page


class TestPlatformReader(TestCase):
    """Pages, failures and stale states of the platform."""

    def read(self, script) -> tuple[PlatformReader, ScriptedSource, list, list]:
        """Read a script to its end; return the reader and what it recorded."""
        clock = ManualClock()
        source = ScriptedSource(script)
        entries: list = []
        pauses: list[float] = []
        reader = PlatformReader(
            source,
            ReaderSchedule("vm0", "dc1"),
            MemberList(make_vm("vm0"), clock),
            Freshness(clock),
            entries.extend,
            pauses.append,
            random.Random(1),
        )
        while source.script:
            reader.read_page(3.0)
        return reader, source, entries, pauses

    def test_backoff_grows_until_a_page_is_read(self):
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
        reader, source, entries, _ = self.read(script)
        assert source.asked == [0, 9, 0]
        assert entries == [old]
        assert reader.revision == 4

    def test_page_of_an_earlier_era_changes_nothing_and_is_followed_by_a_pause(self):
        late = PlatformEntry("tickets/1", b"{}")
        script = [
            PlatformPage(9, (), False, 2),
            PlatformPage(9, (), False, 2),
            *[PlatformPage(20, (late,), False, 1)] * 6,
            PlatformPage(9, (), False, 2),
        ]
        reader, source, entries, pauses = self.read(script)
        assert source.asked == [0, 0, *[9] * 7]
        assert entries == []
        assert max(pauses) > 2.0

    def test_malformed_vm_list_is_refused(self):
        for raw in (b"", b"[]", b'{"vms": 1}', b'{"vms": [{}], "leaving_targets": []}'):
            assert parse_vm_list(raw) is None

    def test_vm_list_with_a_revision_out_of_range_is_refused(self):
        for revision, is_read in ((0, True), (2**63 - 1, True), (-1, False)):
            raw = b'{"revision": %d, "vms": [], "leaving_targets": []}' % revision
            assert (parse_vm_list(raw) is not None) == is_read
        raw = b'{"revision": 9223372036854775808, "vms": [], "leaving_targets": []}'
        assert parse_vm_list(raw) is None
