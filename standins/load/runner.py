"""Runs a scenario: starts the processes, sends the load and injects the faults.

The extra load of hedges and retries is computed from the targets' own counts.
"""

from dataclasses import dataclass
from pathlib import Path

import eventlet

from ..session import Session
from .generator import LoadGenerator
from .measures import Measures
from .scenario import LAYOUTS, Fault, Scenario

HELD_VERSION_COUNT = 3


@dataclass(frozen=True, slots=True)
class RunResult:
    """Measures of a run of a scenario.

    Parameters
    ----------
    scenario : Scenario
        The scenario that was run.
    phases : list of Measures
        Measures of each counted phase.
    targets : list of dict
        Status of each target that still runs, with its counts.
    extra_load : float
        Reads at the targets beyond one for each shard of each answered query, as a
        fraction of these.
    """

    scenario: Scenario
    phases: list[Measures]
    targets: list[dict]
    extra_load: float

    def to_dict(self) -> dict:
        """Return the JSON form of the result."""
        counts = [target["counts"] for target in self.targets]
        return {
            "scenario": self.scenario.name,
            "phases": [measures.to_dict() for measures in self.phases],
            "extra_load": round(self.extra_load, 4),
            "connections_opened": sum(c.get("connections", 0) for c in counts),
            "connections_highest": max(c.get("connections_highest", 0) for c in counts),
            "connections_refused": sum(c.get("connections_refused", 0) for c in counts),
        }


def run_scenario(scenario: Scenario, folder: Path) -> RunResult:
    """Run a scenario in a session of its own, with logs in a folder."""
    layout = LAYOUTS[scenario.index]
    with Session(folder) as session:
        session.start_targets([layout], work_ms=scenario.work_ms)
        vms = [f"load-{number + 1}" for number in range(scenario.vms)]
        for vm in vms:
            session.start_daemon(vm, "dc1", log_level="warning", **scenario.settings)
        session.publish_layouts([layout], "dc1")
        session.wait_ready(objects=1 + layout.count * (1 + layout.targets))
        return run_in_session(session, scenario, vms)


def run_in_session(session: Session, scenario: Scenario, vms: list[str]) -> RunResult:
    """Run a scenario in a running session, with load on some of its VMs."""
    layout = LAYOUTS[scenario.index]
    callers = [session.callers[vm] for vm in vms]
    body = {
        "index": scenario.index,
        "query": {"tag": 3},
        "deadline_ms": scenario.deadline_ms,
    }
    reads_before = count_reads(session)
    generator = LoadGenerator(callers, body, scenario.seed)
    tasks = [
        eventlet.spawn_after(f.at, inject_fault, session, f) for f in scenario.faults
    ]
    if scenario.version_every_s:
        tasks.append(
            eventlet.spawn(publish_versions, session, scenario.version_every_s)
        )
    phases = generator.run(scenario.phases)
    for task in tasks:
        task.kill()
    reads_after = count_reads(session)
    answered = sum(measures.answered for measures in phases)
    extra_load = (reads_after - reads_before) / max(1, answered * layout.count) - 1.0
    counted = [
        measures
        for measures, phase in zip(phases, scenario.phases, strict=True)
        if phase.counted
    ]
    running = [n for n, p in session.targets.items() if p.popen.poll() is None]
    targets = [session.control(name) for name in running]
    return RunResult(scenario, counted, targets, extra_load)


def count_reads(session: Session) -> int:
    """Return the number of reads that all running targets have received."""
    running = [n for n, p in session.targets.items() if p.popen.poll() is None]
    return sum(session.control(name)["counts"].get("reads", 0) for name in running)


def inject_fault(session: Session, fault: Fault) -> None:
    """Kill the VM and the targets of a fault, or change the targets' settings."""
    if fault.kill_vm:
        session.daemons[fault.kill_vm].kill()
    for name in select_targets(session, fault.targets):
        if fault.kill:
            session.targets[name].kill()
        else:
            session.control(name, **fault.change)


def select_targets(session: Session, selector: str) -> list[str]:
    """Return the names of the targets that a selector means.

    Parameters
    ----------
    session : Session
        Session with the targets.
    selector : str
        ``all``, ``first`` (of each service), a number of targets spread over all
        services, or the name of one target.
    """
    names = sorted(session.targets)
    if selector == "all":
        return names
    if selector == "first":
        return [name for name in names if name.endswith(".1")]
    if selector.isdigit():
        return names[:: max(1, len(names) // int(selector))][: int(selector)]
    return [name for name in names if name == selector]


def publish_versions(session: Session, interval: float) -> None:
    """Let the targets hold a newer version every `interval` seconds, until killed.

    The targets change one after the other, so for a moment their versions differ.
    """
    for version in range(HELD_VERSION_COUNT + 1, 1_000_000):
        eventlet.sleep(interval)
        held = [[1, version - HELD_VERSION_COUNT + 1, version]]
        for name, process in session.targets.items():
            if process.popen.poll() is None:
                session.control(name, held=held)
