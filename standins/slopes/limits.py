"""Slopes of the limits that targets name: time and bytes by VMs and limited targets."""

from cassiastair.clock import ManualClock
from cassiastair.forwarding import TargetLimits
from cassiastair.peers.messages import LimitReports
from cassiastair.testing.forwarding_bench import make_target
from cassiastaird.peers.codec import encode

from .fit import Slope, fit_line
from .state import VM_COUNTS, make_vm, measure_time

TARGET_COUNTS = (25, 100, 250)
RATE = 20.0  # requests a second that each limited target names


def load_limits(vm_count: int, target_count: int) -> tuple[TargetLimits, list[str]]:
    """Return limits that a VM knows, and the list of VMs that it looks at."""
    clock = ManualClock()
    vms = [make_vm(n).name for n in range(vm_count)]
    limits = TargetLimits(clock, vms[0], lambda: vms, lambda: len(vms))
    for number in range(target_count):
        target = make_target(f"target-{number:06d}", "service")
        limits.record_answer(target, RATE, clock.now())
    return limits, vms


def measure_learning(vm_count: int) -> float:
    """Return the time to learn the limit of one target, in us."""
    return measure_time(lambda: load_limits(vm_count, 20), 1) / 20


def measure_idle_update(vm_count: int) -> float:
    """Return the time of an update without any change, in us."""
    limits, _ = load_limits(vm_count, 100)
    return measure_time(limits.update)


def measure_changed_vm(target_count: int) -> float:
    """Return the time of an update after one of 300 VMs has left, in us."""
    limits, vms = load_limits(300, target_count)

    def replace_vm() -> None:
        """Replace one VM of the list by another."""
        vms.append(f"new-{vms.pop()}")
        limits.update()

    return measure_time(replace_vm)


def measure_report(target_count: int) -> float:
    """Return the bytes of a message with the reports on all limits."""
    limits, _ = load_limits(60, target_count)
    return float(len(encode(LimitReports(limits.take_unreported()))))


def measure_all() -> list[Slope]:
    """Measure every slope of the limits."""
    return [
        fit_line(
            "time to learn a limit, us by known VMs",
            [(n, measure_learning(n)) for n in VM_COUNTS],
        ),
        fit_line(
            "time of an update of limits, us by known VMs",
            [(n, measure_idle_update(n)) for n in VM_COUNTS],
        ),
        fit_line(
            "time of an update after a VM was replaced, us by limited targets",
            [(n, measure_changed_vm(n)) for n in TARGET_COUNTS],
        ),
        fit_line(
            "bytes of reports, by limited targets",
            [(n, measure_report(n)) for n in TARGET_COUNTS],
        ),
    ]
