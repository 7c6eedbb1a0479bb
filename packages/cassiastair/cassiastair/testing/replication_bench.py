"""Replication without a network: a store in memory, and VMs linked by queues."""

import random
from dataclasses import dataclass
from functools import partial

from ..clock import ManualClock
from ..data import Vm
from ..forwarding import OutlierDetector, TargetLimits
from ..membership import Freshness, MemberList, ReaderSelection, StoreContact
from ..peers.link import PeerLink
from ..peers.messages import NewsChanges
from ..replication import (
    HistoryGone,
    ItemPrecedence,
    ReplicationNode,
    StoreClient,
    StoreItem,
    StorePage,
    StoreReader,
    StoreReadError,
    StoreReplica,
    UnconfirmedItems,
)


@dataclass(frozen=True, slots=True)
class FakeStoreCopy:
    """State of a `FakeStore` at one time.

    Parameters
    ----------
    items : dict of str to StoreItem
        Items by key.
    history : tuple of StoreItem
        Changes that the store kept.
    revision, history_start : int
        Revision, and that of the last drop of the history.
    """

    items: dict[str, StoreItem]
    history: tuple[StoreItem, ...]
    revision: int
    history_start: int


class FakeStore(StoreClient):
    """Store in memory that can lose its history, or come back from an older copy."""

    def __init__(self):
        self.items: dict[str, StoreItem] = {}
        self.history: list[StoreItem] = []
        self.revision = 3
        self.history_start = 0
        self.era = 0
        self.failing = False
        self.calls = 0

    def write(self, key: str, value: bytes | None) -> None:
        """Write a key, or remove it if the value is None."""
        self.revision += 1
        change = StoreItem(key, self.revision, value)
        self.history.append(change)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = change

    def take_copy(self) -> FakeStoreCopy:
        """Return a copy for `restore`."""
        return FakeStoreCopy(
            dict(self.items), tuple(self.history), self.revision, self.history_start
        )

    def restore(self, copy: FakeStoreCopy) -> None:
        """Come back from a copy, in the next era."""
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.revision = copy.revision
        self.history_start = copy.history_start
        self.era += 1

    def get_values(self) -> dict[str, bytes]:
        """Return the values by key."""
        return {key: item.value for key, item in self.items.items()}

    def drop_history(self) -> None:
        """Drop the history; watches from earlier revisions fail."""
        self.history_start = self.revision
        self.history.clear()

    def read_all(self) -> StorePage:
        """Return all items."""
        self.calls += 1
        if self.failing:
            raise StoreReadError("down")
        return StorePage(tuple(self.items.values()), self.revision, self.era)

    def watch(self, after: int, wait: float) -> StorePage:
        """Return the changes after a revision, without waiting."""
        self.calls += 1
        if self.failing:
            raise StoreReadError("down")
        if not self.history_start <= after <= self.revision:
            raise HistoryGone("gone")
        changes = tuple(c for c in self.history if c.revision > after)
        return StorePage(changes, self.revision, self.era)


class FakePrecedence(ItemPrecedence):
    """Orders configurations by their bytes; a draining target stays so."""

    def is_lasting(self, key: str) -> bool:
        """Return True for the configuration."""
        return key == "config"

    def is_outdated(self, found: StoreItem, known: StoreItem) -> bool:
        """Return True if what the store has is older than what is known."""
        assert known.value is not None
        if known.key == "config":
            return (found.value or b"") < known.value
        return (found.value, known.value) == (b"ready", b"draining")


class PipeLink(PeerLink):
    """One end of a link; messages are queued until the fleet delivers them."""

    def __init__(self, node: ReplicationNode):
        super().__init__()
        self.node = node
        self.other_end: PipeLink | None = None
        self.queue: list = []

    def send(self, message) -> None:
        """Queue a message for the other end."""
        self.queue.append(message)

    def close(self) -> None:
        """Drop the queued messages."""
        self.queue.clear()


class Fleet:
    """VMs in a full mesh of links, and the store that they replicate."""

    def __init__(self, size: int, clock: ManualClock):
        self.clock = clock
        self.store = FakeStore()
        self.detectors: list[OutlierDetector] = []
        self.limits: dict[int, TargetLimits] = {}
        self.in_force: list[dict[str, bytes]] = [{} for _ in range(size)]
        self.unconfirmed: dict[int, UnconfirmedItems] = {}
        self.events: list[tuple[str, dict]] = []
        self.cut_off: set[str] = set()  # VMs that only reach one another
        self.nodes = []
        self.history: list[list[int]] = []
        for number in range(size):
            self.nodes.append(self.make_node(number))
        self.links = []
        for one in range(size):
            for other in range(one + 1, size):
                self.connect(one, other)

    def make_node(self, number: int) -> ReplicationNode:
        """Return the node of a new VM with an empty replica."""
        vm = Vm(f"vm{number}", "r1", "dc", "127.0.0.1", 1, 2)
        members = MemberList(vm, self.clock)
        self.in_force[number] = {}
        freshness = Freshness(self.clock)
        unconfirmed = UnconfirmedItems(
            self.clock,
            FakePrecedence(),
            partial(self.apply, number),
            3.6,
            freshness,
            lambda event, **fields: self.events.append((event, fields)),
        )
        self.unconfirmed[number] = unconfirmed
        replica = StoreReplica(unconfirmed.apply_changes, unconfirmed.apply_restored)
        selection = ReaderSelection(vm.name, "dc", members.local_names, self.clock)
        outliers = OutlierDetector(self.clock)
        self.detectors.append(outliers)
        limits = TargetLimits(self.clock, vm.name, lambda: [vm.name], lambda: 7)
        self.limits[number] = limits
        return ReplicationNode(
            vm,
            members,
            replica,
            freshness,
            selection,
            lambda: True,
            outliers,
            limits,
            StoreContact(self.clock),
            unconfirmed,
        )

    def apply(self, number: int, items: list[StoreItem]) -> None:
        """Put items in force at a VM."""
        for item in items:
            self.in_force[number].pop(item.key, None)
            if item.value is not None:
                self.in_force[number][item.key] = item.value

    def connect(self, one: int, other: int) -> None:
        """Open a link between two VMs."""
        ends = [PipeLink(self.nodes[one]), PipeLink(self.nodes[other])]
        ends[0].other_end, ends[1].other_end = ends[1], ends[0]
        self.links += ends
        for end in ends:
            end.node.send_hello(end)

    def deliver(self, lose=lambda: False) -> list[int]:
        """Deliver queued messages until none is left; lose some of the changes.

        Returns
        -------
        list of int
            Number of items in each message with changes that has arrived.
        """
        sizes = []
        while any(end.queue for end in self.links):
            for end in list(self.links):
                while end.queue:
                    message = end.queue.pop(0)
                    names = {end.node.own.name, end.other_end.node.own.name}
                    if len(names & self.cut_off) == 1:
                        continue
                    is_changes = isinstance(message, NewsChanges)
                    if is_changes and lose():
                        continue
                    if is_changes and message.revision >= 0:
                        sizes.append(len(message.items))
                    end.other_end.node.handle(end.other_end, message)
        return sizes

    def read_store(self, number: int) -> None:
        """Let a VM read the store and publish the changes."""
        node = self.nodes[number]
        before = node.replica.revision
        if before >= self.store.history_start:
            page = self.store.watch(before, 0.0)
            changed = node.replica.merge(page.items, page.revision)
        else:
            page = self.store.read_all()
            changed = node.replica.replace(page.items, page.revision)
        node.freshness.record(0.0)
        if changed:
            node.publish(before, changed)

    def make_reader(self, number: int) -> StoreReader:
        """Return a reader of the store for a VM; its pauses advance the clock."""
        node = self.nodes[number]
        return StoreReader(
            self.store,
            node.replica,
            ReaderSelection(node.own.name, "dc", list, self.clock),
            node.freshness,
            StoreContact(self.clock),
            node.publish,
            3.0,
            lambda event, **inputs: None,
            self.clock.advance,
            random.Random(number),
        )

    def get_values(self, number: int) -> dict[str, bytes]:
        """Return the values of a VM's replica by key."""
        return {key: item.value for key, item in self.get_items(number).items()}

    def restart(self, number: int) -> None:
        """Replace a VM by a new incarnation with an empty replica."""
        self.links = [
            end
            for end in self.links
            if self.nodes[number] not in (end.node, end.other_end.node)
        ]
        for node in self.nodes:
            node.links.pop(f"vm{number}", None)
        self.nodes[number] = self.make_node(number)
        for other in range(len(self.nodes)):
            if other != number:
                self.connect(number, other)

    def get_items(self, number: int) -> dict:
        """Return the items of a VM's replica by key."""
        return {i.key: i for i in self.nodes[number].replica.list_items()}
