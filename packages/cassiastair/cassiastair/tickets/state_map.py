"""The merged state of all tickets: for each object the highest number wins.

Merging is commutative, associative and idempotent, so any order, repeats and gaps
of delivery end in the same state and nothing reverts.
"""

from collections.abc import Iterable

from ..data import ObjectKey, Ticket
from .catalogue import Catalogue
from .digest import Digest, find_bucket
from .entry import ConfigEntry
from .parse import make_entry


class StateMap:
    """Newest known entry of every object, with the catalogue and digest of them.

    Attributes
    ----------
    catalogue : Catalogue
        Objects in force.
    digest : Digest
        Summary for the comparison with peers.
    highest_ticket : int
        Highest ticket number merged.
    """

    def __init__(self):
        self.entries: dict[ObjectKey, ConfigEntry] = {}
        self.catalogue = Catalogue()
        self.digest = Digest()
        self.highest_ticket = 0

    def apply(self, ticket: Ticket) -> list[ConfigEntry]:
        """Merge a whole ticket; return the entries that it changed."""
        return self.merge(make_entry(c, ticket.number) for c in ticket.changes)

    def merge(self, entries: Iterable[ConfigEntry]) -> list[ConfigEntry]:
        """Merge entries in one step, without a switch of tasks.

        Parameters
        ----------
        entries : iterable of ConfigEntry
            All entries of one or more whole tickets. A part of a ticket would
            break the promise that no reader sees half of one.

        Returns
        -------
        list of ConfigEntry
            The entries that were newer than the ones known.
        """
        changed = []
        for entry in entries:
            known = self.entries.get(entry.key)
            if not entry.supersedes(known):
                continue
            self._replace(known, entry)
            changed.append(entry)
        return changed

    def _replace(self, known: ConfigEntry | None, entry: ConfigEntry) -> None:
        """Put one entry in the place of another."""
        if known is not None:
            self.digest.toggle(known.key, known.entry_hash)
        self.digest.toggle(entry.key, entry.entry_hash)
        self.entries[entry.key] = entry
        self.catalogue.put(entry.key, entry.state)
        self.highest_ticket = max(self.highest_ticket, entry.number)

    def entries_in_buckets(self, buckets: Iterable[int]) -> list[ConfigEntry]:
        """Return all entries of some digest buckets."""
        wanted = set(buckets)
        return [e for e in self.entries.values() if find_bucket(e.key) in wanted]
