"""Dissemination of tickets: pushes along the links, and repairs by digest.

A ticket is pushed at once on every link, and each VM to which it is new forwards it
once. Digests in the heartbeats reveal whatever a lost message or a network partition
has left behind; the peers then exchange only the entries that differ (anti-entropy).

A reader must never see a part of a ticket. Pushes carry whole tickets. A repair carries
the whole difference between two states; if a state changes between its description and
the transfer, the difference would be torn. The exchange is then dropped, and the next
heartbeats start another one.
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
# Consecutive heartbeats with another digest that start a repair. A single one may mean
# only that a ticket is still on its way.
MISMATCHES_BEFORE_REPAIR = 2
MAX_STAGED_ENTRIES = 1_000_000  # in one transfer


class TicketNode(MeshNode):
    """Node that keeps the tickets in force in step with its peers.

    Parameters
    ----------
    own : Vm
        This VM.
    state : StateMap
        Merged state of all tickets.
    members : MemberList
        Known VMs.
    freshness : Freshness
        Age of the platform's last confirmation.
    draining : DrainingTargets
        Targets that get no new work.
    get_revision, advance_revision : callable
        Get and raise the revision that the platform's reader has reached.
    on_confirmed : callable
        Called when a peer's heartbeat confirms that the own state is up to date.
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
        self._advance_revision = advance_revision
        self._on_confirmed = on_confirmed
        self._handlers |= {
            Heartbeat: self._handle_heartbeat,
            DigestFrame: self._handle_digest,
            Marks: self._handle_marks,
            Want: self._handle_want,
            Entries: self._handle_entries,
            Leaving: self._handle_leaving,
            LeavingList: self._handle_leaving_list,
        }

    def publish(self, ticket: Ticket) -> None:
        """Merge a ticket from the platform and push it if it changed the state."""
        if self.state.apply(ticket):
            entries = [make_entry(c, ticket.number) for c in ticket.changes]
            self._push(entries, None)

    def broadcast_drain_mark(self, mark: DrainMark) -> None:
        """Send a target's drain mark to all peers."""
        self._broadcast(Leaving([[mark.target, mark.incarnation]]), None)

    def merge_drain_list(self, revision: int, targets: Iterable[str]) -> None:
        """Merge the platform's list of draining targets; forward it if it is newer."""
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
        """Send the entries of a whole ticket to all peers except their source."""
        self.counts.pushed += 1
        message = Entries([describe_entry(e) for e in entries], False, True)
        self._broadcast(message, source)

    def _start_sync(self, link: PeerLink) -> None:
        """Send a new peer the drain marks and the list of draining targets."""
        marks = [[mark.target, mark.incarnation] for mark in self.draining.list_marks()]
        if marks:
            self._send(link, Leaving(marks))
        self._send_drain_list(link)

    def _send_drain_list(self, link: PeerLink) -> None:
        """Send the platform's list of draining targets, if there is one."""
        if self.draining.list_revision >= 0:
            targets = sorted(self.draining.listed)
            self._send(link, LeavingList(self.draining.list_revision, targets))

    def _handle_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        """Compare digests; start a repair if they keep differing."""
        self.members.record_contact(link.vm)
        if heartbeat.list_revision < self.draining.list_revision:
            self._send_drain_list(link)
        if heartbeat.root == self.state.digest.root:
            link.mismatches = 0
            if heartbeat.age >= 0:
                self.freshness.record(heartbeat.age)
                self._on_confirmed()
            self._advance_revision(heartbeat.revision)
            return
        link.mismatches += 1
        if link.mismatches >= MISMATCHES_BEFORE_REPAIR or not self.state.entries:
            link.mismatches = 0
            self.counts.repairs += 1
            self._send(link, DigestFrame(self.state.digest.pack()))

    def _handle_digest(self, link: PeerLink, message: DigestFrame) -> None:
        """Answer a digest with the entry hashes of the buckets that differ."""
        try:
            buckets = find_differing_buckets(self.state.digest.pack(), message.buckets)
        except ValueError as error:
            raise PeerProtocolError(str(error)) from error
        if not buckets:
            return
        hashes = pack_hashes(
            e.entry_hash for e in self.state.entries_in_buckets(buckets)
        )
        asked_root = compute_root(message.buckets)
        root = self.state.digest.root
        self._send(link, Marks(asked_root, root, tuple(buckets), hashes))

    def _handle_marks(self, link: PeerLink, message: Marks) -> None:
        """Send the entries that the peer lacks and request those missing here."""
        if not self._is_current(message.asked_root):
            return
        peer_hashes = unpack_hashes(message.marks)
        own = {
            entry.entry_hash: entry for entry in self._select_entries(message.buckets)
        }
        missing = [entry for key, entry in own.items() if key not in peer_hashes]
        wanted = peer_hashes - own.keys()
        if wanted:
            self._send(link, Want(message.root, message.buckets, pack_hashes(wanted)))
        if missing:
            self._send_entries(link, missing)

    def _handle_want(self, link: PeerLink, message: Want) -> None:
        """Send the entries that a peer has requested."""
        if not self._is_current(message.root):
            return
        hashes = unpack_hashes(message.marks)
        entries = [
            e for e in self._select_entries(message.buckets) if e.entry_hash in hashes
        ]
        self._send_entries(link, entries)

    def _is_current(self, root: bytes) -> bool:
        """Return True if the own state still has the root that a peer refers to."""
        return root == self.state.digest.root

    def _select_entries(self, buckets: tuple[int, ...]) -> list[ConfigEntry]:
        """Return the own entries in the buckets that a peer has named."""
        if not all(type(b) is int and 0 <= b < BUCKET_COUNT for b in buckets):
            raise PeerProtocolError("a bucket number is out of range")
        return self.state.entries_in_buckets(buckets)

    def _send_entries(self, link: PeerLink, entries: list[ConfigEntry]) -> None:
        """Send entries as one transfer, in messages of bounded size."""
        for start in range(0, len(entries), ENTRIES_PER_MESSAGE):
            batch = entries[start : start + ENTRIES_PER_MESSAGE]
            more = start + ENTRIES_PER_MESSAGE < len(entries)
            self._send(link, Entries([describe_entry(e) for e in batch], more, False))

    def _handle_entries(self, link: PeerLink, message: Entries) -> None:
        """Merge a pushed ticket; stage a repair and merge it once it is complete."""
        entries = []
        for raw in message.entries:
            entry = parse_entry(raw)
            if entry is None:
                self.counts.refused += 1
                link.staged = []
                raise PeerProtocolError(
                    "an entry is malformed; all entries are refused"
                )
            entries.append(entry)
        if message.push:
            if self.state.merge(entries):
                self._push(entries, link)
            return
        link.staged.extend(entries)
        if len(link.staged) > MAX_STAGED_ENTRIES:
            raise PeerProtocolError(
                f"a transfer has more than {MAX_STAGED_ENTRIES} entries"
            )
        if message.more:
            return
        staged, link.staged = link.staged, []
        self.counts.repaired += len(self.state.merge(staged))

    def _handle_leaving(self, link: PeerLink, message: Leaving) -> None:
        """Add the drain marks of a peer and forward the new ones."""
        new = []
        for target, incarnation in message.marks:
            if self.draining.add_mark(DrainMark(target, incarnation)):
                new.append([target, incarnation])
        if new:
            self._broadcast(Leaving(new), link)

    def _handle_leaving_list(self, link: PeerLink, message: LeavingList) -> None:
        """Merge a peer's list of draining targets; forward it if it is newer."""
        if self.draining.replace_list(message.revision, message.targets):
            self._broadcast(message, link)


def describe_entry(entry: ConfigEntry) -> list:
    """Return the list of fields as which an entry is sent."""
    state = encode_state(entry.state)
    return [entry.key.kind, entry.key.name, entry.number, state]


def pack_hashes(hashes: Iterable[int]) -> bytes:
    """Return entry hashes as bytes, eight for each hash."""
    values = list(hashes)
    return struct.pack(f"<{len(values)}Q", *values)


def unpack_hashes(packed: bytes) -> set[int]:
    """Return the set of entry hashes packed by `pack_hashes`.

    Raises
    ------
    PeerProtocolError
        If the length is not a multiple of eight.
    """
    if len(packed) % 8:
        raise PeerProtocolError("marks must have eight bytes each")
    return set(struct.unpack(f"<{len(packed) // 8}Q", packed))
