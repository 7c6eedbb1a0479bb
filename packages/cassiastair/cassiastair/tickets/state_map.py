"""The merged state of all tickets: for each object the highest number wins.

Merging is commutative, associative and idempotent, so any order, repeats and gaps
of delivery end in the same state and nothing reverts.
"""

from collections.abc import Iterable

from ..data import ObjectKey, Ticket
from .catalogue import Catalogue
from .digest import Digest, locate_bucket
from .entry import Entry
from .parse import make_entry


class StateMap:
    """Newest known entry of every object, with the catalogue and digest of them.

    Attributes
    ----------
    catalogue : Catalogue
        Objects in force.
    digest : Digest
        Summary for the comparison with peers.
    highest : int
        Highest ticket number merged.
    """

    def __init__(self):
        self.entries: dict[ObjectKey, Entry] = {}
        self.catalogue = Catalogue()
        self.digest = Digest()
        self.highest = 0

    def apply(self, ticket: Ticket) -> list[Entry]:
        """Merge a whole ticket; return the entries that it changed."""
        return self.merge(make_entry(c, ticket.number) for c in ticket.changes)

    def merge(self, entries: Iterable[Entry]) -> list[Entry]:
        """Merge entries in one step, without a switch of tasks.

        Parameters
        ----------
        entries : iterable of Entry
            All entries of one or more whole tickets. A part of a ticket would
            break the promise that no reader sees half of one.

        Returns
        -------
        list of Entry
            The entries that were newer than the ones known.
        """
        changed = []
        for entry in entries:
            known = self.entries.get(entry.key)
            if not entry.beats(known):
                continue
            self._replace(known, entry)
            changed.append(entry)
        return changed

    def _replace(self, known: Entry | None, entry: Entry) -> None:
        """Put one entry in the place of another."""
        if known is not None:
            self.digest.toggle(known.key, known.mark)
        self.digest.toggle(entry.key, entry.mark)
        self.entries[entry.key] = entry
        self.catalogue.put(entry.key, entry.state)
        self.highest = max(self.highest, entry.number)

    def select(self, buckets: Iterable[int]) -> list[Entry]:
        """Return all entries of some digest buckets."""
        wanted = set(buckets)
        return [e for e in self.entries.values() if locate_bucket(e.key) in wanted]
