"""Plan of a soak test: the faults and changes that a seed draws before the run."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

VM_COUNT = 4
SHARD_COUNT = 6
FAULT_PHASE_S = 10.0  # period in which steps start
FAULT_KINDS = (
    "kill",
    "pause",
    "stop",
    "kill_all",
    "store_busy",
    "store_reset",
    "store_silent",
    "store_slow",
    "store_compacts",
    "store_reset_connections",
    "target_silent",
    "target_slow",
    "targets_answer_wrongly",
    "target_sheds",
    "target_crashes",
    "target_drains",
    "target_deregisters",
    "targets_name_limits",
    "reshard",
    "configure",
    "reload",
)
NOTICE_KINDS = ("target_leaves", "targets_pause")
REUSE_KINDS = ("address_reused",)
LIFE_KINDS = (
    "reload_at_start",
    "stop_at_start",
    "overlapped_start",
    "settings_incomplete",
    "log_reader_gone",
    "callers_stall_in_head",
    "callers_stall_in_body",
    "callers_do_not_read",
    "callers_pipeline",
    "store_stalls",
    "store_sends_without_end",
    "target_stalls",
    "target_sends_without_end",
)
RESTORE_KINDS = ("store_restored",)
STEP_KINDS = (*FAULT_KINDS, *NOTICE_KINDS, *LIFE_KINDS, *REUSE_KINDS, *RESTORE_KINDS)
NOTICE_SHARE = 0.6  # of the plans that have a step in which a target says something
LIFE_SHARE = 0.8  # of the plans with steps on a process's life and what it must hold
MAX_LIFE_STEPS = 5
REUSE_SHARE = 0.5  # of the plans in which addresses of targets are reused
MAX_REUSE_STEPS = 3
RESTORE_SHARE = 0.5  # of the plans in which the store comes back from an older copy
MAX_RESTORE_STEPS = 3
MIN_DURATION_S = 0.3
MAX_DURATION_S = 3.0


@dataclass(frozen=True, slots=True)
class Step:
    """A fault, or a change of back ends or configuration.

    Parameters
    ----------
    starts_at : float
        Start in seconds after the start of traffic.
    kind : str
        One of `STEP_KINDS`.
    duration_s : float
        Duration in seconds; kinds without a duration ignore it.
    choice : float
        Number from 0 to 1 that selects the VM or target.
    """

    starts_at: float
    kind: str
    duration_s: float
    choice: float

    def describe(self) -> str:
        """Return a line that describes the step."""
        return (
            f"{self.starts_at:5.2f} s {self.kind} "
            f"for {self.duration_s:.2f} s ({self.choice})"
        )

    def spread(self, low: float, high: float) -> float:
        """Return the duration, mapped from its own range to another one."""
        share = (self.duration_s - MIN_DURATION_S) / (MAX_DURATION_S - MIN_DURATION_S)
        return low + share * (high - low)


def select_name(names: list[str], choice: float) -> str:
    """Return the name that a number from 0 to 1, both included, selects."""
    return names[min(int(choice * len(names)), len(names) - 1)]


def draw_step(rng: random.Random, kinds: Sequence[str]) -> Step:
    """Draw one step of some kinds."""
    return Step(
        starts_at=round(rng.uniform(0.5, FAULT_PHASE_S), 2),
        kind=rng.choice(kinds),
        duration_s=round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
        choice=round(rng.random(), 3),
    )


def draw_plan(seed: int) -> list[Step]:
    """Draw the steps of a seed; return them in the order of their starts."""
    rng = random.Random(seed)
    count = rng.randint(3, 9)
    steps = [draw_step(rng, FAULT_KINDS) for _ in range(count)]
    # Drawn last, so that the steps above are those that a seed always had.
    if rng.random() < NOTICE_SHARE:
        steps.append(draw_step(rng, NOTICE_KINDS))
    # Drawn after those, for the same reason.
    if rng.random() < LIFE_SHARE:
        count = rng.randint(1, MAX_LIFE_STEPS)
        steps += [draw_step(rng, LIFE_KINDS) for _ in range(count)]
    if rng.random() < REUSE_SHARE:
        count = rng.randint(1, MAX_REUSE_STEPS)
        steps += [draw_step(rng, REUSE_KINDS) for _ in range(count)]
    if rng.random() < RESTORE_SHARE:
        count = rng.randint(1, MAX_RESTORE_STEPS)
        steps += [draw_step(rng, RESTORE_KINDS) for _ in range(count)]
    return sorted(steps, key=lambda step: step.starts_at)
