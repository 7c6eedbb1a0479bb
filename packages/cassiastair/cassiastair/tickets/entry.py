"""The state of one object with the ticket that gave it."""

from dataclasses import dataclass

from ..data import Index, ObjectKey, Service, Target


@dataclass(frozen=True, slots=True)
class ConfigEntry:
    """The newest known state of one object.

    Parameters
    ----------
    key : ObjectKey
        The object.
    number : int
        Ticket that gave the state.
    state : Index, Service, Target or None
        The state; None if the ticket removed the object.
    entry_hash : int
        64-bit hash of key, number and state. It breaks ties between two different
        tickets with one number, so that all VMs end with the same state.
    """

    key: ObjectKey
    number: int
    state: Index | Service | Target | None
    entry_hash: int

    def supersedes(self, other: "ConfigEntry | None") -> bool:
        """Tell whether this entry replaces another of the same object."""
        if other is None:
            return True
        return (self.number, self.entry_hash) > (other.number, other.entry_hash)
