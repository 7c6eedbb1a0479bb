"""Tests of reading and replicating a store that comes back from an older copy."""

import random
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from ..clock import ManualClock
from ..testing.replication_bench import Fleet
from .client import StorePage
from .item import StoreItem, place_items
from .replica import StoreReplica

MAX_CALLS_A_SECOND = 4  # of one reader whose calls bring nothing


class TestPlacedItems(TestCase):
    """Items as the store sends them, in the order of its states."""

    def test_placed_items_have_positions_as_revisions(self):
        items = [StoreItem("a", 7, b"1"), StoreItem("b", 9, None)]
        assert place_items(items, 0) == items
        placed = place_items(items, 2)
        assert [item.revision for item in placed] == [2**64 + 7, 2**64 + 9]
        assert [item.value for item in placed] == [b"1", None]


class OneVmTestCase(TestCase):
    """One VM that reads a store."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.fleet = Fleet(1, self.clock)
        self.store = self.fleet.store
        self.reader = self.fleet.make_reader(0)

    def read(self) -> None:
        """Read until the store has been watched after its last change."""
        for _ in range(4):
            self.reader.read_once()


class TestReader(OneVmTestCase):
    """What the VM knows of the store, and how often it calls it."""

    def setUp(self):
        super().setUp()
        self.store.write("kept", b"1")
        self.copy = self.store.take_copy()
        for number in range(10):
            self.store.write("lost", bytes([number]))
        self.read()

    def check_replica(self) -> None:
        """Check that the VM knows what the store has."""
        assert len(self.fleet.nodes[0].replica) == len(self.store.items)
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

    def test_peer_that_brings_the_era_during_a_watch_saves_a_full_read(self):
        other = Fleet(1, self.clock)
        other.store.restore(self.copy)
        other.make_reader(0).read_once()
        replica = other.nodes[0].replica
        self.store.restore(self.copy)
        self.store.write("new", b"1")
        watch = self.store.watch

        def watch_slowly(after: int, wait: float):
            self.store.watch = watch
            self.fleet.nodes[0].replica.replace(replica.list_items(), replica.revision)
            return StorePage(tuple(self.store.history), self.store.revision, 1)

        self.store.watch = watch_slowly
        calls = self.store.calls
        self.reader.read_once()
        assert self.store.calls == calls
        self.read()
        self.check_replica()

    def test_answer_of_an_earlier_era_confirms_nothing_and_is_not_repeated(self):
        self.store.restore(self.copy)
        self.read()
        self.clock.advance(5.0)
        self.store.era = 0
        started, calls = self.clock.now(), self.store.calls
        for _ in range(10):
            assert not self.reader.read_once()
        self.check_replica()
        assert self.fleet.nodes[0].freshness.age >= 5.0
        seconds = self.clock.now() - started
        assert self.store.calls - calls <= MAX_CALLS_A_SECOND * seconds

    def test_refused_watches_are_not_repeated_at_once(self):
        self.store.restore(self.copy)
        self.store.drop_history()
        self.store.history_start += 100  # the store refuses every watch
        started, calls = self.clock.now(), self.store.calls
        for _ in range(40):
            self.reader.read_once()
        seconds = self.clock.now() - started
        assert self.store.calls - calls <= MAX_CALLS_A_SECOND * seconds


class TestItemsInForce(OneVmTestCase):
    """What a VM acts on until the store has caught up with what it knew."""

    def setUp(self):
        super().setUp()
        self.write(config=b"1", drained=b"ready", gone=b"ready", changed=b"1")
        self.copy = self.store.take_copy()
        self.write(config=b"2", drained=b"draining", gone=None, changed=b"2")
        self.write(added=b"ready")
        self.known = dict(self.in_force)

    @property
    def in_force(self) -> dict[str, bytes]:
        """Values that the VM acts on, by key."""
        return self.fleet.in_force[0]

    def write(self, **values: bytes | None) -> None:
        """Write keys and let the VM read the store."""
        for key, value in values.items():
            self.store.write(key, value)
        self.read()

    def restore(self) -> None:
        """Restore the store from the copy and let the VM read it."""
        self.store.restore(self.copy)
        self.read()

    def pass_time(self, seconds: float, is_store_reached: bool = True) -> None:
        """Advance the clock, in the steps of the maintenance task."""
        for _ in range(round(seconds / 0.5)):
            self.clock.advance(0.5)
            if is_store_reached:
                self.reader.read_once()
            self.fleet.unconfirmed[0].release_expired()

    def test_older_states_and_missing_items_of_the_copy_change_nothing(self):
        self.restore()
        assert self.in_force == self.known | {"changed": b"1"}
        assert self.fleet.events == [
            ("store restored", {"missing": 1, "older": 3, "changed": 1})
        ]

    def test_missing_item_is_removed_unless_it_is_written_again(self):
        self.store.write("lost", b"ready")
        self.read()
        self.restore()
        self.write(added=b"ready")
        assert {"added", "lost"} <= self.in_force.keys()
        self.pass_time(3.0)
        assert "added" in self.in_force
        assert "lost" not in self.in_force

    def test_vm_that_is_cut_off_keeps_what_it_knew(self):
        self.restore()
        self.pass_time(60.0, is_store_reached=False)
        assert self.in_force == self.known | {"changed": b"1"}
        self.read()
        self.pass_time(0.5)
        assert self.in_force.keys() == {"config", "drained", "gone", "changed"}

    def test_draining_target_is_ready_once_its_record_has_not_lapsed(self):
        self.restore()
        self.pass_time(6.0)
        assert self.in_force["drained"] == b"draining"
        assert "gone" not in self.in_force
        self.pass_time(1.5)
        assert self.in_force["drained"] == b"ready"
        assert self.in_force["gone"] == b"ready"

    def test_record_that_lapses_leaves_a_removed_target_removed(self):
        self.restore()
        self.write(drained=None, gone=None)
        self.pass_time(10.0)
        assert not {"drained", "gone"} & self.in_force.keys()

    def test_record_that_is_written_again_revives_a_removed_target(self):
        self.restore()
        self.write(gone=b"ready")
        assert self.in_force["gone"] == b"ready"

    def test_older_state_that_is_written_again_does_not_revive_a_target(self):
        self.restore()
        self.write(drained=b"ready")
        assert self.in_force["drained"] == b"draining"
        self.write(drained=b"draining")
        self.pass_time(10.0)
        assert self.in_force["drained"] == b"draining"

    def test_older_state_of_a_missing_target_is_kept_out_as_long_as_of_others(self):
        self.write(added=b"draining")
        self.restore()
        self.write(added=b"ready")
        self.pass_time(6.0)
        assert self.in_force["added"] == b"draining"
        self.pass_time(1.5)
        assert self.in_force["added"] == b"ready"

    def test_changes_in_a_row_do_not_keep_a_target_draining_for_ever(self):
        self.restore()
        for number in range(20):
            self.write(drained=b"ready", other=bytes([number]))
            self.pass_time(0.5)
        assert self.in_force["drained"] == b"ready"

    def test_configuration_stays_until_a_newer_one_is_written(self):
        self.restore()
        self.pass_time(60.0)
        assert self.in_force["config"] == b"2"
        self.write(config=b"1")
        assert self.in_force["config"] == b"2"
        self.write(config=b"3")
        assert self.in_force["config"] == b"3"
        self.write(config=b"4")
        assert self.in_force["config"] == b"4"

    def test_items_are_kept_through_returns_in_a_row(self):
        for _ in range(3):
            self.restore()
            self.pass_time(1.0)
        assert self.in_force == self.known | {"changed": b"1"}
        assert len(self.fleet.unconfirmed[0]) == 4
        self.pass_time(10.0)
        assert "added" not in self.in_force
        assert self.in_force["config"] == b"2"

    def test_later_copy_that_has_what_was_known_confirms_it(self):
        later_copy = self.store.take_copy()
        self.restore()
        self.store.restore(later_copy)
        self.read()
        assert len(self.fleet.unconfirmed[0]) == 0
        self.pass_time(10.0)
        assert self.in_force == self.known

    def test_removed_configuration_is_taken_from_the_copy(self):
        self.write(config=None)
        self.restore()
        assert self.in_force["config"] == b"1"

    def test_confirmation_is_logged_once(self):
        self.restore()
        self.write(config=b"2", drained=b"draining", gone=None, added=b"ready")
        self.pass_time(10.0)
        events = [event for event, _ in self.fleet.events]
        assert events == ["store restored", "store confirmed"]


class TestPeersWithKeptItems(TestCase):
    """A VM that starts after the return and has peers that know more than the store."""

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(3, ManualClock())
        self.store = self.fleet.store
        self.store.write("config", b"1")
        copy = self.store.take_copy()
        self.store.write("config", b"2")
        self.store.write("added", b"ready")
        self.reader = self.fleet.make_reader(0)
        self.read(self.reader)
        self.store.restore(copy)
        self.read(self.reader)

    def read(self, reader) -> None:
        """Read the store and deliver what follows."""
        for _ in range(3):
            reader.read_once()
            self.fleet.deliver()

    def check(self, number: int) -> None:
        """Check that a VM acts on what its peers know."""
        assert self.fleet.in_force[number] == {"config": b"2", "added": b"ready"}

    def test_vm_that_hears_its_peers_first_keeps_what_they_know(self):
        self.fleet.restart(2)
        self.fleet.deliver()
        self.check(2)
        self.read(self.fleet.make_reader(2))
        self.check(2)

    def test_vm_that_reads_the_copy_first_takes_what_its_peers_know(self):
        self.start_without_peers()
        assert self.fleet.in_force[2] == {"config": b"1"}
        self.fleet.connect(0, 2)
        self.fleet.deliver()
        self.check(2)

    def test_peer_that_keeps_less_changes_nothing(self):
        kept = self.fleet.unconfirmed[0]
        for version, expected in ((b"1x", b"2"), (b"3", b"3")):
            kept.add_known([StoreItem("config", 2, version)], lambda key: None)
            assert self.fleet.in_force[0]["config"] == expected

    def test_peer_that_knows_less_changes_nothing(self):
        self.store.write("config", b"3")
        self.start_without_peers()
        self.fleet.connect(0, 2)
        self.fleet.deliver()
        assert self.fleet.in_force[2]["config"] == b"3"

    def start_without_peers(self) -> None:
        """Restart a VM and let it read the store before it has any link."""
        self.fleet.restart(2)
        for end in self.fleet.links:
            end.queue.clear()
        self.fleet.make_reader(2).read_once()


class TestVms(TestCase):
    """VMs that send one another what some of them have read."""

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(3, ManualClock())
        self.store = self.fleet.store
        for number in range(50):
            self.store.write(f"kept{number}", b"1")
        self.copy = self.store.take_copy()
        self.store.write("lost", b"1")
        self.store.write("kept0", None)
        self.store.write("kept1", b"2")
        self.reader = self.fleet.make_reader(0)
        self.read()

    def read(self) -> list[int]:
        """Read the store; return the sizes of the changes that are sent then."""
        sizes = []
        for _ in range(3):
            self.reader.read_once()
            sizes += self.fleet.deliver()
        return sizes

    def check(self) -> None:
        """Check that all VMs know what the store has."""
        for number in range(3):
            assert self.fleet.get_values(number) == self.store.get_values()

    def test_vm_that_knew_the_same_gets_what_differs(self):
        self.store.restore(self.copy)
        self.store.write("new", b"1")
        assert self.read() == [4, 4]
        self.check()

    def test_vm_that_knew_the_same_gets_later_changes_as_well(self):
        self.store.restore(self.copy)
        for _ in range(3):
            self.reader.read_once()
        for end in self.fleet.links:
            end.queue.clear()
        self.store.write("new", b"1")
        self.store.write("kept5", None)
        self.store.drop_history()
        assert set(self.read()) == {5}
        self.check()

    def test_vm_that_knew_less_gets_everything(self):
        self.store.write("unheard", b"1")
        self.reader.read_once()
        for end in self.fleet.links:
            end.queue.clear()
        self.store.restore(self.copy)
        assert max(self.read()) == 50
        self.check()

    def test_vm_that_has_moved_on_meanwhile_gets_everything(self):
        node, link = self.fleet.nodes[1], self.fleet.nodes[1].links["vm0"]
        after = node.replica.revision
        self.store.restore(self.copy)
        for _ in range(3):
            self.reader.read_once()
        for end in self.fleet.links:
            end.queue.clear()
        changes = self.fleet.nodes[0].replica.find_changes_after(after)
        message = self.fleet.nodes[0]._make_changes(after, changes)
        node.replica.merge([StoreItem("unheard", after + 1, b"1")], after + 1)
        node.handle(link, message)
        self.fleet.deliver()
        self.check()

    def test_vm_that_read_more_than_its_position_says_sends_it(self):
        self.store.write("early", b"1")
        self.copy = self.store.take_copy()
        replica = self.fleet.nodes[0].replica
        replica.merge([self.store.items["early"]], replica.revision)
        self.store.restore(self.copy)
        self.read()
        self.check()

    def test_vm_that_knows_more_than_its_position_says_gets_everything(self):
        for node in self.fleet.nodes[1:]:
            early = StoreItem("kept7", node.replica.revision + 1, b"early")
            node.replica.merge([early], node.replica.revision)
        self.store.restore(self.copy)
        assert max(self.read()) == 50
        self.check()

    def test_vm_that_lost_tombstones_sends_everything(self):
        self.store.restore(self.copy)
        for _ in range(3):
            self.reader.read_once()
        replica = self.fleet.nodes[0].replica
        assert replica.find_changes_after(self.fleet.nodes[1].replica.revision)
        with mock.patch(f"{StoreReplica.__module__}.MAX_TOMBSTONES", 0):
            replica.merge([], replica.revision)
        assert replica.find_changes_after(self.fleet.nodes[1].replica.revision) is None

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

    @pytest.mark.proof(
        promise="tickets",
        failure="store: comes back from older copies; restarts, cuts, lost messages",
    )
    @settings(max_examples=150, derandomize=True, database=None, deadline=None)
    @given(st.integers(0, 2**32))
    def test_replicas_converge_through_returns_restarts_cuts_and_lost_messages(
        self, seed
    ):
        rng = random.Random(seed)
        fleet = Fleet(5, ManualClock())
        fleet.deliver()
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
            elif step < 0.84:
                fleet.cut_off = set()  # the links of the test are opened once
                fleet.restart(rng.randrange(5))
                fleet.deliver()
            elif step < 0.88:
                fleet.cut_off = {f"vm{n}" for n in rng.sample(range(5), 2)}
            elif step < 0.9:
                fleet.cut_off = set()
            else:
                fleet.nodes[rng.randrange(5)].send_heartbeats()
            fleet.deliver(lose=lambda: rng.random() < 0.3)
        fleet.cut_off = set()
        reader = fleet.make_reader(0)
        for _ in range(4):
            reader.read_once()
        for _ in range(3):
            for node in fleet.nodes:
                node.send_heartbeats()
            fleet.deliver()
        fleet.clock.advance(20.0)
        reader.read_once()
        for node in fleet.nodes:
            node.send_heartbeats()
        fleet.deliver()
        for number in range(5):
            assert fleet.get_values(number) == store.get_values()
            fleet.unconfirmed[number].release_expired()
            assert fleet.in_force[number] == store.get_values()
