"""Passes the store's changes on between VMs.

A VM that reads the store pushes each page of changes on its links, and every VM
passes on once what it had not known. Heartbeats carry revisions; whoever is behind
asks the peer for what lies after its own revision. The store's one order of changes
makes a comparison of contents needless.
"""

from ..data import Vm
from ..errors import PeerProtocolError
from ..membership import Freshness, Roster
from ..peers.link import PeerLink
from ..peers.mesh_node import MeshNode
from ..peers.messages import NewsBeat, NewsChanges, NewsWant
from .item import NewsItem
from .table import NewsTable

NO_AGE = -1.0


class NewsNode(MeshNode):
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
    """

    def __init__(
        self,
        own: Vm,
        roster: Roster,
        table: NewsTable,
        freshness: Freshness,
    ):
        super().__init__(own, roster)
        self.table = table
        self.freshness = freshness
        self._handlers |= {
            NewsBeat: self._take_beat,
            NewsChanges: self._take_changes,
            NewsWant: self._take_want,
        }

    def publish(self, after: int, items: list[NewsItem]) -> None:
        """Push changes that were read from the store.

        Parameters
        ----------
        after : int
            Revision after which they begin.
        items : list of NewsItem
            All changes up to the table's revision.
        """
        self.counts.pushed += 1
        self._broadcast(self._make_changes(after, items), None)

    def beat(self) -> None:
        """Send a heartbeat on every link."""
        self._broadcast(self._make_beat(), None)

    def _make_beat(self) -> NewsBeat:
        """Return the heartbeat of this moment."""
        return NewsBeat(self.table.revision, self._state_age())

    def _state_age(self) -> float:
        """Return the age of the store's word as it is sent."""
        age = self.freshness.age
        return NO_AGE if age == float("inf") else round(age, 3)

    def _make_changes(self, after: int, items: list[NewsItem]) -> NewsChanges:
        """Return a message with changes."""
        plain = [[item.key, item.revision, item.value] for item in items]
        return NewsChanges(after, self.table.revision, self._state_age(), plain)

    def _bring_up_to_date(self, link: PeerLink) -> None:
        """Tell a new peer what is known here; it asks for what it lacks."""
        self._send(link, self._make_beat())

    def _take_beat(self, link: PeerLink, beat: NewsBeat) -> None:
        """Ask for changes if the peer knows more; else take its age."""
        self.roster.contact(link.vm)
        if beat.revision > self.table.revision:
            self.counts.repairs += 1
            self._send(link, NewsWant(self.table.revision))
        elif beat.revision == self.table.revision and beat.age >= 0:
            self.freshness.note(beat.age)

    def _take_want(self, link: PeerLink, want: NewsWant) -> None:
        """Send a peer the changes that it lacks, or everything."""
        items = None
        if want.after >= 0:
            items = self.table.find_after(want.after)
        if items is None:
            self._send(link, self._make_changes(-1, self.table.all()))
        else:
            self._send(link, self._make_changes(want.after, items))

    def _take_changes(self, link: PeerLink, frame: NewsChanges) -> None:
        """Merge changes and pass on what was news."""
        self.roster.contact(link.vm)
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
            self.freshness.note(frame.age)
        changes = self._make_changes(max(before, frame.after), news)
        self._broadcast(changes if before >= 0 else self._make_beat(), link)


def read_item(plain: object) -> NewsItem:
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
                return NewsItem(key, revision, value)
    raise PeerProtocolError("an item of news is malformed")
