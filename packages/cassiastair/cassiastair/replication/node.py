"""Passes the store's changes on between VMs.

Each data centre has readers of its own, so a page of changes is pushed on the links
inside the data centre only, and every VM passes on once what it had not known.
Heartbeats carry revisions, on all links; whoever stays behind asks the peer for what
lies after its own revision. The store's one order of changes makes a comparison of
contents needless.
"""

from collections.abc import Callable

from ..data import Vm
from ..errors import PeerProtocolError
from ..forwarding import OutlierDetector
from ..membership import Freshness, MemberList, ReaderSelection
from ..peers.link import PeerLink
from ..peers.mesh_node import MeshNode
from ..peers.messages import Bye, Message, NewsBeat, NewsChanges, NewsWant, TroubleSeen
from .item import StoreItem
from .replica import StoreReplica

NO_AGE = -1.0
# Heartbeats in a row that show a peer of another data centre ahead: the readers of
# the own one bring most changes sooner, and bytes between data centres cost.
BEHIND_BEATS = 2
STALE_S = 1.5  # age of the store's word from which any peer's is asked for at once


class ReplicationNode(MeshNode):
    """One VM among peers that follow one store.

    Parameters
    ----------
    own : Vm
        This VM.
    roster : Roster
        Known VMs.
    table : NewsTable
        What the store has published.
    freshness : Freshness
        Age of the store's word.
    turns : ReaderTurns
        Which VMs read the store.
    is_served : callable
        Tells whether the store answers this VM, if it reads.
    troubled : OutlierDetector
        Targets that VMs of the data centre have seen slow or failing.
    """

    def __init__(
        self,
        own: Vm,
        members: MemberList,
        table: StoreReplica,
        freshness: Freshness,
        turns: ReaderSelection,
        is_store_available: Callable[[], bool],
        troubled: OutlierDetector,
    ):
        super().__init__(own, members)
        self.table = table
        self.freshness = freshness
        self._turns = turns
        self._is_served = is_store_available
        self._troubled = troubled
        self._handlers |= {
            NewsBeat: self._take_beat,
            NewsChanges: self._take_changes,
            NewsWant: self._take_want,
            TroubleSeen: self._take_trouble,
        }

    def publish(self, after: int, items: list[StoreItem]) -> None:
        """Push changes that were read from the store.

        Parameters
        ----------
        after : int
            Revision after which they begin.
        items : list of NewsItem
            All changes up to the table's revision.
        """
        self.counts.pushed += 1
        self._push(self._make_changes(after, items), None)

    def share_outliers(self) -> None:
        """Tell peers of the data centre which targets are in trouble, if any."""
        self._troubled.remove_expired()
        slow, failing = self._troubled.export_reports()
        if slow or failing:
            self._push(TroubleSeen(slow, failing), None)

    def _take_trouble(self, link: PeerLink, seen: TroubleSeen) -> None:
        """Merge what a peer tells of targets; the next sharing passes it on."""
        self._troubled.merge_reports(seen.slow, seen.failing)

    def _push(self, message: Message, source: PeerLink | None) -> None:
        """Send a message on the links inside the data centre, but to its source."""
        for link in list(self.links.values()):
            if link is not source and self._is_local(link):
                self._send(link, message)

    def _is_local(self, link: PeerLink) -> bool:
        """Tell whether a peer is in the own data centre."""
        return link.vm.data_centre == self.own.data_centre

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every link."""
        self._broadcast(self._make_beat(), None)

    def _make_beat(self) -> NewsBeat:
        """Return the heartbeat of this moment."""
        readers = self._turns.list_readers(self._is_served())
        return NewsBeat(self.table.revision, self._state_age(), readers)

    def _state_age(self) -> float:
        """Return the age of the store's word as it is sent.

        While the store lets this VM wait for changes, there are none.
        """
        if self._turns.reading and self._is_served():
            return 0.0
        age = self.freshness.age
        return NO_AGE if age == float("inf") else round(age, 3)

    def _make_changes(self, after: int, items: list[StoreItem]) -> NewsChanges:
        """Return a message with changes."""
        plain = [[item.key, item.revision, item.value] for item in items]
        return NewsChanges(after, self.table.revision, self._state_age(), plain)

    def _bring_up_to_date(self, link: PeerLink) -> None:
        """Tell a new peer what is known here; it asks for what it lacks."""
        self._send(link, self._make_beat())

    def _take_beat(self, link: PeerLink, beat: NewsBeat) -> None:
        """Ask for changes if the peer stays ahead; else take its age."""
        self.members.record_contact(link.vm)
        if self._is_local(link):
            self._take_readers(beat.readers)
        if beat.revision <= self.table.revision:
            link.mismatches = 0
            if beat.revision == self.table.revision and beat.age >= 0:
                self.freshness.record(beat.age)
            return
        link.mismatches += 1
        stale = self.freshness.age > STALE_S
        if stale or self._is_local(link) or link.mismatches >= BEHIND_BEATS:
            link.mismatches = 0
            self.counts.repairs += 1
            self._send(link, NewsWant(self.table.revision))

    def _take_readers(self, readers: list) -> None:
        """Take whom a peer has heard of as readers of the data centre."""
        for reader in readers:
            if not isinstance(reader, list) or len(reader) != 2:
                raise PeerProtocolError("a reader is malformed")
            name, age = reader
            if not isinstance(name, str) or not isinstance(age, (int, float)):
                raise PeerProtocolError("a reader is malformed")
            self._turns.record_reader(name, age)

    def _take_bye(self, link: PeerLink, bye: Bye) -> None:
        """Drop a peer that is stopping."""
        self._turns.remove(link.vm.name)
        super()._take_bye(link, bye)

    def _take_want(self, link: PeerLink, want: NewsWant) -> None:
        """Send a peer the changes that it lacks, or everything."""
        items = None
        if want.after >= 0:
            items = self.table.find_changes_after(want.after)
        if items is None:
            self._send(link, self._make_changes(-1, self.table.list_items()))
        else:
            self._send(link, self._make_changes(want.after, items))

    def _take_changes(self, link: PeerLink, frame: NewsChanges) -> None:
        """Merge changes and pass on what was news."""
        self.members.record_contact(link.vm)
        items = [read_item(plain) for plain in frame.items]
        before = self.table.revision
        if frame.revision <= before:
            return
        if frame.after > before:
            self._send(link, NewsWant(before))
            return
        if frame.after < 0:
            news = self.table.replace(items, frame.revision)
        else:
            news = self.table.merge(items, frame.revision)
        self.counts.repaired += len(news)
        if frame.age >= 0:
            self.freshness.record(frame.age)
        if before >= 0:
            self._push(self._make_changes(max(before, frame.after), news), link)
        else:
            self._broadcast(self._make_beat(), link)


def read_item(plain: object) -> StoreItem:
    """Return the item that a peer sent.

    Raises
    ------
    PeerProtocolError
        If it is malformed.
    """
    if isinstance(plain, list) and len(plain) == 3:
        key, revision, value = plain
        if isinstance(key, str) and type(revision) is int:
            if value is None or isinstance(value, bytes):
                return StoreItem(key, revision, value)
    raise PeerProtocolError("an item of news is malformed")
