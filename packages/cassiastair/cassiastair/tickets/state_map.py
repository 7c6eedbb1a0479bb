"""The merged state of all tickets: for each object, the highest ticket number wins.

Merging is commutative, associative and idempotent. VMs therefore converge to the same
state if tickets arrive out of order, repeatedly or with gaps, and no object returns
to an older state.
"""

from collections.abc import Iterable

from ..data import ObjectKey, Ticket
from .catalogue import Catalogue
from .digest import Digest, find_bucket
from .entry import ConfigEntry
from .parse import make_entry


class StateMap:
    """Newest known entry of each object, with the catalogue and digest of all entries.

    Attributes
    ----------
    entries : dict of ObjectKey to ConfigEntry
        Entries of all objects, also of removed ones.
    catalogue : Catalogue
        Objects in force.
    digest : Digest
        Summary of the entries for the comparison with peers.
    highest_ticket : int
        Highest ticket number merged so far.
    """

    def __init__(self):
        self.entries: dict[ObjectKey, ConfigEntry] = {}
        self.catalogue = Catalogue()
        self.digest = Digest()
        self.highest_ticket = 0

    def apply(self, ticket: Ticket) -> list[ConfigEntry]:
        """Merge a whole ticket and return the entries that it changed."""
        return self.merge(make_entry(c, ticket.number) for c in ticket.changes)

    def merge(self, entries: Iterable[ConfigEntry]) -> list[ConfigEntry]:
        """Merge entries in one step, without yielding to other green threads.

        Parameters
        ----------
        entries : iterable of ConfigEntry
            All entries of one or more whole tickets. With a part of a ticket,
            readers would see the ticket half applied.

        Returns
        -------
        list of ConfigEntry
            The entries that were newer than the known ones.
        """
        changed = []
        for entry in entries:
            current = self.entries.get(entry.key)
            if not entry.supersedes(current):
                continue
            self._replace(current, entry)
            changed.append(entry)
        return changed

    def _replace(self, current: ConfigEntry | None, entry: ConfigEntry) -> None:
        """Replace an entry and update the digest and the catalogue."""
        if current is not None:
            self.digest.toggle(current.key, current.entry_hash)
        self.digest.toggle(entry.key, entry.entry_hash)
        self.entries[entry.key] = entry
        self.catalogue.set_state(entry.key, entry.state)
        self.highest_ticket = max(self.highest_ticket, entry.number)

    def entries_in_buckets(self, buckets: Iterable[int]) -> list[ConfigEntry]:
        """Return all entries that belong to the given buckets of the digest."""
        wanted = set(buckets)
        return [e for e in self.entries.values() if find_bucket(e.key) in wanted]
