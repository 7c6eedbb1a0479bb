"""What the items of the platform's store mean."""

from abc import ABC, abstractmethod

from cassiastair.forwarding import RoutedTarget
from cassiastair.routing import RoutingConfiguration


class ItemDecoder(ABC):
    """Decodes keys and values of the store."""

    @abstractmethod
    def is_configuration(self, key: str) -> bool:
        """Tell whether a key holds the operators' configuration."""

    @abstractmethod
    def parse_target_name(self, key: str) -> str | None:
        """Return the target that a key belongs to; None for other keys."""

    @abstractmethod
    def decode_configuration(self, value: bytes) -> RoutingConfiguration:
        """Return a configuration.

        Raises
        ------
        MalformedRequestError
            If the bytes are no configuration.
        """

    @abstractmethod
    def decode_target(self, name: str, value: bytes) -> RoutedTarget:
        """Return a target's record.

        Raises
        ------
        MalformedRequestError
            If the bytes are no record of a target.
        """
