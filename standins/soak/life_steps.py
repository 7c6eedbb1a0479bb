"""Steps on the life of VMs' processes and on what callers make them hold."""

import signal
from collections.abc import Callable

import eventlet
from eventlet.semaphore import Semaphore

from ..world.cluster import Cluster, EntryVm
from .held_connections import HeldConnections
from .plan import Step, select_name
from .start_cases import MAX_SIGNAL_AGE_S, NEXT_START_S
from .start_run import HELD_COUNT, NEWEST_GRACE_S

END_TIMEOUT_S = 10.0  # for a killed or stopped process to end
DISTURBED_S = 12.0  # from such a step to the end of its last start
MAX_HOLD_S = 8.0  # for which callers hold their connections
STALLED_COUNT = 200  # connections of callers that stall
PIPELINED_COUNT = 100  # connections with pipelined requests
INCOMPLETE_S = (0.3, 4.0)  # from a start to whole settings
INCOMPLETE_SETTINGS = ("", "seeds = 5\n", "[limits]\nmemoryMb = inf\n")


class LifeSteps:
    """Runs the steps of the kinds in `plan.LIFE_KINDS` that concern one VM.

    Parameters
    ----------
    cluster : Cluster
        Cluster with the VMs.
    record_disturbance : callable
        Records that a VM is disturbed for a number of seconds from now on.
    """

    def __init__(
        self, cluster: Cluster, record_disturbance: Callable[[str, float], None]
    ):
        self._cluster = cluster
        self._record_disturbance = record_disturbance
        self._held: list[HeldConnections] = []
        self._settings_locks = {name: Semaphore() for name in cluster.vms}

    def run(self, step: Step) -> None:
        """Run a step on the VM that it selects."""
        name = select_name(list(self._cluster.vms), step.choice)
        getattr(self, f"do_{step.kind}")(step, self._cluster.vms[name])

    @property
    def violations(self) -> list[str]:
        """Lines for the wrong answers to pipelined requests."""
        return [line for held in self._held for line in held.violations]

    def stop(self) -> None:
        """Close the connections of all steps."""
        for held in self._held:
            held.close()

    def do_reload_at_start(self, step: Step, vm: EntryVm) -> None:
        """Kill a VM, start it and have it read new settings during the start."""
        self._start_anew(vm)
        eventlet.sleep(step.spread(0.0, MAX_SIGNAL_AGE_S))
        with self._settings_locks[vm.name]:
            vm.write_settings(grace_s=NEWEST_GRACE_S)
        self._cluster.send_signal(vm.name, signal.SIGHUP)

    def do_stop_at_start(self, step: Step, vm: EntryVm) -> None:
        """Kill a VM, start it, stop it during the start and start it beside that."""
        self._start_anew(vm)
        eventlet.sleep(step.spread(0.0, MAX_SIGNAL_AGE_S))
        self._stop_and_overlap(step, vm)

    def do_overlapped_start(self, step: Step, vm: EntryVm) -> None:
        """Stop a VM that has connections in use, and start it before it has ended."""
        self._record_disturbance(vm.name, DISTURBED_S)
        held = self._hold(vm)
        held.open_in_use(HELD_COUNT)
        self._stop_and_overlap(step, vm)

    def do_settings_incomplete(self, step: Step, vm: EntryVm) -> None:
        """Kill a VM and start it while its settings are not yet whole."""
        with self._settings_locks[vm.name]:
            whole = vm.settings_path.read_text()
            texts = (*INCOMPLETE_SETTINGS, whole[: len(whole) // 2], None)
            text = texts[int(step.choice * 1000) % len(texts)]
            self._kill(vm)
            if text is None:
                vm.settings_path.unlink()
            else:
                vm.settings_path.write_text(text)
            self._cluster.start(vm.name)
            eventlet.sleep(step.spread(*INCOMPLETE_S))
            vm.write_settings()

    def do_log_reader_gone(self, step: Step, vm: EntryVm) -> None:
        """Kill a VM and start it with an output that nobody reads."""
        self._kill(vm)
        self._cluster.start(vm.name, has_log_reader=False)

    def do_callers_stall_in_head(self, step: Step, vm: EntryVm) -> None:
        """Hold connections with an unfinished head."""
        self._hold(vm).open_in_head(STALLED_COUNT)

    def do_callers_stall_in_body(self, step: Step, vm: EntryVm) -> None:
        """Hold connections with an unfinished body."""
        self._hold(vm).open_in_body(STALLED_COUNT)

    def do_callers_do_not_read(self, step: Step, vm: EntryVm) -> None:
        """Hold connections whose answers are not read."""
        self._hold(vm).open_unread(PIPELINED_COUNT)

    def do_callers_pipeline(self, step: Step, vm: EntryVm) -> None:
        """Hold connections with several requests at once."""
        self._hold(vm).open_pipelined(PIPELINED_COUNT)

    def _hold(self, vm: EntryVm) -> HeldConnections:
        """Return connections to a VM that are closed after `MAX_HOLD_S`."""
        self._record_disturbance(vm.name, MAX_HOLD_S)
        held = HeldConnections(vm.caller_address)
        self._held.append(held)
        eventlet.spawn_after(MAX_HOLD_S, held.close)
        return held

    def _kill(self, vm: EntryVm) -> None:
        """Kill a VM's process and wait for its end."""
        self._record_disturbance(vm.name, DISTURBED_S)
        self._cluster.send_signal(vm.name, signal.SIGKILL)
        self._cluster.wait_exit(vm.name, END_TIMEOUT_S)

    def _start_anew(self, vm: EntryVm) -> None:
        """Kill a VM and start it."""
        self._kill(vm)
        self._cluster.start(vm.name)

    def _stop_and_overlap(self, step: Step, vm: EntryVm) -> None:
        """Stop a VM and start it again while the old process may still serve."""
        self._cluster.send_signal(vm.name, signal.SIGTERM)
        low, high = NEXT_START_S
        eventlet.sleep(low + (high - low) * (step.choice * 1000 % 10) / 10)
        self._cluster.start(vm.name, beside_old=True)
