"""Data versions that targets hold, as their last answers and reports stated them."""

from collections.abc import Container

from ..data import HeldVersions, Snapshot


class HeldVersionsTable:
    """Last known data versions of each target.

    Attributes
    ----------
    generation : int
        Incremented whenever the versions of a target change.
    """

    def __init__(self):
        self._held: dict[str, tuple[HeldVersions, ...]] = {}
        self.generation = 0

    def record(self, target: str, held: tuple[HeldVersions, ...]) -> None:
        """Record the versions that a target holds."""
        if self._held.get(target) != held:
            self._held[target] = held
            self.generation += 1

    def get(self, target: str) -> tuple[HeldVersions, ...] | None:
        """Return the versions that a target holds, by epoch; None if unknown."""
        return self._held.get(target)

    def may_hold(self, target: str, snapshot: Snapshot) -> bool:
        """Return True if a target holds a snapshot or its versions are unknown."""
        held = self._held.get(target)
        return held is None or any(span.holds(snapshot) for span in held)

    def retain_only(self, targets: Container[str]) -> None:
        """Remove all targets that are not listed."""
        for name in [name for name in self._held if name not in targets]:
            del self._held[name]
            self.generation += 1
