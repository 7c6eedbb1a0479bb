"""Scenario files: what is sent, when, and which faults come in between."""

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
    """A scenario file is wrong; the message lists every fault."""


@dataclass(frozen=True, slots=True)
class Phase:
    """A stretch of time with one rate of arrivals.

    Parameters
    ----------
    seconds : float
        Length.
    rate : float
        Queries a second, arriving at random and not waiting for one another.
    counted : bool
        Whether the phase is measured; otherwise it only warms up.
    """

    seconds: float
    rate: float
    counted: bool = True


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong at some time.

    Parameters
    ----------
    at : float
        Seconds after the start.
    targets : str
        ``all``, ``first`` (of each service), a number (so many of all), or a name.
    change : dict
        Settings of the target stand-ins to change.
    kill : bool
        Whether the targets are killed.
    kill_vm : str
        VM that is killed, if any.
    """

    at: float
    targets: str = ""
    change: dict = field(default_factory=dict)
    kill: bool = False
    kill_vm: str = ""


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole scenario.

    Parameters
    ----------
    name : str
        Name in reports.
    index : str
        Family of services that is searched.
    vms : int
        Entry VMs.
    deadline_ms : int
        Deadline of each query.
    work_ms : float
        Mean work of a target for one subrequest.
    phases : tuple of Phase
        Rates in their order.
    faults : tuple of Fault
        Faults by time.
    version_every_s : float
        Seconds between new versions of the index; 0 for none.
    settings : dict
        Settings of the daemons.
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
        If anything in it is wrong.
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
    """Return a record of a kind; unknown fields are faults."""
    unknown = sorted(set(raw) - set(kind.__dataclass_fields__))
    problems += [f"{section}: unknown field {name}" for name in unknown]
    try:
        return kind(**{k: v for k, v in raw.items() if k not in unknown})
    except TypeError as error:
        problems.append(f"{section}: {error}")
        return None
