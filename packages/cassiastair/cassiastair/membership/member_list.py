"""Known VMs, merged from the settings, the platform's list and peers."""

from collections.abc import Iterable

from ..clock import Clock
from ..data import Vm

EXPIRY_S = 600.0  # a VM without a report or contact for so long is removed
LIVENESS_TIMEOUT_S = 5.0  # a VM without a contact for so long is not live


class MemberList:
    """Known VMs, and when each was last reported by others or in contact itself.

    Attributes
    ----------
    generation : int
        Number that increases whenever a VM is added, replaced or removed.

    Parameters
    ----------
    own : Vm
        This VM, which is not part of the list.
    clock : Clock
        Source of time.
    """

    def __init__(self, own: Vm, clock: Clock):
        self.own = own
        self._clock = clock
        self._vms: dict[str, Vm] = {}
        self._reported_at: dict[str, float] = {}
        self._contacted_at: dict[str, float] = {}
        self.generation = 0

    def add_reported(self, vms: Iterable[Vm]) -> None:
        """Add VMs that others have reported.

        A report does not replace what a live VM has sent about itself.
        """
        now = self._clock.now()
        for vm in vms:
            if vm.name == self.own.name:
                continue
            if not self.is_live(vm.name):
                self._put(vm)
            self._reported_at[vm.name] = now

    def record_contact(self, vm: Vm) -> None:
        """Record a message that came from the VM itself."""
        if vm.name == self.own.name:
            return
        self._put(vm)
        now = self._clock.now()
        self._contacted_at[vm.name] = now
        self._reported_at[vm.name] = now

    def _put(self, vm: Vm) -> None:
        """Store the latest state of a VM."""
        if self._vms.get(vm.name) != vm:
            self._vms[vm.name] = vm
            self.generation += 1

    def remove(self, name: str) -> None:
        """Remove a VM, such as one that has announced its stop."""
        if self._vms.pop(name, None) is not None:
            self.generation += 1
        self._reported_at.pop(name, None)
        self._contacted_at.pop(name, None)

    def remove_expired(self) -> None:
        """Remove every VM without a report or contact for `EXPIRY_S`."""
        oldest = self._clock.now() - EXPIRY_S
        for name in [n for n, at in self._reported_at.items() if at < oldest]:
            self.remove(name)

    def is_live(self, name: str) -> bool:
        """Return True if a VM was in contact within `LIVENESS_TIMEOUT_S`."""
        at = self._contacted_at.get(name)
        return at is not None and self._clock.now() - at < LIVENESS_TIMEOUT_S

    def find(self, name: str) -> Vm | None:
        """Return a known VM by name, or None."""
        return self._vms.get(name)

    def all(self) -> list[Vm]:
        """Return all other known VMs."""
        return list(self._vms.values())

    def count(self) -> int:
        """Return the number of other known VMs."""
        return len(self._vms)

    def count_in(self, data_centre: str) -> int:
        """Return the number of known VMs in a data centre, this one included."""
        vms = (self.own, *self._vms.values())
        return sum(1 for vm in vms if vm.data_centre == data_centre)

    def live_local_names(self) -> list[str]:
        """Return the names of the other live VMs of the own data centre."""
        own = self.own.data_centre
        vms = self._vms.values()
        return [v.name for v in vms if v.data_centre == own and self.is_live(v.name)]

    def local_names(self) -> list[str]:
        """Return the names of the other known VMs of the own data centre."""
        own = self.own.data_centre
        return [vm.name for vm in self._vms.values() if vm.data_centre == own]
