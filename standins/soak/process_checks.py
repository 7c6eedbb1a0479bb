"""Checks of VMs' processes from outside: ends, stops and memory."""

import signal

import eventlet

from ..world.cluster import MEMORY_MB, POLL_INTERVAL_S, Cluster
from ..world.vm_process import VmProcess

BYTES_PER_MB = 1_000_000
STOP_TIMEOUT_S = 15.0  # after which a process that does not stop is killed


def check_stops(cluster: Cluster) -> list[str]:
    """Stop all VMs and check that each takes the time that its newest settings allow.

    An idle VM stops after half of that time, so that one with older settings, which
    allow twice the time or more, does not pass.
    """
    asked_at = cluster.clock()
    running = {}
    for name, vm in cluster.vms.items():
        if vm.processes[-1].popen.poll() is None:
            vm.processes[-1].send(signal.SIGTERM)
            running[name] = vm.processes[-1]
    violations = []
    seen_s = dict.fromkeys(running, 0.0)  # until when each was seen to run
    while running:
        for name, process in list(running.items()):
            elapsed_s = cluster.clock() - asked_at
            if process.popen.poll() is None:
                seen_s[name] = elapsed_s
            else:
                del running[name]
            if seen_s[name] > STOP_TIMEOUT_S and name in running:
                violations.append(f"{name} does not stop")
                process.send(signal.SIGKILL)
        eventlet.sleep(POLL_INTERVAL_S)
    for name, duration_s in seen_s.items():
        grace_s = cluster.vms[name].settings_fields["grace_s"]
        if duration_s > grace_s:
            violations.append(
                f"{name} still ran {duration_s:.2f} s after SIGTERM; "
                f"its newest settings say {grace_s:g} s"
            )
    return violations


def check_processes(cluster: Cluster, earliest_s: float) -> tuple[list[str], list[str]]:
    """Check the ends and the memory of all processes.

    Parameters
    ----------
    cluster : Cluster
        Cluster after its run.
    earliest_s : float
        Result of `measure_earliest_handler`.

    Returns
    -------
    violations, early_ends : list of str
        Ends that no signal explains and excesses of memory; ends by signals that came
        before any program could handle them.
    """
    violations: list[str] = []
    early_ends: list[str] = []
    for vm in cluster.vms.values():
        for process in vm.processes:
            if process.was_ended_before_handlers(earliest_s):
                early_ends.append(process.find_own_end())
            else:
                violations += find_faults(process)
    return violations, early_ends


def find_peak(cluster: Cluster) -> int:
    """Return the largest memory that any process took, in bytes."""
    processes = (p for vm in cluster.vms.values() for p in vm.processes)
    return max(process.peak_bytes for process in processes)


def find_faults(process: VmProcess) -> list[str]:
    """Return lines for an own end, one whose cause is not logged and for its memory."""
    faults = [process.find_own_end(), process.find_unlogged_end()]
    faults = [fault for fault in faults if fault]
    if process.peak_bytes > MEMORY_MB * BYTES_PER_MB:
        faults.append(
            f"{process.vm} took {process.peak_bytes / BYTES_PER_MB:.0f} MB "
            f"of the {MEMORY_MB} MB in its settings"
        )
    return faults
