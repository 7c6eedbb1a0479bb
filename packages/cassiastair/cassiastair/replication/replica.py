"""What the platform has published, as far as this VM knows."""

from collections.abc import Callable, Iterable

from .item import StoreItem

MAX_REMOVED = 20_000  # removed keys kept for peers that are behind, about 3 MB


class StoreReplica:
    """Newest known item of each key, complete up to one revision.

    The store has one order of changes, so a table is described by the revision up
    to which it is complete, and what a peer lacks is all after its own revision.
    Items are merged by revision: repeats and any order end the same, and nothing
    goes back.

    Parameters
    ----------
    take : callable
        Called with the items of each merge that were news.

    Attributes
    ----------
    revision : int
        Revision up to which the table is complete; -1 before the first reading.
    removed_floor : int
        Revision up to which removed keys may have been forgotten.
    """

    def __init__(self, take: Callable[[list[StoreItem]], None]):
        self._take = take
        self._items: dict[str, StoreItem] = {}
        self._removed = 0
        self.revision = -1
        self.removed_floor = -1

    def __len__(self) -> int:
        """Return the number of keys that are not removed."""
        return len(self._items) - self._removed

    def merge(self, items: Iterable[StoreItem], revision: int) -> list[StoreItem]:
        """Merge all changes up to a revision; return those that were news.

        Parameters
        ----------
        items : iterable of NewsItem
            All changes after a revision that is not above the table's own.
        revision : int
            Revision up to which they are complete.
        """
        news = [item for item in items if self._put(item)]
        self.revision = max(self.revision, revision)
        self._forget_removed()
        if news:
            self._take(news)
        return news

    def replace(self, items: Iterable[StoreItem], revision: int) -> list[StoreItem]:
        """Merge a reading of everything; keys that it lacks were removed.

        A removal takes the reading's revision, since its own is not known.
        """
        if revision < self.revision:
            return []  # a stale reading shows nothing new
        found = list(items)
        present = {item.key for item in found}
        gone = [
            StoreItem(key, revision, None)
            for key, item in self._items.items()
            if key not in present
            and item.value is not None
            and item.revision <= revision
        ]
        return self.merge([*found, *gone], revision)

    def _put(self, item: StoreItem) -> bool:
        """Keep an item; tell whether it is newer than the one known."""
        known = self._items.get(item.key)
        if known is not None and item.revision <= known.revision:
            return False
        if known is None and item.value is None and item.revision <= self.removed_floor:
            return False
        was_removed = known is not None and known.value is None
        self._removed += (item.value is None) - was_removed
        self._items[item.key] = item
        return True  # also a removal of an unknown key: a peer may know the key

    def _forget_removed(self) -> None:
        """Forget the oldest removed keys when there are many."""
        if self._removed <= MAX_REMOVED:
            return
        removed = [item for item in self._items.values() if item.value is None]
        removed.sort(key=lambda item: item.revision)
        for item in removed[: len(removed) // 2]:
            del self._items[item.key]
            self._removed -= 1
            self.removed_floor = max(self.removed_floor, item.revision)

    def find_changes_after(self, revision: int) -> list[StoreItem] | None:
        """Return all changes after a revision.

        None if removed keys of that time were forgotten, so that only a copy of
        everything brings a peer up to date.
        """
        if revision < self.removed_floor:
            return None
        return [item for item in self._items.values() if item.revision > revision]

    def list_items(self) -> list[StoreItem]:
        """Return the items that are not removed."""
        return [item for item in self._items.values() if item.value is not None]
