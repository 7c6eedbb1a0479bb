"""Targets that drain: they finish their work and get none that is new.

A target drains if any one of three sources says so. One is a flag in its ticket, which
is kept in the catalogue. This module keeps the other two: the target's own answers,
received by this VM or by a peer, and the platform's list.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass

from ..data import StorePosition


@dataclass(frozen=True, slots=True)
class DrainMark:
    """Announcement by a target that one run of it is draining.

    Parameters
    ----------
    target : str
        Name of the target.
    incarnation : str
        Identity of the run that is draining.
    """

    target: str
    incarnation: str


class DrainingTargets:
    """Drain marks of targets and the platform's list of draining targets.

    A mark is sticky: a run that has announced its drain never gets new work again. A
    health endpoint that reports "serving" does not clear the mark of the same
    incarnation, because the report may be late or wrong. Another incarnation of the
    target does.

    Attributes
    ----------
    generation : int
        Number that increases with each change.
    """

    def __init__(self):
        self._marks: dict[str, DrainMark] = {}
        self._cleared: set[DrainMark] = set()
        self._listed: frozenset[str] = frozenset()
        self._list_revision = -1
        self.generation = 0

    def add_mark(self, mark: DrainMark) -> bool:
        """Record a drain mark; return True if it is new."""
        if mark in self._cleared or self._marks.get(mark.target) == mark:
            return False
        self._marks[mark.target] = mark
        self.generation += 1
        return True

    def record_serving(self, target: str, incarnation: str) -> bool:
        """Record that a run serves; return True if that clears another run's mark."""
        known = self._marks.get(target)
        if known is None or known.incarnation == incarnation:
            return False
        self._cleared.add(known)
        del self._marks[target]
        self.generation += 1
        return True

    def replace_list(self, revision: int, targets: Iterable[str]) -> bool:
        """Replace the platform's list unless it is stale; return True if replaced.

        A list that an older copy of the platform shows takes no target off: the known
        ones stay listed until the next list of that era.

        Parameters
        ----------
        revision : int
            Position of the list, as the number of a `StorePosition`.
        targets : iterable of str
            Names of the draining targets.
        """
        if revision <= self._list_revision:
            return False
        known = StorePosition.from_number(self._list_revision)
        found = StorePosition.from_number(revision)
        is_older = found.era > known.era and found.revision < known.revision
        self._list_revision = revision
        self._listed = frozenset(targets) | (self._listed if is_older else frozenset())
        self.generation += 1
        return True

    @property
    def list_revision(self) -> int:
        """Revision of the platform's list; -1 before the first list."""
        return self._list_revision

    @property
    def listed(self) -> frozenset[str]:
        """Names of the draining targets on the platform's list."""
        return self._listed

    def is_draining(self, target: str) -> bool:
        """Return True if a target is marked or listed and gets no new work."""
        return target in self._marks or target in self._listed

    def retain_only(self, targets: Container[str]) -> None:
        """Remove the marks of all targets except the given ones."""
        for name in [name for name in self._marks if name not in targets]:
            del self._marks[name]
            self.generation += 1
        self._cleared = {mark for mark in self._cleared if mark.target in targets}

    def list_marks(self) -> list[DrainMark]:
        """Return the current marks."""
        return list(self._marks.values())
