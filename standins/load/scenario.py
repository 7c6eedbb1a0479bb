"""Scenario files: the load on an index, its phases, and the faults injected."""

import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from .. import layouts

LAYOUTS = {
    layout.index: layout
    for layout in (
        layouts.COUNTER_DESK,
        layouts.BOOKING,
        layouts.HANDOVER,
        layouts.WATERING,
        layouts.LOT_LOOKUP,
        layouts.BUYER_ORDERS,
        layouts.MEMBER_RECORDS,
        layouts.FIBRE_PRICES,
    )
}


class ScenarioError(Exception):
    """A scenario file is invalid; the message lists all problems."""


@dataclass(frozen=True, slots=True)
class Phase:
    """A time span with a constant rate of arrivals.

    Parameters
    ----------
    seconds : float
        Length of the phase.
    rate : float
        Mean number of queries per second. They arrive at random times and do not
        wait for one another.
    counted : bool
        Whether the phase is part of the result; if not, it only warms up.
    """

    seconds: float
    rate: float
    counted: bool = True


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that is injected at some time.

    Parameters
    ----------
    at : float
        Seconds from the start of the load.
    targets : str
        Affected targets: ``all``, ``first`` (of each service), a number of targets
        spread over all services, or the name of one target.
    change : dict
        Settings of the target stand-ins that change.
    kill : bool
        Whether the targets are killed instead.
    kill_vm : str
        Name of a VM to kill; empty for none.
    """

    at: float
    targets: str = ""
    change: dict = field(default_factory=dict)
    kill: bool = False
    kill_vm: str = ""


@dataclass(frozen=True, slots=True)
class Scenario:
    """The content of a scenario file.

    Parameters
    ----------
    name : str
        Name in reports; by default the name of the file.
    index : str
        Index that is searched, one of `LAYOUTS`.
    vms : int
        Number of entry VMs.
    deadline_ms : int
        Deadline of each query.
    work_ms : float
        Mean time that a target works on a subrequest.
    phases : tuple of Phase
        Phases in the order in which they run.
    faults : tuple of Fault
        Faults to inject.
    version_every_s : float
        Seconds between new versions of the index; 0 for none.
    settings : dict
        Settings of the entry daemons.
    seed : int
        Seed of the arrivals.
    """

    name: str
    index: str = "counter-desk"
    vms: int = 2
    deadline_ms: int = 1000
    work_ms: float = 5.0
    phases: tuple[Phase, ...] = ()
    faults: tuple[Fault, ...] = ()
    version_every_s: float = 0.0
    settings: dict = field(default_factory=dict)
    seed: int = 1


def read_scenario(path: Path) -> Scenario:
    """Read a scenario file.

    Raises
    ------
    ScenarioError
        If the file cannot be read, has unknown or missing fields, has no phases, or
        names an unknown index.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    problems: list[str] = []
    phases = [
        make_record(Phase, item, "phases", problems) for item in raw.pop("phases", [])
    ]
    faults = [
        make_record(Fault, item, "faults", problems) for item in raw.pop("faults", [])
    ]
    raw.setdefault("name", path.stem)
    scenario = make_record(Scenario, raw, "scenario", problems)
    if not phases:
        problems.append("phases: at least one is needed")
    if scenario is not None and scenario.index not in LAYOUTS:
        problems.append(f"index: must be one of {', '.join(LAYOUTS)}")
    if problems:
        raise ScenarioError(f"{path}:\n" + "\n".join(problems))
    return Scenario(**{**raw, "phases": tuple(phases), "faults": tuple(faults)})


def make_record(kind: type, raw: dict, section: str, problems: list[str]):
    """Return an instance of a dataclass, or None if required fields are missing.

    Problems with the fields are added to `problems`, with the section's name.
    """
    unknown = sorted(set(raw) - set(kind.__dataclass_fields__))
    problems += [f"{section}: unknown field {name}" for name in unknown]
    try:
        return kind(**{k: v for k, v in raw.items() if k not in unknown})
    except TypeError as error:
        problems.append(f"{section}: {error}")
        return None
