"""Targets that are leaving, from any one of three sources.

A ticket's own flag stands in the catalogue. This module keeps the other two: the
target's own answers, seen here or by a peer, and the platform's list.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DrainMark:
    """Word from a target itself that one run of it is leaving.

    Parameters
    ----------
    target : str
        Name of the target.
    incarnation : str
        The run of the target that leaves.
    """

    target: str
    incarnation: str


class DrainingTargets:
    """Sticky marks: a run of a target that leaves never gets new work again.

    A health endpoint that says "serving" does not clear a mark of the same
    incarnation, because it may lag or mislead; another incarnation does.

    Attributes
    ----------
    generation : int
        Rises with each change.
    """

    def __init__(self):
        self._marks: dict[str, DrainMark] = {}
        self._cleared: set[DrainMark] = set()
        self._listed: frozenset[str] = frozenset()
        self._list_revision = -1
        self.generation = 0

    def add_mark(self, mark: DrainMark) -> bool:
        """Take word of a leaving run; tell whether it was new."""
        if mark in self._cleared or self._marks.get(mark.target) == mark:
            return False
        self._marks[mark.target] = mark
        self.generation += 1
        return True

    def record_serving(self, target: str, incarnation: str) -> bool:
        """Take word that a run serves; tell whether that cleared an older mark."""
        known = self._marks.get(target)
        if known is None or known.incarnation == incarnation:
            return False
        self._cleared.add(known)
        del self._marks[target]
        self.generation += 1
        return True

    def replace_list(self, revision: int, targets: Iterable[str]) -> bool:
        """Take the platform's list; tell whether it was newer than the known one."""
        if revision <= self._list_revision:
            return False
        self._list_revision = revision
        self._listed = frozenset(targets)
        self.generation += 1
        return True

    @property
    def list_revision(self) -> int:
        """Revision of the platform's list that is known; -1 for none."""
        return self._list_revision

    @property
    def listed(self) -> frozenset[str]:
        """Names of the leaving targets on the platform's list."""
        return self._listed

    def is_draining(self, target: str) -> bool:
        """Tell whether a target gets no new work."""
        return target in self._marks or target in self._listed

    def retain_only(self, targets: Container[str]) -> None:
        """Forget all targets but some."""
        for name in [name for name in self._marks if name not in targets]:
            del self._marks[name]
            self.generation += 1
        self._cleared = {mark for mark in self._cleared if mark.target in targets}

    def list_marks(self) -> list[DrainMark]:
        """Return the marks that targets set themselves."""
        return list(self._marks.values())
