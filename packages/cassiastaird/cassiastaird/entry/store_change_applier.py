"""Brings the store's items in force."""

from cassiastair.errors import MalformedRequestError
from cassiastair.forwarding import DecisionLog, RoutedTargetRegistry
from cassiastair.replication import StoreItem
from cassiastair.routing import RoutingTable

from .item_decoder import ItemDecoder


class StoreChangeApplier:
    """Decodes items and hands them to the routing table and the target book.

    An item that cannot be decoded names nothing: a configuration leaves the one in
    force, a target's record takes that target out. Each is logged once, when it
    comes.

    Parameters
    ----------
    decoder : ItemDecoder
        Decodes items.
    table : RoutingTable
        Takes configurations.
    book : RoutedTargetRegistry
        Takes targets.
    decisions : DecisionLog
        Takes what changed.
    """

    def __init__(
        self,
        decoder: ItemDecoder,
        table: RoutingTable,
        book: RoutedTargetRegistry,
        decisions: DecisionLog,
    ):
        self._decoder = decoder
        self._table = table
        self._book = book
        self._decisions = decisions
        self.refused = 0

    def take(self, items: list[StoreItem]) -> None:
        """Bring items in force, without a switch of tasks."""
        for item in sorted(items, key=lambda item: item.revision):
            if self._decoder.is_configuration(item.key):
                self._take_configuration(item)
                continue
            name = self._decoder.parse_target_name(item.key)
            if name is not None:
                self._take_target(name, item)

    def _take_configuration(self, item: StoreItem) -> None:
        """Bring a configuration in force."""
        if item.value is None:
            return
        try:
            configuration = self._decoder.decode_configuration(item.value)
        except MalformedRequestError as error:
            self._refuse(item, error)
            return
        if self._table.update(configuration):
            self._decisions.warn(
                "configuration in force",
                "",
                version=configuration.version,
                revision=item.revision,
                routes=len(configuration.routes),
            )

    def _take_target(self, name: str, item: StoreItem) -> None:
        """Take a target's record."""
        if item.value is None:
            if self._book.find(name) is not None:
                self._decisions.warn(
                    "target gone", "", target=name, revision=item.revision
                )
            self._book.remove(name)
            return
        try:
            target = self._decoder.decode_target(name, item.value)
        except MalformedRequestError as error:
            self._refuse(item, error)
            self._book.remove(name)
            return
        if target.draining and self._book.find(name) is not None:
            self._decisions.warn(
                "target draining", "", target=name, revision=item.revision
            )
        self._book.update(target)

    def _refuse(self, item: StoreItem, error: MalformedRequestError) -> None:
        """Log an item that cannot be decoded."""
        self.refused += 1
        self._decisions.warn(
            "item refused",
            "",
            key=item.key[:80],
            revision=item.revision,
            reason=error.message[:200],
        )
