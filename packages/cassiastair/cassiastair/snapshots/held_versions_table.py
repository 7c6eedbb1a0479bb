"""The versions that targets hold, learned from every answer they give."""

from collections.abc import Container

from ..data import HeldVersions, Snapshot


class HeldVersionsTable:
    """Last known versions of each target.

    Attributes
    ----------
    generation : int
        Rises whenever a target's versions change.
    """

    def __init__(self):
        self._held: dict[str, tuple[HeldVersions, ...]] = {}
        self.generation = 0

    def record(self, target: str, held: tuple[HeldVersions, ...]) -> None:
        """Take word of what a target holds."""
        if self._held.get(target) != held:
            self._held[target] = held
            self.generation += 1

    def get(self, target: str) -> tuple[HeldVersions, ...] | None:
        """Return what a target holds, by epoch; None if it never said."""
        return self._held.get(target)

    def may_hold(self, target: str, snapshot: Snapshot) -> bool:
        """Tell whether a target holds a snapshot, as far as is known."""
        held = self._held.get(target)
        return held is None or any(span.holds(snapshot) for span in held)

    def retain_only(self, targets: Container[str]) -> None:
        """Forget all targets but some."""
        for name in [name for name in self._held if name not in targets]:
            del self._held[name]
            self.generation += 1
