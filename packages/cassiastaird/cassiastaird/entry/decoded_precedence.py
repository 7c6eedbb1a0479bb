"""Comparison of the states of configurations and targets by their content."""

from cassiastair.errors import MalformedRequestError
from cassiastair.replication import ItemPrecedence, StoreItem

from .item_decoder import ItemDecoder


class DecodedPrecedence(ItemPrecedence):
    """Orders configurations by version, and the states of a target by its life.

    A target that drains does not become ready again, and a process that started later
    has taken the place of an earlier one. An item that cannot be decoded is older than
    any configuration, and newer than any target.

    Parameters
    ----------
    decoder : ItemDecoder
        Decodes keys and values of items.
    """

    def __init__(self, decoder: ItemDecoder):
        self._decoder = decoder

    def is_lasting(self, key: str) -> bool:
        """Return True for the configuration: no VM goes back to an earlier one."""
        return self._decoder.is_configuration(key)

    def is_outdated(self, found: StoreItem, known: StoreItem) -> bool:
        """Return True if what the store has is older than what is known."""
        if self._decoder.is_configuration(known.key):
            return self._find_version(found) < self._find_version(known)
        name = self._decoder.parse_target_name(known.key)
        if name is None or found.value is None:
            return False
        try:
            target = self._decoder.decode_target(name, found.value)
            known_target = self._decoder.decode_target(name, known.value)
        except MalformedRequestError:
            return False  # logged where the item is applied
        if target.is_same_incarnation(known_target):
            return known_target.draining and not target.draining
        return 0 < target.started_ms < known_target.started_ms

    def _find_version(self, item: StoreItem) -> float:
        """Return the version of a configuration, -1 if there is none to be decoded."""
        if item.value is None:
            return -1
        try:
            return self._decoder.decode_configuration(item.value).version
        except MalformedRequestError:
            return -1  # logged where the item is applied
