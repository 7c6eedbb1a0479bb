"""One VM among its peers: pushes news along links and repairs by digest.

News goes out at once on every link and is passed on once by each VM that had not
seen it. Whatever a lost message or a cut leaves behind, the digests in the
heartbeats show, and the difference alone is then exchanged.

A reader must never see half a ticket. Pushes carry whole tickets. A repair carries
the whole difference of two states; if a state changes between its description and
the transfer, the difference would be torn, so the exchange is dropped and the next
heartbeats start another.
"""

import struct
from collections.abc import Callable, Iterable

from ..data import Ticket, Vm
from ..errors import PeerProtocolError
from ..membership import DrainingTargets, Freshness, MemberList
from ..membership.draining import DrainMark
from ..tickets import ConfigEntry, StateMap, encode_state, parse_entry
from ..tickets.digest import BUCKET_COUNT, compute_root, find_differing_buckets
from ..tickets.parse import make_entry
from .link import PeerLink
from .mesh_node import MeshNode
from .messages import (
    DigestFrame,
    Entries,
    Heartbeat,
    Leaving,
    LeavingList,
    Marks,
    Want,
)

ENTRIES_PER_MESSAGE = 500  # about 100 KB
REPAIR_AFTER = 2  # heartbeats in a row with another digest: not just news on its way
MAX_STAGED = 1_000_000  # entries of one transfer


class TicketNode(MeshNode):
    """State that peers share, and the answers to their messages.

    Parameters
    ----------
    own : Vm
        This VM.
    state : StateMap
        Tickets in force.
    roster : Roster
        Known VMs.
    freshness : Freshness
        Age of the platform's word.
    leaving : LeavingTargets
        Targets that get no new work.
    get_revision, advance : callable
        Read and raise the position of the platform's reader.
    confirm : callable
        Called when a peer's word shows that the own state is up to date.
    """

    def __init__(
        self,
        own: Vm,
        state: StateMap,
        members: MemberList,
        freshness: Freshness,
        draining: DrainingTargets,
        get_revision: Callable[[], int] = lambda: 0,
        advance_revision: Callable[[int], None] = lambda revision: None,
        on_confirmed: Callable[[], None] = lambda: None,
    ):
        super().__init__(own, members)
        self.state = state
        self.freshness = freshness
        self.draining = draining
        self._get_revision = get_revision
        self._advance = advance_revision
        self._confirm = on_confirmed
        self._handlers |= {
            Heartbeat: self._take_heartbeat,
            DigestFrame: self._take_digest,
            Marks: self._take_marks,
            Want: self._take_want,
            Entries: self._take_entries,
            Leaving: self._take_leaving,
            LeavingList: self._take_leaving_list,
        }

    def publish(self, ticket: Ticket) -> None:
        """Merge a ticket read from the platform and push it if it was news."""
        if self.state.apply(ticket):
            entries = [make_entry(c, ticket.number) for c in ticket.changes]
            self._push(entries, None)

    def broadcast_drain_mark(self, mark: DrainMark) -> None:
        """Tell peers of a target that said it is leaving."""
        self._broadcast(Leaving([[mark.target, mark.incarnation]]), None)

    def merge_drain_list(self, revision: int, targets: Iterable[str]) -> None:
        """Take the platform's list of leaving targets and pass it on if new."""
        if self.draining.replace_list(revision, targets):
            self._broadcast(LeavingList(revision, sorted(self.draining.listed)), None)

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every link."""
        age = self.freshness.age
        heartbeat = Heartbeat(
            root=self.state.digest.root,
            age=-1.0 if age == float("inf") else round(age, 3),
            revision=self._get_revision(),
            list_revision=self.draining.list_revision,
        )
        self._broadcast(heartbeat, None)

    def _push(self, entries: list[ConfigEntry], source: PeerLink | None) -> None:
        """Push a whole ticket."""
        self.counts.pushed += 1
        message = Entries([describe_entry(e) for e in entries], False, True)
        self._broadcast(message, source)

    def _start_sync(self, link: PeerLink) -> None:
        """Send a new peer what it may not know of targets that leave."""
        marks = [[mark.target, mark.incarnation] for mark in self.draining.list_marks()]
        if marks:
            self._send(link, Leaving(marks))
        self._send_list(link)

    def _send_list(self, link: PeerLink) -> None:
        """Send the platform's list of leaving targets, if there is one."""
        if self.draining.list_revision >= 0:
            targets = sorted(self.draining.listed)
            self._send(link, LeavingList(self.draining.list_revision, targets))

    def _take_heartbeat(self, link: PeerLink, beat: Heartbeat) -> None:
        """Compare digests; ask for a repair when they differ for long."""
        self.members.record_contact(link.vm)
        if beat.list_revision < self.draining.list_revision:
            self._send_list(link)
        if beat.root == self.state.digest.root:
            link.mismatches = 0
            if beat.age >= 0:
                self.freshness.record(beat.age)
                self._confirm()
            self._advance(beat.revision)
            return
        link.mismatches += 1
        if link.mismatches >= REPAIR_AFTER or not self.state.entries:
            link.mismatches = 0
            self.counts.repairs += 1
            self._send(link, DigestFrame(self.state.digest.pack()))

    def _take_digest(self, link: PeerLink, frame: DigestFrame) -> None:
        """Answer a digest with the marks of the buckets that differ."""
        try:
            buckets = find_differing_buckets(self.state.digest.pack(), frame.buckets)
        except ValueError as error:
            raise PeerProtocolError(str(error)) from error
        if not buckets:
            return
        marks = pack_marks(e.entry_hash for e in self.state.entries_in_buckets(buckets))
        asked_root = compute_root(frame.buckets)
        root = self.state.digest.root
        self._send(link, Marks(asked_root, root, tuple(buckets), marks))

    def _take_marks(self, link: PeerLink, frame: Marks) -> None:
        """Send what the peer lacks and ask for what it has beyond this VM."""
        if not self._is_current(frame.asked_root):
            return
        theirs = unpack_marks(frame.marks)
        own = {entry.entry_hash: entry for entry in self._select(frame.buckets)}
        lacking = [entry for mark, entry in own.items() if mark not in theirs]
        wanted = theirs - own.keys()
        if wanted:
            self._send(link, Want(frame.root, frame.buckets, pack_marks(wanted)))
        if lacking:
            self._send_entries(link, lacking)

    def _take_want(self, link: PeerLink, want: Want) -> None:
        """Send the entries that a peer asked for."""
        if not self._is_current(want.root):
            return
        marks = unpack_marks(want.marks)
        entries = [e for e in self._select(want.buckets) if e.entry_hash in marks]
        self._send_entries(link, entries)

    def _is_current(self, root: bytes) -> bool:
        """Tell whether the own state is still the one that a peer speaks of."""
        return root == self.state.digest.root

    def _select(self, buckets: tuple[int, ...]) -> list[ConfigEntry]:
        """Return the entries of buckets that a peer named."""
        if not all(type(b) is int and 0 <= b < BUCKET_COUNT for b in buckets):
            raise PeerProtocolError("a bucket number is out of range")
        return self.state.entries_in_buckets(buckets)

    def _send_entries(self, link: PeerLink, entries: list[ConfigEntry]) -> None:
        """Send entries as one transfer, in messages of bounded size."""
        for start in range(0, len(entries), ENTRIES_PER_MESSAGE):
            part = entries[start : start + ENTRIES_PER_MESSAGE]
            more = start + ENTRIES_PER_MESSAGE < len(entries)
            self._send(link, Entries([describe_entry(e) for e in part], more, False))

    def _take_entries(self, link: PeerLink, frame: Entries) -> None:
        """Stage a transfer; merge it in one step when it is whole."""
        entries = []
        for plain in frame.entries:
            entry = parse_entry(plain)
            if entry is None:
                self.counts.refused += 1
                link.staged = []
                raise PeerProtocolError("an entry is malformed; all of it is refused")
            entries.append(entry)
        if frame.push:
            if self.state.merge(entries):
                self._push(entries, link)
            return
        link.staged.extend(entries)
        if len(link.staged) > MAX_STAGED:
            raise PeerProtocolError(f"a transfer has more than {MAX_STAGED} entries")
        if frame.more:
            return
        staged, link.staged = link.staged, []
        self.counts.repaired += len(self.state.merge(staged))

    def _take_leaving(self, link: PeerLink, frame: Leaving) -> None:
        """Take what a peer saw of leaving targets, and pass on what is new."""
        news = []
        for target, incarnation in frame.marks:
            if self.draining.add_mark(DrainMark(target, incarnation)):
                news.append([target, incarnation])
        if news:
            self._broadcast(Leaving(news), link)

    def _take_leaving_list(self, link: PeerLink, frame: LeavingList) -> None:
        """Take the platform's list from a peer, and pass it on if it is new."""
        if self.draining.replace_list(frame.revision, frame.targets):
            self._broadcast(frame, link)


def describe_entry(entry: ConfigEntry) -> list:
    """Return the plain form of an entry."""
    state = encode_state(entry.state)
    return [entry.key.kind, entry.key.name, entry.number, state]


def pack_marks(marks: Iterable[int]) -> bytes:
    """Return marks, eight bytes each."""
    values = list(marks)
    return struct.pack(f"<{len(values)}Q", *values)


def unpack_marks(packed: bytes) -> set[int]:
    """Return packed marks.

    Raises
    ------
    PeerProtocolError
        If the length is not a multiple of eight.
    """
    if len(packed) % 8:
        raise PeerProtocolError("marks have eight bytes each")
    return set(struct.unpack(f"<{len(packed) // 8}Q", packed))
