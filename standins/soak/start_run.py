"""Run of start cases on the VMs of a small cluster."""

import signal
from dataclasses import dataclass, field
from pathlib import Path

import eventlet

from ..world.back_end import BackEndSpec
from ..world.caller import Caller
from ..world.cluster import (
    DEFAULT_GRACE_S,
    HOST,
    POLL_INTERVAL_S,
    Cluster,
    make_desk_route,
    make_search_route,
)
from ..world.vm_process import VmProcess, measure_earliest_handler, wait_handled
from .held_connections import HeldConnections
from .process_checks import find_faults
from .start_cases import StartCase

SHARDS = ("shard0", "shard1")
NEWEST_GRACE_S = 2.0  # below half of the older one, after which an idle VM ends
END_TIMEOUT_S = 12.0  # for a process to end; the checks apply the grace itself
READY_TIMEOUT_S = 20.0
HELD_COUNT = 5  # connections that stay open while a process stops


@dataclass(slots=True)
class StartResult:
    """Result of a case.

    Parameters
    ----------
    case : StartCase
        The case.
    violations : list of str
        What was wrong; empty if the case passed.
    handled_s : float or None
        Age at which the VM's process handled signals; None if it ended before.
    is_early : bool
        Whether the signal came too early for any program, so that nothing is tested.
    early_end : str
        Description of the end of the process in that case.
    """

    case: StartCase
    violations: list[str] = field(default_factory=list)
    handled_s: float | None = None
    is_early: bool = False
    early_end: str = ""


class StartRun:
    """Runs cases on several VMs at the same time.

    Parameters
    ----------
    cases : list of StartCase
        Cases to run.
    folder : Path
        Folder for the settings and logs of the VMs.
    at_once : int
        Number of VMs.

    Attributes
    ----------
    earliest_s : float
        Processor time that a program takes until it can handle a signal.
    """

    def __init__(self, cases: list[StartCase], folder: Path, at_once: int):
        self._cases = list(reversed(cases))
        self._cluster = Cluster(folder)
        self._vm_count = at_once
        self._results: list[StartResult] = []
        self.earliest_s = measure_earliest_handler()

    def run(self) -> list[StartResult]:
        """Run all cases and return their results in the order of their numbers."""
        cluster = self._cluster
        try:
            for service in (*SHARDS, "desk"):
                cluster.add_back_end(BackEndSpec(f"{service}-0", service, "north"))
            routes = [make_search_route(SHARDS), make_desk_route()]
            cluster.configure(routes, [*SHARDS, "desk"])
            cluster.add_vms(self._vm_count)
            tasks = [eventlet.spawn(self._run_cases, name) for name in cluster.vms]
            for task in tasks:
                task.wait()
        finally:
            cluster.stop()
        return sorted(self._results, key=lambda result: result.case.number)

    def _run_cases(self, name: str) -> None:
        """Run cases on one VM until none is left."""
        while self._cases:
            result = StartResult(self._cases.pop())
            self._results.append(result)
            vm = self._cluster.vms[name]
            first = len(vm.processes)
            vm.write_settings(grace_s=DEFAULT_GRACE_S)
            if result.case.is_overlapped:
                self._run_overlapped(name, result)
            else:
                self._run_signalled(name, result)
            self._check_end(name, result)
            self._check_processes(vm.processes[first:], result)

    def _run_signalled(self, name: str, result: StartResult) -> None:
        """Start a process, send its signal, and start it again if it ended by that."""
        case = result.case
        cluster = self._cluster
        vm = cluster.vms[name]
        cluster.start(name)
        process = vm.processes[-1]
        handled = eventlet.spawn(wait_handled, process.popen, process.started_at)
        due = process.started_at + case.moment_s
        eventlet.sleep(max(0.0, due - cluster.clock()))
        if case.signal_number == signal.SIGHUP:
            vm.write_settings(grace_s=NEWEST_GRACE_S)
        process.send(case.signal_number)
        if case.signal_number != signal.SIGHUP:
            self._wait_end(process, DEFAULT_GRACE_S, result)
            vm.write_settings(grace_s=NEWEST_GRACE_S)
        result.handled_s = handled.wait() if process.popen.poll() is None else None
        if result.handled_s is None:
            handled.kill()

    def _run_overlapped(self, name: str, result: StartResult) -> None:
        """Start a process beside one that stops and still serves its connections."""
        cluster = self._cluster
        vm = cluster.vms[name]
        cluster.start(name)
        if not self._wait_ready(name, result):
            return
        old = vm.processes[-1]
        held = HeldConnections(vm.caller_address)
        held.open_in_use(HELD_COUNT)
        vm.write_settings(grace_s=NEWEST_GRACE_S)
        old.send(signal.SIGTERM)
        eventlet.sleep(result.case.moment_s)
        cluster.start(name, beside_old=True)
        self._wait_end(old, DEFAULT_GRACE_S, result)
        held.close()

    def _check_end(self, name: str, result: StartResult) -> None:
        """Check that the VM serves, and that it stops as the newest settings say."""
        vm = self._cluster.vms[name]
        if not self._wait_ready(name, result):
            return
        caller = Caller(f"{name}-{result.case.number}", HOST, self._cluster.clock)
        status = caller.call(vm.caller_address, "/search/x").status
        caller.close()
        if status != 200:
            result.violations.append(f"{name} answered a search with status {status}")
        version = f"cassiastair_configuration_version {self._cluster.version}"
        if version not in self._cluster.read_metrics(name):
            result.violations.append(f"{name} has an old configuration")
        vm.processes[-1].send(signal.SIGTERM)
        self._wait_end(vm.processes[-1], NEWEST_GRACE_S, result)

    def _wait_ready(self, name: str, result: StartResult) -> bool:
        """Wait until a VM is ready.

        A process that has ended is started again, as the platform does; the end itself
        is for `_check_processes`.
        """
        cluster = self._cluster
        deadline = cluster.clock() + READY_TIMEOUT_S
        while cluster.clock() < deadline:
            cluster.vms[name].processes[-1].observe()
            if cluster.vms[name].process.poll() is not None:
                eventlet.sleep(POLL_INTERVAL_S)
                cluster.start(name)
            if cluster.is_ready(name):
                return True
            eventlet.sleep(POLL_INTERVAL_S)
        result.violations.append(f"{name} is not ready after {READY_TIMEOUT_S:g} s")
        return False

    def _wait_end(
        self, process: VmProcess, grace_s: float, result: StartResult
    ) -> None:
        """Wait for the end of a process that was asked to stop; check its duration."""
        asked_at = self._cluster.clock()
        duration_s = 0.0  # for which it was seen to run; this process may be delayed
        while True:
            elapsed_s = self._cluster.clock() - asked_at
            process.observe()
            if process.popen.poll() is not None:
                break
            duration_s = elapsed_s
            if duration_s > END_TIMEOUT_S:
                result.violations.append(f"{process.vm} does not stop")
                process.send(signal.SIGKILL)
            eventlet.sleep(POLL_INTERVAL_S)
        if duration_s > grace_s:
            result.violations.append(
                f"{process.vm} still ran {duration_s:.2f} s after SIGTERM; "
                f"its newest settings say {grace_s:g} s"
            )

    def _check_processes(self, processes: list[VmProcess], result: StartResult) -> None:
        """Check that no process of a case ended by itself or took too much memory."""
        for process in processes:
            if process.was_ended_before_handlers(self.earliest_s):
                result.is_early = True
                result.early_end = process.find_own_end()
            else:
                result.violations += find_faults(process)
        result.is_early = result.is_early and not result.violations
