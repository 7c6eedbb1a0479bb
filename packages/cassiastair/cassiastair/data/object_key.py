"""Key of a configured object: its kind and its name."""

from dataclasses import dataclass

KINDS = ("index", "service", "target")


@dataclass(frozen=True, slots=True, order=True)
class ObjectKey:
    """Kind and name that identify an object in tickets.

    Parameters
    ----------
    kind : str
        One of ``KINDS``.
    name : str
        Name, unique within the kind.
    """

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"
