"""The name of one configured object."""

from dataclasses import dataclass

KINDS = ("index", "service", "target")


@dataclass(frozen=True, slots=True, order=True)
class ObjectKey:
    """Kind and name of an object that tickets change.

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
