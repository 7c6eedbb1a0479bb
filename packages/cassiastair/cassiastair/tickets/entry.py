"""State of one object together with the number of the ticket that set it."""

from dataclasses import dataclass

from ..data import Index, ObjectKey, Service, Target


@dataclass(frozen=True, slots=True)
class ConfigEntry:
    """The newest known state of one object, an entry of the state map.

    Parameters
    ----------
    key : ObjectKey
        Kind and name of the object.
    number : int
        Number of the ticket that set the state.
    state : Index, Service, Target or None
        State of the object; None if the ticket removed it.
    entry_hash : int
        64-bit hash of key, number and state. It decides between two different
        tickets with the same number, so that all VMs converge to the same state.
    """

    key: ObjectKey
    number: int
    state: Index | Service | Target | None
    entry_hash: int

    def supersedes(self, other: "ConfigEntry | None") -> bool:
        """Return True if this entry replaces the other one of the same object."""
        if other is None:
            return True
        return (self.number, self.entry_hash) > (other.number, other.entry_hash)
