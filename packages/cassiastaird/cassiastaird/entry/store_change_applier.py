"""Applies changes of the platform's store to the routing table and the targets."""

from cassiastair.data import StorePosition
from cassiastair.errors import MalformedRequestError
from cassiastair.forwarding import DecisionLog, RoutedTargetRegistry
from cassiastair.replication import StoreItem
from cassiastair.routing import RoutingTable

from .item_decoder import ItemDecoder


class StoreChangeApplier:
    """Decodes store items and updates the routing table and the target registry.

    An item that cannot be decoded is logged once, when it arrives. If it is the
    configuration, the previous one stays in force; if it is a target's record, that
    target is removed.

    Parameters
    ----------
    decoder : ItemDecoder
        Decodes keys and values of items.
    table : RoutingTable
        Updated with configurations.
    registry : RoutedTargetRegistry
        Updated with targets.
    decisions : DecisionLog
        Log of changes and of items that cannot be decoded.
    """

    def __init__(
        self,
        decoder: ItemDecoder,
        table: RoutingTable,
        registry: RoutedTargetRegistry,
        decisions: DecisionLog,
    ):
        self._decoder = decoder
        self._table = table
        self._registry = registry
        self._decisions = decisions
        self.refused_count = 0

    def apply(self, items: list[StoreItem]) -> None:
        """Apply items in the order of their revisions, without a task switch."""
        for item in sorted(items, key=lambda item: item.revision):
            try:
                self._apply_item(item)
            except Exception as error:  # the replica would not bring the others again
                self._decisions.warn(
                    "internal failure", "", reason=repr(error), trace=True
                )

    def _apply_item(self, item: StoreItem) -> None:
        """Apply one item, if its key is that of a configuration or a target."""
        if self._decoder.is_configuration(item.key):
            self._apply_configuration(item)
            return
        name = self._decoder.parse_target_name(item.key)
        if name is not None:
            self._apply_target(name, item)

    def _apply_configuration(self, item: StoreItem) -> None:
        """Put a configuration in force; ignore the removal of one."""
        if item.value is None:
            return
        try:
            configuration = self._decoder.decode_configuration(item.value)
        except MalformedRequestError as error:
            self._record_undecodable(item, error)
            return
        if self._table.update(configuration):
            self._decisions.warn(
                "configuration in force",
                "",
                version=configuration.version,
                **describe_position(item),
                routes=len(configuration.routes),
            )

    def _apply_target(self, name: str, item: StoreItem) -> None:
        """Update a target, or remove it if its record was removed."""
        if item.value is None:
            if self._registry.find(name) is not None:
                self._decisions.warn(
                    "target gone", "", target=name, **describe_position(item)
                )
            self._registry.remove(name)
            return
        try:
            target = self._decoder.decode_target(name, item.value)
        except MalformedRequestError as error:
            self._record_undecodable(item, error)
            self._registry.remove(name)
            return
        if target.draining and self._registry.find(name) is not None:
            self._decisions.warn(
                "target draining", "", target=name, **describe_position(item)
            )
        self._registry.update(target)

    def _record_undecodable(
        self, item: StoreItem, error: MalformedRequestError
    ) -> None:
        """Count and log an item that cannot be decoded."""
        self.refused_count += 1
        self._decisions.warn(
            "item refused",
            "",
            key=item.key[:80],
            **describe_position(item),
            reason=error.message[:200],
        )


def describe_position(item: StoreItem) -> dict[str, int]:
    """Return the position of an item's last change as fields of a log line."""
    return StorePosition.from_number(item.revision).describe()
