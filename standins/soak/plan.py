"""What a soak does, drawn from its seed before it begins."""

import random
from dataclasses import dataclass

VMS = 4
SHARDS = 6
FAULTS_S = 10.0  # span in which faults begin
KINDS = (
    "kill",
    "pause",
    "stop",
    "kill_all",
    "store_busy",
    "store_reset",
    "store_silent",
    "store_slow",
    "store_forgets",
    "store_reset_connections",
    "target_silent",
    "target_slow",
    "target_spoils",
    "target_sheds",
    "target_crashes",
    "target_drains",
    "target_vanishes",
    "reshard",
    "configure",
    "reload",
)


@dataclass(frozen=True, slots=True)
class Step:
    """One fault or planned change.

    Parameters
    ----------
    at : float
        Seconds from the start of traffic.
    kind : str
        What happens.
    length : float
        Seconds for which it lasts, where that fits.
    choice : float
        Between 0 and 1: which VM, target or service.
    """

    at: float
    kind: str
    length: float
    choice: float

    def describe(self) -> str:
        """Return a line for the log."""
        return f"{self.at:5.2f} s {self.kind} for {self.length:.2f} s ({self.choice})"


def pick(names: list[str], choice: float) -> str:
    """Return the name that a choice between 0 and 1, both included, stands for."""
    return names[min(int(choice * len(names)), len(names) - 1)]


def draw_plan(seed: int) -> list[Step]:
    """Return the steps of a seed, in the order of their times."""
    source = random.Random(seed)
    count = source.randint(3, 9)
    steps = [
        Step(
            at=round(source.uniform(0.5, FAULTS_S), 2),
            kind=source.choice(KINDS),
            length=round(source.uniform(0.3, 3.0), 2),
            choice=round(source.random(), 3),
        )
        for _ in range(count)
    ]
    return sorted(steps, key=lambda step: step.at)
