"""The objects in force, arranged for routing."""

from ..data import Index, ObjectKey, Service, Target


class Catalogue:
    """Indexes, services and targets in force.

    It is changed only by `StateMap`, a whole ticket at a time and without a switch
    of tasks, so that a reader that does not yield sees whole tickets only.

    Attributes
    ----------
    generation : int
        Rises with each change; keys the caches of derived values.
    """

    def __init__(self):
        self.indexes: dict[str, Index] = {}
        self.services: dict[str, Service] = {}
        self.targets: dict[str, Target] = {}
        self.targets_by_service: dict[str, dict[str, Target]] = {}
        self.generation = 0

    def put(self, key: ObjectKey, state: Index | Service | Target | None) -> None:
        """Bring the state of one object in force."""
        self.generation += 1
        if key.kind == "target":
            self._put_target(key.name, state)
            return
        objects = self.indexes if key.kind == "index" else self.services
        if state is None:
            objects.pop(key.name, None)
        else:
            objects[key.name] = state

    def _put_target(self, name: str, state: Target | None) -> None:
        """Replace or remove one target."""
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
        """Return the services of an index that are themselves in force."""
        found = (self.services.get(name) for name in index.services)
        return [service for service in found if service is not None]

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of a service, in the order of their tickets."""
        return list(self.targets_by_service.get(service, {}).values())
