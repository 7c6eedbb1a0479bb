"""The known VMs, merged from settings, the platform's list and peers."""

from collections.abc import Iterable

from ..clock import Clock
from ..data import Vm

FORGET_S = 600.0  # time without any word after which a VM is dropped
LIVE_S = 5.0  # time without a heartbeat after which a linked VM counts as gone


class MemberList:
    """Known VMs and when each was last heard of.

    Attributes
    ----------
    generation : int
        Rises whenever a VM is added, replaced or dropped.

    Parameters
    ----------
    own : Vm
        The VM itself.
    clock : Clock
        Source of time.
    """

    def __init__(self, own: Vm, clock: Clock):
        self.own = own
        self._clock = clock
        self._vms: dict[str, Vm] = {}
        self._told_at: dict[str, float] = {}
        self._contact_at: dict[str, float] = {}
        self.generation = 0

    def add_reported(self, vms: Iterable[Vm]) -> None:
        """Take second-hand word of VMs; it never replaces a fresh contact."""
        now = self._clock.now()
        for vm in vms:
            if vm.name == self.own.name:
                continue
            if not self.is_live(vm.name):
                self._put(vm)
            self._told_at[vm.name] = now

    def record_contact(self, vm: Vm) -> None:
        """Take word from a VM itself."""
        if vm.name == self.own.name:
            return
        self._put(vm)
        now = self._clock.now()
        self._contact_at[vm.name] = now
        self._told_at[vm.name] = now

    def _put(self, vm: Vm) -> None:
        """Keep a VM's newest state."""
        if self._vms.get(vm.name) != vm:
            self._vms[vm.name] = vm
            self.generation += 1

    def remove(self, name: str) -> None:
        """Drop a VM that said it is stopping."""
        if self._vms.pop(name, None) is not None:
            self.generation += 1
        self._told_at.pop(name, None)
        self._contact_at.pop(name, None)

    def remove_expired(self) -> None:
        """Drop every VM without any word for a long time."""
        limit = self._clock.now() - FORGET_S
        for name in [n for n, at in self._told_at.items() if at < limit]:
            self.remove(name)

    def is_live(self, name: str) -> bool:
        """Tell whether a VM itself was heard within the last seconds."""
        at = self._contact_at.get(name)
        return at is not None and self._clock.now() - at < LIVE_S

    def find(self, name: str) -> Vm | None:
        """Return a known VM by name."""
        return self._vms.get(name)

    def all(self) -> list[Vm]:
        """Return all other known VMs."""
        return list(self._vms.values())

    def count(self) -> int:
        """Return the number of other known VMs."""
        return len(self._vms)

    def live_local_names(self) -> list[str]:
        """Return the names of the live VMs of the own data centre."""
        own = self.own.data_centre
        vms = self._vms.values()
        return [v.name for v in vms if v.data_centre == own and self.is_live(v.name)]

    def local_names(self) -> list[str]:
        """Return the names of the known VMs of the own data centre."""
        own = self.own.data_centre
        return [vm.name for vm in self._vms.values() if vm.data_centre == own]
