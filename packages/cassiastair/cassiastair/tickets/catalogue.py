"""Indexes, services and targets in force, arranged for lookup by name."""

from ..data import Index, ObjectKey, Service, Target


class Catalogue:
    """Indexes, services and targets in force.

    Only `StateMap` changes the catalogue. It applies a whole ticket without yielding
    to other green threads, so a reader that does not yield never sees a ticket half
    applied.

    Attributes
    ----------
    generation : int
        Number that increases with each change; caches of derived values use it as
        their key.
    """

    def __init__(self):
        self.indexes: dict[str, Index] = {}
        self.services: dict[str, Service] = {}
        self.targets: dict[str, Target] = {}
        self.targets_by_service: dict[str, dict[str, Target]] = {}
        self.generation = 0

    def set_state(self, key: ObjectKey, state: Index | Service | Target | None) -> None:
        """Replace the state of one object; None removes the object."""
        self.generation += 1
        if key.kind == "target":
            self._set_target(key.name, state)
            return
        objects = self.indexes if key.kind == "index" else self.services
        if state is None:
            objects.pop(key.name, None)
        else:
            objects[key.name] = state

    def _set_target(self, name: str, state: Target | None) -> None:
        """Replace or remove one target, also in the targets of its service."""
        old = self.targets.pop(name, None)
        if old is not None:
            siblings = self.targets_by_service[old.service]
            del siblings[name]
            if not siblings:
                del self.targets_by_service[old.service]
        if state is not None:
            self.targets[name] = state
            self.targets_by_service.setdefault(state.service, {})[name] = state

    def services_of(self, index: Index) -> list[Service]:
        """Return those services of an index that are in force."""
        found = (self.services.get(name) for name in index.services)
        return [service for service in found if service is not None]

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of a service, in the order in which they were set."""
        return list(self.targets_by_service.get(service, {}).values())
