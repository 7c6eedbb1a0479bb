"""What a VM concludes from replies and probes of an address that has another owner."""

from abc import ABC, abstractmethod

from cassiastair.forwarding import RoutedTarget, RoutedTargetRegistry


class ReusePolicy(ABC):
    """What VMs learn when another process answers at a target's address.

    Attributes
    ----------
    name : str
        Name in the table and the plot.
    asks_identity : bool
        Whether probes ask who answers.
    """

    name: str
    asks_identity = False

    @abstractmethod
    def get_registry_class(self) -> type[RoutedTargetRegistry]:
        """Return the class of a VM's registry of targets."""


class ForgetfulRegistry(RoutedTargetRegistry):
    """Registry that takes a reply of another process for a passing refusal."""

    def record_displaced(self, target: RoutedTarget) -> bool:
        """Record nothing."""
        return False


class Forgetful(ReusePolicy):
    """VMs back off and send again, as they did before the registry knew."""

    name = "back off"

    def get_registry_class(self) -> type[RoutedTargetRegistry]:
        """Return the registry that remembers nothing."""
        return ForgetfulRegistry


class Remembering(ReusePolicy):
    """VMs remember the reply of another process."""

    name = "remember"

    def get_registry_class(self) -> type[RoutedTargetRegistry]:
        """Return the product's registry."""
        return RoutedTargetRegistry


class Asking(Remembering):
    """VMs remember, and their probes ask who answers; the product."""

    name = "remember and ask"
    asks_identity = True


POLICIES: tuple[ReusePolicy, ...] = (Forgetful(), Remembering(), Asking())
