"""Dissemination of the store's changes between VMs.

Each data centre has readers of its own, so changes are pushed on links inside the
data centre only. Each VM forwards once the changes that were new to it. Heartbeats on
all links carry revisions; a VM that is behind a peer requests the changes after its
own revision. Since positions of the store order all of its states, comparing them is
enough and contents need not be compared. A revision in a message is the number of a
`StorePosition`: releases that know no eras order states by these numbers as well. A VM
that is behind by an era gets what differs if it was where the sender was when the era
began, and otherwise a copy of all items.
"""

from collections.abc import Callable

from ..data import StorePosition, Vm
from ..errors import PeerProtocolError
from ..forwarding import OutlierDetector, TargetLimits
from ..membership import Freshness, MemberList, ReaderSelection, StoreContact
from ..peers.link import PeerLink
from ..peers.mesh_node import MeshNode
from ..peers.messages import (
    Bye,
    LimitReports,
    Message,
    NewsBeat,
    NewsChanges,
    NewsWant,
    TroubleSeen,
)
from .item import StoreItem
from .replica import StoreReplica
from .unconfirmed_items import UnconfirmedItems

# Revision of a message with items that the sender keeps although the store lacks them.
# Releases that do not know such messages ignore it, since they are never behind it.
NO_POSITION = -1
UNKNOWN_AGE = -1.0  # sent as long as the store has not confirmed any state
# Consecutive heartbeats that show a peer of another data centre ahead before changes
# are requested from it. The readers of the own data centre bring most changes sooner,
# and traffic between data centres is expensive.
MISMATCHES_BEFORE_REQUEST = 2
STALE_AGE_S = 1.5  # above this age, any peer that is ahead is asked for changes at once


class ReplicationNode(MeshNode):
    """Node that keeps a replica of the store in step with its peers.

    Parameters
    ----------
    own : Vm
        This VM.
    members : MemberList
        Known VMs.
    replica : StoreReplica
        This VM's copy of the store.
    freshness : Freshness
        Age of the store's last confirmation.
    selection : ReaderSelection
        Which VMs of the data centre read the store.
    is_store_available : callable
        Returns whether this VM's last call of the store succeeded.
    outliers : OutlierDetector
        Targets that VMs of the data centre have seen slow or failing.
    limits : TargetLimits
        Request rates that targets have named.
    store_contact : StoreContact
        Outages of the store.
    unconfirmed : UnconfirmedItems
        Items known from before the store's return from an older copy.
    """

    def __init__(
        self,
        own: Vm,
        members: MemberList,
        replica: StoreReplica,
        freshness: Freshness,
        selection: ReaderSelection,
        is_store_available: Callable[[], bool],
        outliers: OutlierDetector,
        limits: TargetLimits,
        store_contact: StoreContact,
        unconfirmed: UnconfirmedItems,
    ):
        super().__init__(own, members)
        self._store_contact = store_contact
        self._unconfirmed = unconfirmed
        self._newest_revision = -1  # that a peer has named
        self.replica = replica
        self.freshness = freshness
        self._selection = selection
        self._is_store_available = is_store_available
        self._outliers = outliers
        self._limits = limits
        self._handlers |= {
            NewsBeat: self._handle_heartbeat,
            NewsChanges: self._handle_changes,
            NewsWant: self._handle_request,
            TroubleSeen: self._handle_outliers,
            LimitReports: self._handle_limits,
        }

    def publish(self, after: int, items: list[StoreItem]) -> None:
        """Push changes that this VM has read from the store.

        Changes of a full read may lack removals, so only a heartbeat is sent for them.
        The peers then request what they need.

        Parameters
        ----------
        after : int
            Revision after which the changes begin.
        items : list of StoreItem
            All changes from there to the replica's revision.
        """
        self.counts.pushed += 1
        if after < self.replica.removed_floor:
            self._broadcast(self._make_heartbeat(), None)
        else:
            self._push(self._make_changes(after, items), None)

    def share_outliers(self) -> None:
        """Push the reports of slow and failing targets, if there are any."""
        self._outliers.remove_expired()
        slow, failing = self._outliers.export_reports()
        if slow or failing:
            self._push(TroubleSeen(slow, failing), None)

    def _handle_outliers(self, link: PeerLink, message: TroubleSeen) -> None:
        """Merge a peer's reports; the next `share_outliers` passes them on."""
        if not message.slow and not message.failing:
            link.takes_limits = True
            self._send_limits(link, self._limits.export())
        self._outliers.merge_reports(message.slow, message.failing)

    def share_limits(self) -> None:
        """Send the limits that peers lack, to the peers of all data centres."""
        reports = self._limits.take_unreported()
        for link in list(self.links.values()):
            self._send_limits(link, reports)

    def _send_limits(self, link: PeerLink, reports: list) -> None:
        """Send reports on limits, if there are any and the peer knows such reports."""
        if reports and link.takes_limits:
            self._send(link, LimitReports(reports))

    def _handle_limits(self, link: PeerLink, message: LimitReports) -> None:
        """Merge a peer's reports; the next `share_limits` passes on what is new."""
        self._limits.merge(message.limits)

    def _push(self, message: Message, source: PeerLink | None) -> None:
        """Send a message to the peers of the own data centre except its source."""
        for link in list(self.links.values()):
            if link is not source and self._is_local(link):
                self._send(link, message)

    def _is_local(self, link: PeerLink) -> bool:
        """Return True if a peer is in the own data centre."""
        return link.vm.data_centre == self.own.data_centre

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every link."""
        self._broadcast(self._make_heartbeat(), None)

    def _make_heartbeat(self) -> NewsBeat:
        """Return a heartbeat with the current revision, age and readers."""
        readers = self._selection.list_readers(self._is_store_available())
        return NewsBeat(self.replica.revision, self._compute_age(), readers)

    def _compute_age(self) -> float:
        """Return the age of the replica's state for a message, in seconds."""
        age = self._find_age()
        return UNKNOWN_AGE if age == float("inf") else round(age, 3)

    def _find_age(self) -> float:
        """Return the seconds since the store confirmed the replica's state.

        The age is zero while this VM watches the store: the watch would have returned
        any change. It is infinite before the first confirmation.
        """
        if self._selection.reading and self._is_store_available():
            return 0.0
        return self.freshness.age

    def find_change_age(self) -> float:
        """Return how many seconds ago the store may have taken a change that arrives.

        The change is newer than the last confirmation of the replica's state. Changes
        that were taken before or in an outage count from its end.
        """
        return min(self._find_age(), self._store_contact.time_since_outage)

    def _make_changes(self, after: int, items: list[StoreItem]) -> NewsChanges:
        """Return a message with the changes up to the replica's revision."""
        raw_items = [format_item(item) for item in items]
        return NewsChanges(after, self.replica.revision, self._compute_age(), raw_items)

    def _start_sync(self, link: PeerLink) -> None:
        """Send a heartbeat to a new peer, which then requests what it lacks."""
        self._send(link, self._make_heartbeat())
        self._send(link, TroubleSeen([], []))
        if kept := self._unconfirmed.list_items():
            raw_items = [format_item(item) for item in kept]
            self._send(link, NewsChanges(-1, NO_POSITION, UNKNOWN_AGE, raw_items))

    def _handle_heartbeat(self, link: PeerLink, heartbeat: NewsBeat) -> None:
        """Request changes if the peer is ahead; at equal revisions record its age."""
        self.members.record_contact(link.vm)
        self._selection.record_peer()
        if heartbeat.age >= 0:
            self._store_contact.record(heartbeat.age)
        if self._is_local(link):
            self._record_readers(heartbeat.readers)
        self._newest_revision = max(self._newest_revision, heartbeat.revision)
        if heartbeat.revision <= self.replica.revision:
            link.mismatches = 0
            if heartbeat.revision == self._newest_revision and heartbeat.age >= 0:
                self.freshness.record(heartbeat.age)
            return
        link.mismatches += 1
        stale = self.freshness.age > STALE_AGE_S
        if (
            stale
            or self._is_local(link)
            or link.mismatches >= MISMATCHES_BEFORE_REQUEST
        ):
            link.mismatches = 0
            self.counts.repairs += 1
            self._send(link, NewsWant(self.replica.revision))

    def _record_readers(self, readers: list) -> None:
        """Record the readers of the data centre that a peer has reported."""
        for reader in readers:
            if not isinstance(reader, list) or len(reader) != 2:
                raise PeerProtocolError("a reader is malformed")
            name, age = reader
            if not isinstance(name, str) or not isinstance(age, (int, float)):
                raise PeerProtocolError("a reader is malformed")
            self._selection.record_reader(name, age)

    def _handle_bye(self, link: PeerLink, bye: Bye) -> None:
        """Remove a peer that is stopping, from the readers as well."""
        self._selection.remove(link.vm.name)
        super()._handle_bye(link, bye)

    def _handle_request(self, link: PeerLink, request: NewsWant) -> None:
        """Send the changes after the requested revision, or all items."""
        items = None
        if request.after >= 0:
            items = self.replica.find_changes_after(request.after)
        if items is None:
            self._send(link, self._make_changes(-1, self.replica.list_items()))
        else:
            self._send(link, self._make_changes(request.after, items))

    def _handle_changes(self, link: PeerLink, message: NewsChanges) -> None:
        """Merge changes and forward those that were new to this VM."""
        self.members.record_contact(link.vm)
        items = [parse_item(raw) for raw in message.items]
        if message.revision == NO_POSITION:
            self._unconfirmed.add_known(items, self.replica.find)
            return
        before = self.replica.revision
        if message.age >= 0:
            self._store_contact.record(message.age)
        if message.revision <= before:
            return
        if message.after > before:
            self._send(link, NewsWant(before))
            return
        if message.after < 0:
            changed = self.replica.replace(items, message.revision)
        elif find_era(message.after) < find_era(message.revision):
            if message.after < before or not self.replica.is_exact():
                self._send(link, NewsWant(-1))
                return
            changed = self.replica.advance(items, message.revision)
        else:
            changed = self.replica.merge(items, message.revision)
        self.counts.repaired += len(changed)
        if message.age >= 0:
            self.freshness.record(message.age)
        if before >= self.replica.removed_floor:
            self._push(self._make_changes(before, changed), link)
        else:
            self._broadcast(self._make_heartbeat(), link)


def find_era(number: int) -> int:
    """Return the era of a position that is given as a number."""
    return StorePosition.from_number(number).era


def format_item(item: StoreItem) -> list:
    """Return the raw form of an item for a message, see `parse_item`."""
    return [item.key, item.revision, item.value]


def parse_item(raw: object) -> StoreItem:
    """Return the item of a message from its raw form.

    Raises
    ------
    PeerProtocolError
        If the raw form is malformed.
    """
    if isinstance(raw, list) and len(raw) == 3:
        key, revision, value = raw
        if isinstance(key, str) and type(revision) is int:
            if value is None or isinstance(value, bytes):
                return StoreItem(key, revision, value)
    raise PeerProtocolError("an item of the store is malformed")
