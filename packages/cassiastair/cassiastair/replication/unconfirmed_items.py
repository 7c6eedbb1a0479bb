"""Items that stay in force after the store has come back from an older copy.

Operators and targets write again what the copy lacks, but that takes seconds. Until
then the copy shows configurations that were replaced and targets that have left, and
lacks targets that serve.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from ..clock import Clock
from ..membership import Freshness
from .item import StoreItem
from .item_precedence import ItemPrecedence
from .kept_item import KeptItem

MISSING_S = 2.5  # for which an item that the copy lacks stays in force
# For the store to remove a silent record, and for the way of the removal to this VM.
LAPSE_MARGIN_S = 3.0


class UnconfirmedItems:
    """Decides which items of a restored store come into force, and when.

    - An item that the copy lacks stays in force for MISSING_S, unless it is written
      again.
    - An item that the copy shows in an older state stays as it is known, a removed one
      removed, until it is written again or the record of a target that is gone would
      have lapsed. Lasting ones stay until something newer is written.

    These times end only when the store's state of then is known: a VM that is cut off
    would not hear that an item was written again.

    Parameters
    ----------
    clock : Clock
        Source of time.
    precedence : ItemPrecedence
        Tells older states of a key from newer ones.
    apply : callable
        Called with the items that come into force, see `StoreChangeApplier.apply`.
    lapse_time : float
        Seconds of silence after which the store removes the record of a target.
    freshness : Freshness
        Age of the store's last confirmation of this VM's state.
    log_event : callable
        Logs an event; takes its name, and its fields as keywords.
    """

    def __init__(
        self,
        clock: Clock,
        precedence: ItemPrecedence,
        apply: Callable[[list[StoreItem]], None],
        lapse_time: float,
        freshness: Freshness,
        log_event: Callable[..., None],
    ):
        self._clock = clock
        self._precedence = precedence
        self._apply = apply
        self._lapse_time = lapse_time
        self._freshness = freshness
        self._log_event = log_event
        self._kept: dict[str, KeptItem] = {}

    def __len__(self) -> int:
        """Return the number of items that the store has not confirmed."""
        return len(self._kept)

    def list_items(self) -> list[StoreItem]:
        """Return the items that the store has not confirmed, for `add_known`."""
        return [kept.item for kept in self._kept.values()]

    def apply_changes(self, items: list[StoreItem]) -> None:
        """Put changes of the store in force, but for those older than a kept item."""
        count = len(self._kept)
        taken = [item for item in items if not self._holds_back(item)]
        if taken:
            self._apply(taken)
        self._log_if_confirmed(count)

    def _holds_back(self, change: StoreItem) -> bool:
        """Return True if a kept item outdates a change; otherwise forget the item.

        The change of a key that is kept as removed was written since.
        """
        kept = self._kept.get(change.key)
        if kept is None:
            return False
        if kept.item.value is None or not self._is_outdated(change, kept.item):
            del self._kept[change.key]
            return False
        if kept.found is None:
            self._keep(kept.item, change)
        else:  # further changes do not prolong the time
            self._kept[change.key] = replace(kept, found=change)
        return True

    def apply_restored(
        self, before: Mapping[str, StoreItem], after: Mapping[str, StoreItem]
    ) -> None:
        """Put the state of a restored store in force, as far as it is not older.

        Parameters
        ----------
        before : mapping of str to StoreItem
            Items of the store's former era by key, tombstones included.
        after : mapping of str to StoreItem
            Items of the restored store by key.
        """
        known = dict(before)
        known.update((key, kept.item) for key, kept in self._kept.items())
        self._kept.clear()
        changes = [item for key, item in after.items() if key not in known]
        for key, item in known.items():
            found = after.get(key)
            if self._is_older(found, item):
                self._keep(item, found)
            elif found is not None and found.value != item.value:
                changes.append(found)
        if changes:
            self._apply(changes)
        missing = sum(kept.found is None for kept in self._kept.values())
        self._log_event(
            "store restored",
            missing=missing,
            older=len(self._kept) - missing,
            changed=len(changes),
        )

    def add_known(
        self, items: Iterable[StoreItem], find: Callable[[str], StoreItem | None]
    ) -> None:
        """Keep items that a peer knows from before the store's return.

        Parameters
        ----------
        items : iterable of StoreItem
            Items that the peer keeps, see `list_items`.
        find : callable
            Returns the item of this VM's replica for a key, or None.
        """
        for item in items:
            kept = self._kept.get(item.key)
            found = find(item.key) if kept is None else kept.found
            own = found if kept is None else kept.item
            if self._is_older(own, item):
                self._keep(item, found)
                self._apply([item])

    def _is_older(self, found: StoreItem | None, known: StoreItem) -> bool:
        """Return True if the store lacks a known item or has an older state of it."""
        if known.value is None:
            is_found = found is not None and found.value is not None
            return is_found and not self._precedence.is_lasting(known.key)
        return found is None or self._is_outdated(found, known)

    def _is_outdated(self, found: StoreItem, known: StoreItem) -> bool:
        """Return True if a state differs from a known one and is older."""
        # Most items are equal, and comparing bytes is faster than decoding them.
        return found.value != known.value and self._precedence.is_outdated(found, known)

    def _keep(self, item: StoreItem, found: StoreItem | None) -> None:
        """Keep an item in force while the store has another state, or none."""
        if self._precedence.is_lasting(item.key):
            until = math.inf
        else:
            lapse_time = self._lapse_time + LAPSE_MARGIN_S
            time_kept = MISSING_S if found is None else lapse_time
            until = self._clock.now() + time_kept
        self._kept[item.key] = KeptItem(item, found, until)

    def release_expired(self) -> None:
        """Put what the store has in force in place of items whose time is over."""
        if not self._kept:
            return
        confirmed_at = self._clock.now() - self._freshness.age
        count = len(self._kept)
        expired = [kept for kept in self._kept.values() if kept.until <= confirmed_at]
        for kept in expired:
            del self._kept[kept.item.key]
        if expired:
            self._apply([k.found or replace(k.item, value=None) for k in expired])
        self._log_if_confirmed(count)

    def _log_if_confirmed(self, count: int) -> None:
        """Log that the store has confirmed the last of some kept items."""
        if count and not self._kept:
            self._log_event("store confirmed")
