"""Interface for decoding the items of the platform's store."""

from abc import ABC, abstractmethod

from cassiastair.forwarding import RoutedTarget
from cassiastair.routing import RoutingConfiguration


class ItemDecoder(ABC):
    """Decodes keys and values that operators and targets write to the store."""

    @abstractmethod
    def is_configuration(self, key: str) -> bool:
        """Return True if a key holds the routing configuration."""

    @abstractmethod
    def parse_target_name(self, key: str) -> str | None:
        """Return the name of the target that a key belongs to, or None."""

    @abstractmethod
    def decode_configuration(self, value: bytes) -> RoutingConfiguration:
        """Return the routing configuration that a value holds.

        Raises
        ------
        MalformedRequestError
            If the value is not a valid configuration.
        """

    @abstractmethod
    def decode_target(self, name: str, value: bytes) -> RoutedTarget:
        """Return the target that a record describes.

        Raises
        ------
        MalformedRequestError
            If the value is not a valid record of a target.
        """
