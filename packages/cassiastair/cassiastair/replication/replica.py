"""Copy of the platform's store that each VM holds."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from ..data import StorePosition
from .item import StoreItem

ItemsByKey = Mapping[str, StoreItem]

MAX_TOMBSTONES = 20_000  # about 3 MB; peers that are behind need them


class StoreReplica:
    """Latest known item of each key, complete up to one revision.

    Within an era, the store numbers all of its changes in one order. A single revision
    therefore describes how far a replica is, and a replica that is behind lacks exactly
    the changes after its own revision. Merging keeps the item with the highest revision
    of each key, so repeated or reordered changes lead to the same state and no key
    reverts. The state of a later era replaces that of an earlier one as a whole.

    All revisions here are those of `StorePosition.to_number`, which include the era.

    A removed key remains as a tombstone, an item without a value, until there are
    too many tombstones.

    Parameters
    ----------
    on_change : callable
        Called with the list of changed items after each merge that changed any.
    on_restore : callable, optional
        Called when the state of a later era has replaced that of an earlier one, with
        the items of both by key, the earlier ones with tombstones. If None, `on_change`
        is called with the items of the later era and with tombstones for the others.

    Attributes
    ----------
    revision : int
        Revision up to which the replica is complete; -1 before the first read.
    removed_floor : int
        Revision up to which removals may be missing: that of the last full read, or
        of the newest tombstone dropped if that is higher; -1 if none is missing. A
        peer that is behind this revision needs a copy of all items.
    """

    def __init__(
        self,
        on_change: Callable[[list[StoreItem]], None],
        on_restore: Callable[[ItemsByKey, ItemsByKey], None] | None = None,
    ):
        self._on_change = on_change
        self._on_restore = on_restore or self._report_all
        self._items: dict[str, StoreItem] = {}
        self._tombstone_count = 0
        self.revision = -1
        self.removed_floor = -1
        # Where the era began here: the position before, -1 if unknown, the one after,
        # and the keys whose state may differ between the two.
        self._era_start = -1
        self._era_floor = -1
        self._era_keys: frozenset[str] = frozenset()

    def __len__(self) -> int:
        """Return the number of keys without the removed ones."""
        return len(self._items) - self._tombstone_count

    @property
    def position(self) -> StorePosition:
        """Position up to which the replica is complete."""
        return StorePosition.from_number(self.revision)

    def merge(self, items: Iterable[StoreItem], revision: int) -> list[StoreItem]:
        """Merge all changes up to a revision.

        Parameters
        ----------
        items : iterable of StoreItem
            All changes between a revision that this replica has reached and
            `revision`.
        revision : int
            Revision up to which the changes are complete.

        Returns
        -------
        list of StoreItem
            The items that were newer than the known ones.
        """
        changed = [item for item in items if self._put(item)]
        self.revision = max(self.revision, revision)
        self._drop_old_tombstones()
        if changed:
            self._on_change(changed)
        return changed

    def replace(self, items: Iterable[StoreItem], revision: int) -> list[StoreItem]:
        """Merge a full read of the store; keys that are missing from it were removed.

        The tombstone of such a key gets the revision of the read, since the revision
        of the removal is unknown. Keys that were both written and removed since the
        replica's own revision have no tombstone, although a peer may hold them;
        `removed_floor` therefore rises to the revision of the read. A read that is
        older than the replica is ignored. One of a later era replaces all items.

        Parameters
        ----------
        items : iterable of StoreItem
            All items of the store.
        revision : int
            Revision up to which the read is complete.

        Returns
        -------
        list of StoreItem
            The items that were newer than the known ones, tombstones included.
        """
        if revision < self.revision:
            return []  # an older read contains nothing new
        found = list(items)
        era = StorePosition.from_number(revision).era
        if 0 <= self.position.era < era:
            self._enter_era({item.key: item for item in found}, revision)
            return found
        present = {item.key for item in found}
        removed = [
            StoreItem(key, revision, None)
            for key, item in self._items.items()
            if key not in present
            and item.value is not None
            and item.revision <= revision
        ]
        changed = [*found, *removed]
        if revision > self.revision:
            self.removed_floor = max(self.removed_floor, revision)
        return self.merge(changed, revision)

    def advance(self, changes: Iterable[StoreItem], revision: int) -> list[StoreItem]:
        """Replace the state by that of a later era, given all that differs.

        Parameters
        ----------
        changes : iterable of StoreItem
            Items that differ between this replica's state and the later one, with
            tombstones for those that the later one lacks.
        revision : int
            Revision up to which the later state is complete.

        Returns
        -------
        list of StoreItem
            The changes.
        """
        changes = list(changes)
        items = {item.key: item for item in self.list_items()}
        items.update((item.key, item) for item in changes)
        live = {key: item for key, item in items.items() if item.value is not None}
        self._enter_era(live, revision)
        return changes

    def is_exact(self) -> bool:
        """Return True if the replica has no changes after its revision.

        A full read may include some of the changes that are made meanwhile.
        """
        return all(item.revision <= self.revision for item in self._items.values())

    def _enter_era(self, items: dict[str, StoreItem], revision: int) -> None:
        """Replace all items by those of a later era, given without removed ones."""
        before = self._items
        tombstones = {
            item.key: StoreItem(item.key, revision, None)
            for item in self.list_items()
            if item.key not in items
        }
        changed = {
            key
            for key, item in items.items()
            if key not in before
            or before[key].value != item.value
            or before[key].revision > self.revision
        }
        self._era_start, self._era_floor = self.revision, revision
        self._era_keys = frozenset(changed.union(tombstones))
        self._items = items | tombstones
        self._tombstone_count = len(tombstones)
        self.revision = revision
        self.removed_floor = revision
        self._on_restore(before, items)

    def _report_all(self, before: ItemsByKey, after: ItemsByKey) -> None:
        """Report the items of a later era, and the removal of those that it lacks."""
        removed = [
            replace(item, revision=self.revision, value=None)
            for key, item in before.items()
            if key not in after and item.value is not None
        ]
        self._on_change([*after.values(), *removed])

    def _put(self, item: StoreItem) -> bool:
        """Store an item; return True if it is newer than the known one."""
        known = self._items.get(item.key)
        if known is not None and item.revision <= known.revision:
            return False
        if known is None and item.value is None and item.revision <= self.removed_floor:
            return False
        was_removed = known is not None and known.value is None
        self._tombstone_count += (item.value is None) - was_removed
        self._items[item.key] = item
        return True  # for an unknown key's removal as well: a peer may hold the key

    def _drop_old_tombstones(self) -> None:
        """Drop the older half of the tombstones if there are too many."""
        if self._tombstone_count <= MAX_TOMBSTONES:
            return
        tombstones = [item for item in self._items.values() if item.value is None]
        tombstones.sort(key=lambda item: item.revision)
        self._era_start = -1
        for item in tombstones[: len(tombstones) // 2]:
            del self._items[item.key]
            self._tombstone_count -= 1
            self.removed_floor = max(self.removed_floor, item.revision)

    def find(self, key: str) -> StoreItem | None:
        """Return the item of a key, which may be a tombstone; None if it is unknown."""
        return self._items.get(key)

    def find_changes_after(self, revision: int) -> list[StoreItem] | None:
        """Return all changes after a revision, tombstones included.

        Returns
        -------
        list of StoreItem or None
            None if removals after that revision may be missing; a peer that is at
            that revision then needs a copy of all items.
        """
        if revision >= self.removed_floor:
            return [item for item in self._items.values() if item.revision > revision]
        if 0 <= revision == self._era_start:
            return [
                item
                for key, item in self._items.items()
                if key in self._era_keys or item.revision > self._era_floor
            ]
        return None

    def list_items(self) -> list[StoreItem]:
        """Return the items without the removed keys."""
        return [item for item in self._items.values() if item.value is not None]
